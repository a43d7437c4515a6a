// Greedy best-fit packing of the tasks of a step.
#include "citrongap/workload/vector_packing.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace citrongap {

namespace {

using Placement = std::optional<std::vector<std::size_t>>;

bool isLastResort(const PackingServer &server, const PackingRequest &request) {
  return server.FailedRecently || request.AvoidServers.contains(server.Id);
}

/// Sum over all resources of the share of the server that would stay free.
double freeShareAfter(const PackingServer &server, const Resources &each) {
  const auto share = [](std::int64_t left, std::int64_t all) {
    return all > 0 ? static_cast<double>(left) / static_cast<double>(all) : 0.0;
  };
  const Resources &free = server.Free;
  const Resources &all = server.Capacity;
  return share(free.GpuCount - each.GpuCount, all.GpuCount) +
         share(free.CpuMillis - each.CpuMillis, all.CpuMillis) +
         share(free.MemoryMb - each.MemoryMb, all.MemoryMb);
}

/// Sort key; the tightest server has the lowest.
auto fitKey(const PackingServer &server, const PackingRequest &request) {
  return std::tuple(isLastResort(server, request),
                    freeShareAfter(server, request.PerTask));
}

/// Places tasks one by one on the best of `eligible`; `servers` is restored on
/// return.
Placement packGreedily(std::vector<PackingServer> &servers,
                       const std::vector<std::size_t> &eligible,
                       const PackingRequest &request) {
  std::vector<std::size_t> chosen;
  for (std::uint32_t n = 0; n < request.Count; ++n) {
    const PackingServer *best = nullptr;
    std::size_t bestAt = 0;
    for (const std::size_t at : eligible) {
      const PackingServer &it = servers[at];
      if (!request.PerTask.fitsIn(it.Free) ||
          (request.MaxPerServer && it.TasksOfStep >= request.MaxPerServer))
        continue;
      if (!best || fitKey(it, request) < fitKey(*best, request)) {
        best = &it;
        bestAt = at;
      }
    }
    if (!best)
      break;
    servers[bestAt].Free -= request.PerTask;
    ++servers[bestAt].TasksOfStep;
    chosen.push_back(bestAt);
  }
  for (const std::size_t at : chosen) {
    servers[at].Free += request.PerTask;
    --servers[at].TasksOfStep;
  }
  if (chosen.size() < request.Count)
    return std::nullopt;
  return chosen;
}

std::map<RackId, std::vector<std::size_t>>
byRack(const std::vector<PackingServer> &servers,
       const PackingRequest &request) {
  std::map<RackId, std::vector<std::size_t>> racks;
  for (std::size_t at = 0; at < servers.size(); ++at)
    if (isEligible(servers[at], request))
      racks[servers[at].Rack].push_back(at);
  return racks;
}

/// Chooses the rack that needs the fewest last-resort servers, then the one
/// with the fewest free accelerators.
Placement packInOneRack(std::vector<PackingServer> &servers,
                        const PackingRequest &request) {
  Placement best;
  std::pair<std::int64_t, std::int64_t> bestFit;
  for (const auto &[rack, eligible] : byRack(servers, request)) {
    std::int64_t left = 0;
    for (const std::size_t at : eligible)
      left += servers[at].Free.GpuCount;
    if (left < request.PerTask.GpuCount * request.Count)
      continue;
    Placement found = packGreedily(servers, eligible, request);
    if (!found)
      continue;
    const auto last =
        std::count_if(found->begin(), found->end(), [&](std::size_t at) {
          return isLastResort(servers[at], request);
        });
    const std::pair<std::int64_t, std::int64_t> fit(last, left);
    if (!best || fit < bestFit) {
      best = std::move(found);
      bestFit = fit;
    }
  }
  return best;
}

} // namespace

bool isEligible(const PackingServer &server, const PackingRequest &request) {
  if (*server.Service != request.Service ||
      (server.ProbeOnly && request.Count > 1) ||
      (request.ExcludeRecentFailures &&
       (server.ProbeOnly || server.FailedRecently)) ||
      (request.RequireRecentSuccess && !server.SucceededRecently) ||
      server.ReservedFor > request.Access)
    return false;
  if (!request.Rack.empty() && server.Rack != request.Rack)
    return false;
  return request.RequiredLabel.empty() ||
         std::find(server.Labels->begin(), server.Labels->end(),
                   request.RequiredLabel) != server.Labels->end();
}

Placement packTasks(std::vector<PackingServer> &servers,
                    const PackingRequest &request) {
  if (request.OneRack)
    return packInOneRack(servers, request);
  std::vector<std::size_t> eligible;
  for (std::size_t at = 0; at < servers.size(); ++at)
    if (isEligible(servers[at], request))
      eligible.push_back(at);
  return packGreedily(servers, eligible, request);
}

bool fitsWhenEmpty(const std::vector<PackingServer> &servers,
                   const PackingRequest &request) {
  std::vector<PackingServer> empty = servers;
  for (PackingServer &it : empty) {
    it.Free = it.Capacity;
    it.TasksOfStep = 0;
  }
  return packTasks(empty, request).has_value();
}

void allocate(std::vector<PackingServer> &servers,
              const std::vector<std::size_t> &at, const Resources &each) {
  for (const std::size_t it : at)
    servers[it].Free -= each;
}

} // namespace citrongap
