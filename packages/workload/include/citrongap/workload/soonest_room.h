// Finds the servers that will have room for a step first, by when what runs
// there is expected to end. Nothing is stopped for it.
#ifndef CITRONGAP_WORKLOAD_SOONEST_ROOM_H
#define CITRONGAP_WORKLOAD_SOONEST_ROOM_H

#include "citrongap/workload/vector_packing.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace citrongap {

/// What a server gets back, and when; in order of time.
using Releases =
    std::map<BackendServerId, std::vector<std::pair<MonoTime, Resources>>>;

struct RoomToCome {
  /// A server for each task, as indices.
  std::vector<std::size_t> Servers;
  MonoTime ReadyAt;
};

/// Nothing when the step does not fit, whatever ends. `now` is the time for
/// what is free already.
std::optional<RoomToCome> soonestRoom(const std::vector<PackingServer> &servers,
                                      const Releases &releases,
                                      const PackingRequest &request,
                                      MonoTime now);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_SOONEST_ROOM_H
