// Collects when each server can take one task more, and chooses the earliest.
#include "citrongap/workload/soonest_room.h"

#include <algorithm>

namespace citrongap {

namespace {

using Offer = std::pair<MonoTime, std::size_t>;

/// Adds the times at which server `at` can take a first, second, ... task.
void offersOf(const std::vector<PackingServer> &servers, std::size_t at,
              const Releases &releases, const PackingRequest &request,
              MonoTime now, std::vector<Offer> &out) {
  const PackingServer &server = servers[at];
  Resources free = server.Free;
  std::uint32_t offered = 0;
  const auto take = [&](MonoTime when) {
    while (offered < request.Count && request.Each.fitsIn(free) &&
           (!request.MaxPerServer ||
            server.SameStep + offered < request.MaxPerServer)) {
      free -= request.Each;
      ++offered;
      out.emplace_back(when, at);
    }
  };
  take(now);
  const auto ends = releases.find(server.Id);
  if (ends == releases.end())
    return;
  for (const auto &[when, resources] : ends->second) {
    free += resources;
    take(std::max(when, now));
  }
}

} // namespace

std::optional<RoomToCome> soonestRoom(const std::vector<PackingServer> &servers,
                                      const Releases &releases,
                                      const PackingRequest &request,
                                      MonoTime now) {
  std::map<RackId, std::vector<Offer>> offers;
  for (std::size_t at = 0; at < servers.size(); ++at)
    if (admits(servers[at], request))
      offersOf(servers, at, releases, request, now,
               offers[request.OneRack ? servers[at].Rack : RackId()]);
  std::optional<RoomToCome> best;
  for (auto &[rack, it] : offers) {
    if (it.size() < request.Count)
      continue;
    std::sort(it.begin(), it.end());
    const MonoTime ready = it[request.Count - 1].first;
    if (best && ready >= best->ReadyAt)
      continue;
    best = RoomToCome{{}, ready};
    for (std::uint32_t n = 0; n < request.Count; ++n)
      best->Servers.push_back(it[n].second);
  }
  return best;
}

} // namespace citrongap
