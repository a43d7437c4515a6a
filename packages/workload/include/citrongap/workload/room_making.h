// Chooses which running work to stop so that a step fits, at the least cost of
// work thrown away. A gang is stopped as a whole, and frees all its servers.
#ifndef CITRONGAP_WORKLOAD_ROOM_MAKING_H
#define CITRONGAP_WORKLOAD_ROOM_MAKING_H

#include "citrongap/workload/vector_packing.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace citrongap {

/// One part of a victim on one server.
struct VictimPart {
  /// Index into the servers.
  std::size_t Server = 0;
  Resources Taken;
};

/// Work that can be stopped only together.
struct VictimGroup {
  std::vector<VictimPart> Parts;
  /// Core-seconds that are lost when it is stopped.
  double Waste = 0;
};

struct RoomPlan {
  /// A server for each task, as indices.
  std::vector<std::size_t> Servers;
  /// Groups to stop, as indices.
  std::vector<std::size_t> Victims;
  double Waste = 0;
};

/// Nothing when the step does not fit, whatever is stopped.
std::optional<RoomPlan> makeRoom(const std::vector<PackingServer> &servers,
                                 const std::vector<VictimGroup> &groups,
                                 const PackingRequest &request);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_ROOM_MAKING_H
