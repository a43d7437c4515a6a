// Greedy choice, one task after the other: the server on which the next task
// costs least, given what is stopped already.
#include "citrongap/workload/room_making.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace citrongap {

namespace {

class Search {
public:
  Search(const std::vector<PackingServer> &servers,
         const std::vector<VictimGroup> &groups, const PackingRequest &request)
      : Groups(groups), Request(request), Servers(servers),
        OnServer(servers.size()) {
    for (std::size_t g = 0; g < groups.size(); ++g)
      for (const VictimPart &it : groups[g].Parts)
        OnServer[it.Server].push_back({g, it.Taken});
    for (auto &it : OnServer)
      std::sort(it.begin(), it.end(), [&](const Here &lhs, const Here &rhs) {
        return costPerSize(lhs) < costPerSize(rhs);
      });
  }

  std::optional<RoomPlan> run(const std::vector<std::size_t> &among) {
    RoomPlan plan;
    for (std::uint32_t n = 0; n < Request.Count; ++n)
      if (!placeNext(among, plan))
        return std::nullopt;
    plan.Victims.assign(Doomed.begin(), Doomed.end());
    return plan;
  }

private:
  struct Here {
    std::size_t Group = 0;
    Resources Taken;
  };
  struct Offer {
    double Waste = 0;
    std::vector<std::size_t> Victims;
    std::int64_t GpusLeft = 0;
  };

  double costPerSize(const Here &it) const {
    return Groups[it.Group].Waste /
           static_cast<double>(std::max<std::int64_t>(it.Taken.GpuCount, 1));
  }

  std::optional<Offer> offerOf(std::size_t at) const {
    const PackingServer &server = Servers[at];
    if (Request.MaxPerServer && server.SameStep >= Request.MaxPerServer)
      return std::nullopt;
    Offer offer;
    Resources free = server.Free;
    for (const Here &it : OnServer[at]) {
      if (Request.Each.fitsIn(free))
        break;
      if (Doomed.contains(it.Group))
        continue;
      free += it.Taken;
      offer.Waste += Groups[it.Group].Waste;
      offer.Victims.push_back(it.Group);
    }
    if (!Request.Each.fitsIn(free))
      return std::nullopt;
    offer.GpusLeft = free.GpuCount - Request.Each.GpuCount;
    return offer;
  }

  bool placeNext(const std::vector<std::size_t> &among, RoomPlan &plan) {
    std::optional<Offer> best;
    std::size_t bestAt = 0;
    for (const std::size_t at : among) {
      auto offer = offerOf(at);
      if (offer && (!best || std::tie(offer->Waste, offer->GpusLeft) <
                                 std::tie(best->Waste, best->GpusLeft))) {
        best = std::move(offer);
        bestAt = at;
      }
    }
    if (!best)
      return false;
    for (const std::size_t group : best->Victims)
      if (Doomed.insert(group).second) {
        plan.Waste += Groups[group].Waste;
        for (const VictimPart &it : Groups[group].Parts)
          Servers[it.Server].Free += it.Taken;
      }
    Servers[bestAt].Free -= Request.Each;
    ++Servers[bestAt].SameStep;
    plan.Servers.push_back(bestAt);
    return true;
  }

  const std::vector<VictimGroup> &Groups;
  const PackingRequest &Request;
  std::vector<PackingServer> Servers;
  /// Groups with a part on a server, the cheapest first.
  std::vector<std::vector<Here>> OnServer;
  std::set<std::size_t> Doomed;
};

} // namespace

std::optional<RoomPlan> makeRoom(const std::vector<PackingServer> &servers,
                                 const std::vector<VictimGroup> &groups,
                                 const PackingRequest &request) {
  // All servers are one group of candidates unless the rack must be the same.
  std::map<RackId, std::vector<std::size_t>> candidates;
  for (std::size_t at = 0; at < servers.size(); ++at)
    if (admits(servers[at], request))
      candidates[request.OneRack ? servers[at].Rack : RackId()].push_back(at);
  const Search fresh(servers, groups, request);
  std::optional<RoomPlan> best;
  for (const auto &[rack, among] : candidates) {
    Search search = fresh;
    auto plan = search.run(among);
    if (plan && (!best || plan->Waste < best->Waste))
      best = std::move(plan);
  }
  return best;
}

} // namespace citrongap
