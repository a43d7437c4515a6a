// Chooses the victims to preempt so that a step fits, at the least loss of
// work. A gang is preempted as a whole and frees resources on all its servers.
#ifndef CITRONGAP_WORKLOAD_ROOM_MAKING_H
#define CITRONGAP_WORKLOAD_ROOM_MAKING_H

#include "citrongap/workload/vector_packing.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace citrongap {

/// The part of a victim group on one server.
struct VictimPart {
  /// Index into the servers passed with it.
  std::size_t Server = 0;
  Resources Allocation;
};

/// Runs that can only be stopped together.
struct VictimGroup {
  std::vector<VictimPart> Parts;
  /// Work that is lost when the group is stopped.
  double LostCoreSeconds = 0;
};

struct PreemptionPlan {
  /// Index of the server of each task.
  std::vector<std::size_t> Servers;
  /// Indices of the groups to stop.
  std::vector<std::size_t> Victims;
  double LostCoreSeconds = 0;
};

/// Finds a placement and its victims; std::nullopt when the step does not fit
/// even if every group is stopped.
std::optional<PreemptionPlan>
planPreemption(const std::vector<PackingServer> &servers,
               const std::vector<VictimGroup> &groups,
               const PackingRequest &request);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_ROOM_MAKING_H
