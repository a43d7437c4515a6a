// Finds the servers on which a step will fit first, from the expected ends of
// the runs on them. Nothing is preempted.
#ifndef CITRONGAP_WORKLOAD_SOONEST_ROOM_H
#define CITRONGAP_WORKLOAD_SOONEST_ROOM_H

#include "citrongap/workload/vector_packing.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace citrongap {

/// Resources that become free on each server, and when; in order of time.
using Releases =
    std::map<BackendServerId, std::vector<std::pair<MonoTime, Resources>>>;

struct EarliestFit {
  /// Index of the server of each task.
  std::vector<std::size_t> Servers;
  MonoTime ReadyAt;
};

/// Finds the earliest placement of the step; std::nullopt when it does not fit
/// even after all releases. Resources that are free already count from `now`.
std::optional<EarliestFit>
findEarliestFit(const std::vector<PackingServer> &servers,
                const Releases &releases, const PackingRequest &request,
                MonoTime now);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_SOONEST_ROOM_H
