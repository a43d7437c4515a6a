// Best-fit packing of a step's tasks on backend servers.
#include "citrongap/workload/vector_packing.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace citrongap {

namespace {

using Chosen = std::optional<std::vector<std::size_t>>;

bool usedLast(const PackingServer &server, const PackingRequest &request) {
  return server.Suspect || request.Avoid.contains(server.Id);
}

/// Shares of the server that a task would leave free, all resources together.
double leftOf(const PackingServer &server, const Resources &each) {
  const auto share = [](std::int64_t left, std::int64_t all) {
    return all > 0 ? static_cast<double>(left) / static_cast<double>(all) : 0.0;
  };
  const Resources &free = server.Free;
  const Resources &all = server.Capacity;
  return share(free.GpuCount - each.GpuCount, all.GpuCount) +
         share(free.CpuMillis - each.CpuMillis, all.CpuMillis) +
         share(free.MemoryMb - each.MemoryMb, all.MemoryMb);
}

/// Lower is better: the tightest server.
auto fitOf(const PackingServer &server, const PackingRequest &request) {
  return std::tuple(usedLast(server, request), leftOf(server, request.Each));
}

/// Places tasks one by one on the best of `among`; undoes all on failure.
Chosen packGreedily(std::vector<PackingServer> &servers,
                    const std::vector<std::size_t> &among,
                    const PackingRequest &request) {
  std::vector<std::size_t> chosen;
  for (std::uint32_t n = 0; n < request.Count; ++n) {
    const PackingServer *best = nullptr;
    std::size_t bestAt = 0;
    for (const std::size_t at : among) {
      const PackingServer &it = servers[at];
      if (!request.Each.fitsIn(it.Free) ||
          (request.MaxPerServer && it.SameStep >= request.MaxPerServer))
        continue;
      if (!best || fitOf(it, request) < fitOf(*best, request)) {
        best = &it;
        bestAt = at;
      }
    }
    if (!best)
      break;
    servers[bestAt].Free -= request.Each;
    ++servers[bestAt].SameStep;
    chosen.push_back(bestAt);
  }
  for (const std::size_t at : chosen) {
    servers[at].Free += request.Each;
    --servers[at].SameStep;
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
    if (admits(servers[at], request))
      racks[servers[at].Rack].push_back(at);
  return racks;
}

/// The rack that fits with the fewest servers that are to be used last, then
/// with the fewest free accelerators left.
Chosen packInOneRack(std::vector<PackingServer> &servers,
                     const PackingRequest &request) {
  Chosen best;
  std::pair<std::int64_t, std::int64_t> bestFit;
  for (const auto &[rack, among] : byRack(servers, request)) {
    std::int64_t left = 0;
    for (const std::size_t at : among)
      left += servers[at].Free.GpuCount;
    if (left < request.Each.GpuCount * request.Count)
      continue;
    Chosen found = packGreedily(servers, among, request);
    if (!found)
      continue;
    const auto last =
        std::count_if(found->begin(), found->end(), [&](std::size_t at) {
          return usedLast(servers[at], request);
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

bool admits(const PackingServer &server, const PackingRequest &request) {
  if (*server.Service != request.Service ||
      (server.ProbeOnly && request.Count > 1) ||
      (request.OnlySound && (server.ProbeOnly || server.Suspect)) ||
      (request.OnlyProven && !server.Proven) || server.KeptFor > request.MayUse)
    return false;
  if (!request.Rack.empty() && server.Rack != request.Rack)
    return false;
  return request.RequiredLabel.empty() ||
         std::find(server.Labels->begin(), server.Labels->end(),
                   request.RequiredLabel) != server.Labels->end();
}

Chosen packTasks(std::vector<PackingServer> &servers,
                 const PackingRequest &request) {
  if (request.OneRack)
    return packInOneRack(servers, request);
  std::vector<std::size_t> among;
  for (std::size_t at = 0; at < servers.size(); ++at)
    if (admits(servers[at], request))
      among.push_back(at);
  return packGreedily(servers, among, request);
}

bool fitsWhenEmpty(const std::vector<PackingServer> &servers,
                   const PackingRequest &request) {
  std::vector<PackingServer> empty = servers;
  for (PackingServer &it : empty) {
    it.Free = it.Capacity;
    it.SameStep = 0;
  }
  return packTasks(empty, request).has_value();
}

void takeRoom(std::vector<PackingServer> &servers,
              const std::vector<std::size_t> &at, const Resources &each) {
  for (const std::size_t it : at)
    servers[it].Free -= each;
}

} // namespace citrongap
