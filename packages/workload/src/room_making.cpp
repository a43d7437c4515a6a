// Greedy search: each task goes to the server on which it adds the least loss,
// given the victims selected for the tasks before it.
#include "citrongap/workload/room_making.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace citrongap {

namespace {

class GreedySearch {
public:
  GreedySearch(const std::vector<PackingServer> &servers,
               const std::vector<VictimGroup> &groups,
               const PackingRequest &request)
      : Groups(groups), Request(request), Servers(servers),
        OnServer(servers.size()) {
    for (std::size_t g = 0; g < groups.size(); ++g)
      for (const VictimPart &it : groups[g].Parts)
        OnServer[it.Server].push_back({g, it.Allocation});
    for (auto &it : OnServer)
      std::sort(it.begin(), it.end(),
                [&](const LocalPart &lhs, const LocalPart &rhs) {
                  return lossPerGpu(lhs) < lossPerGpu(rhs);
                });
  }

  std::optional<PreemptionPlan> run(const std::vector<std::size_t> &eligible) {
    PreemptionPlan plan;
    for (std::uint32_t n = 0; n < Request.Count; ++n)
      if (!placeNext(eligible, plan))
        return std::nullopt;
    plan.Victims.assign(SelectedVictims.begin(), SelectedVictims.end());
    return plan;
  }

private:
  struct LocalPart {
    std::size_t Group = 0;
    Resources Allocation;
  };
  struct Candidate {
    double LostCoreSeconds = 0;
    std::vector<std::size_t> Victims;
    std::int64_t GpusLeft = 0;
  };

  double lossPerGpu(const LocalPart &it) const {
    return Groups[it.Group].LostCoreSeconds /
           static_cast<double>(
               std::max<std::int64_t>(it.Allocation.GpuCount, 1));
  }

  std::optional<Candidate> evaluate(std::size_t at) const {
    const PackingServer &server = Servers[at];
    if (Request.MaxPerServer && server.TasksOfStep >= Request.MaxPerServer)
      return std::nullopt;
    Candidate candidate;
    Resources free = server.Free;
    for (const LocalPart &it : OnServer[at]) {
      if (Request.PerTask.fitsIn(free))
        break;
      if (SelectedVictims.contains(it.Group))
        continue;
      free += it.Allocation;
      candidate.LostCoreSeconds += Groups[it.Group].LostCoreSeconds;
      candidate.Victims.push_back(it.Group);
    }
    if (!Request.PerTask.fitsIn(free))
      return std::nullopt;
    candidate.GpusLeft = free.GpuCount - Request.PerTask.GpuCount;
    return candidate;
  }

  bool placeNext(const std::vector<std::size_t> &eligible,
                 PreemptionPlan &plan) {
    std::optional<Candidate> best;
    std::size_t bestAt = 0;
    for (const std::size_t at : eligible) {
      auto candidate = evaluate(at);
      if (candidate &&
          (!best || std::tie(candidate->LostCoreSeconds, candidate->GpusLeft) <
                        std::tie(best->LostCoreSeconds, best->GpusLeft))) {
        best = std::move(candidate);
        bestAt = at;
      }
    }
    if (!best)
      return false;
    for (const std::size_t group : best->Victims)
      if (SelectedVictims.insert(group).second) {
        plan.LostCoreSeconds += Groups[group].LostCoreSeconds;
        for (const VictimPart &it : Groups[group].Parts)
          Servers[it.Server].Free += it.Allocation;
      }
    Servers[bestAt].Free -= Request.PerTask;
    ++Servers[bestAt].TasksOfStep;
    plan.Servers.push_back(bestAt);
    return true;
  }

  const std::vector<VictimGroup> &Groups;
  const PackingRequest &Request;
  std::vector<PackingServer> Servers;
  /// Parts on each server, in order of the loss per accelerator.
  std::vector<std::vector<LocalPart>> OnServer;
  std::set<std::size_t> SelectedVictims;
};

} // namespace

std::optional<PreemptionPlan>
planPreemption(const std::vector<PackingServer> &servers,
               const std::vector<VictimGroup> &groups,
               const PackingRequest &request) {
  // All servers form one candidate set unless a single rack is required.
  std::map<RackId, std::vector<std::size_t>> candidates;
  for (std::size_t at = 0; at < servers.size(); ++at)
    if (isEligible(servers[at], request))
      candidates[request.OneRack ? servers[at].Rack : RackId()].push_back(at);
  const GreedySearch initial(servers, groups, request);
  std::optional<PreemptionPlan> best;
  for (const auto &[rack, eligible] : candidates) {
    GreedySearch search = initial;
    auto plan = search.run(eligible);
    if (plan && (!best || plan->LostCoreSeconds < best->LostCoreSeconds))
      best = std::move(plan);
  }
  return best;
}

} // namespace citrongap
