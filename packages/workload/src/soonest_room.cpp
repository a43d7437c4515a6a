// Collects the times at which each server can hold one more task and chooses
// the earliest ones.
#include "citrongap/workload/soonest_room.h"

#include <algorithm>

namespace citrongap {

namespace {

using TaskSlot = std::pair<MonoTime, std::size_t>;

/// Appends the times at which server `at` can hold a first, second, ... task.
void appendTaskSlots(const std::vector<PackingServer> &servers, std::size_t at,
                     const Releases &releases, const PackingRequest &request,
                     MonoTime now, std::vector<TaskSlot> &out) {
  const PackingServer &server = servers[at];
  Resources free = server.Free;
  std::uint32_t placed = 0;
  const auto addSlots = [&](MonoTime when) {
    while (placed < request.Count && request.PerTask.fitsIn(free) &&
           (!request.MaxPerServer ||
            server.TasksOfStep + placed < request.MaxPerServer)) {
      free -= request.PerTask;
      ++placed;
      out.emplace_back(when, at);
    }
  };
  addSlots(now);
  const auto ends = releases.find(server.Id);
  if (ends == releases.end())
    return;
  for (const auto &[when, resources] : ends->second) {
    free += resources;
    addSlots(std::max(when, now));
  }
}

} // namespace

std::optional<EarliestFit>
findEarliestFit(const std::vector<PackingServer> &servers,
                const Releases &releases, const PackingRequest &request,
                MonoTime now) {
  std::map<RackId, std::vector<TaskSlot>> slots;
  for (std::size_t at = 0; at < servers.size(); ++at)
    if (isEligible(servers[at], request))
      appendTaskSlots(servers, at, releases, request, now,
                      slots[request.OneRack ? servers[at].Rack : RackId()]);
  std::optional<EarliestFit> best;
  for (auto &[rack, it] : slots) {
    if (it.size() < request.Count)
      continue;
    std::sort(it.begin(), it.end());
    const MonoTime ready = it[request.Count - 1].first;
    if (best && ready >= best->ReadyAt)
      continue;
    best = EarliestFit{{}, ready};
    for (std::uint32_t n = 0; n < request.Count; ++n)
      best->Servers.push_back(it[n].second);
  }
  return best;
}

} // namespace citrongap
