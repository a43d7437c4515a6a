// Greedy best-fit packing of the tasks of a step.
#include "citrongap/workload/vector_packing.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace citrongap {

namespace {

using Placement = std::optional<std::vector<std::size_t>>;

/// Whether the request is a probe only of servers that get no other.
bool probesOnlyIfOverdue(const PackingRequest &request) {
  return request.Count > 1 || request.ExcludeRecentFailures;
}

bool isLastResort(const PackingServer &server, const PackingRequest &request) {
  return server.FailedRecently || request.AvoidServers.contains(server.Id) ||
         (server.ProbeOnly && probesOnlyIfOverdue(request));
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

bool hasRoom(const PackingServer &server, const PackingRequest &request) {
  return request.PerTask.fitsIn(server.Free) &&
         (!request.MaxPerServer || server.TasksOfStep < request.MaxPerServer);
}

/// Places `count` tasks one by one on the best of `eligible`, as many as fit;
/// `servers` is restored on return. The request is for all tasks together or
/// for one, of which a probe takes no more.
std::vector<std::size_t> packGreedily(std::vector<PackingServer> &servers,
                                      const std::vector<std::size_t> &eligible,
                                      const PackingRequest &request,
                                      std::uint32_t count) {
  const bool together = request.Count == count;
  std::vector<std::size_t> chosen;
  while (chosen.size() < count) {
    std::optional<std::size_t> best;
    decltype(fitKey(servers.front(), request)) bestKey;
    for (const std::size_t at : eligible) {
      if (!hasRoom(servers[at], request))
        continue;
      const auto key = fitKey(servers[at], request);
      if (best && !(key < bestKey))
        continue;
      best = at;
      bestKey = key;
    }
    if (!best)
      break;
    // With each task the server becomes tighter, so it stays the best until it
    // is full.
    PackingServer &server = servers[*best];
    const bool probesAlone = server.ProbeOnly && !together;
    do {
      server.Free -= request.PerTask;
      ++server.TasksOfStep;
      chosen.push_back(*best);
    } while (chosen.size() < count && !probesAlone && hasRoom(server, request));
    if (probesAlone)
      break;
  }
  for (const std::size_t at : chosen) {
    servers[at].Free += request.PerTask;
    --servers[at].TasksOfStep;
  }
  return chosen;
}

/// The places of all tasks of the request, or nothing.
Placement packAll(std::vector<PackingServer> &servers,
                  const std::vector<std::size_t> &eligible,
                  const PackingRequest &request) {
  std::vector<std::size_t> chosen =
      packGreedily(servers, eligible, request, request.Count);
  if (chosen.size() < request.Count)
    return std::nullopt;
  return chosen;
}

std::vector<std::size_t>
eligibleServers(const std::vector<PackingServer> &servers,
                const PackingRequest &request) {
  std::vector<std::size_t> eligible;
  for (std::size_t at = 0; at < servers.size(); ++at)
    if (isEligible(servers[at], request))
      eligible.push_back(at);
  return eligible;
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
    Placement found = packAll(servers, eligible, request);
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

/// Any servers that hold `request` hold `other`, too.
bool isNoEasier(const PackingRequest &request, const PackingRequest &other) {
  return other.Service == request.Service && other.Count <= request.Count &&
         other.PerTask.fitsIn(request.PerTask) &&
         other.Access >= request.Access &&
         (other.RequiredLabel.empty() ||
          other.RequiredLabel == request.RequiredLabel) &&
         (other.Rack.empty() || other.Rack == request.Rack) &&
         (!other.OneRack || request.OneRack) &&
         other.Speeds.covers(request.Speeds) &&
         (!other.ExcludeRecentFailures || request.ExcludeRecentFailures) &&
         (!other.RequireRecentSuccess || request.RequireRecentSuccess) &&
         (other.ProbesEarly || !request.ProbesEarly);
}

} // namespace

bool isEligible(const PackingServer &server, const PackingRequest &request) {
  if (*server.Service != request.Service ||
      (server.ProbeEarly && !request.ProbesEarly) ||
      (server.ProbeOnly && !server.ProbeOverdue &&
       probesOnlyIfOverdue(request)) ||
      (request.ExcludeRecentFailures && server.FailedRecently) ||
      (request.RequireRecentSuccess && !server.SucceededRecently) ||
      server.ReservedFor > request.Access ||
      !request.Speeds.contains(server.Speed))
    return false;
  if (!request.Rack.empty() && server.Rack != request.Rack)
    return false;
  return hasLabel(server, request.RequiredLabel);
}

bool hasLabel(const PackingServer &server, const std::string &label) {
  return label.empty() ||
         std::find(server.Labels->begin(), server.Labels->end(), label) !=
             server.Labels->end();
}

Placement packTasks(std::vector<PackingServer> &servers,
                    const PackingRequest &request) {
  if (request.OneRack)
    return packInOneRack(servers, request);
  return packAll(servers, eligibleServers(servers, request), request);
}

std::vector<std::size_t> packAsMany(std::vector<PackingServer> &servers,
                                    const PackingRequest &request) {
  // Each task is placed for itself, so servers in quarantine are eligible.
  PackingRequest one = request;
  one.Count = 1;
  return packGreedily(servers, eligibleServers(servers, one), one,
                      request.Count);
}

void PackingOutcomes::add(const PackingRequest &request, bool fits) {
  if (!request.MaxPerServer && !find(request))
    (fits ? Fits : Failures).push_back(request);
}

std::optional<bool> PackingOutcomes::find(const PackingRequest &request) const {
  if (request.MaxPerServer)
    return std::nullopt;
  if (std::any_of(Failures.begin(), Failures.end(),
                  [&](const auto &it) { return isNoEasier(request, it); }))
    return false;
  if (std::any_of(Fits.begin(), Fits.end(),
                  [&](const auto &it) { return isNoEasier(it, request); }))
    return true;
  return std::nullopt;
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

void keep(std::vector<PackingServer> &servers,
          const std::vector<std::size_t> &at, const Resources &each) {
  allocate(servers, at, each);
  for (const std::size_t it : at)
    servers[it].Kept += each;
}

} // namespace citrongap
