// Linear scans: clear rather than fast, as it stands beside the scheduler.
#include "slot_map.h"

#include <algorithm>

namespace citrongap::bench {

void SlotMap::addServer(const ServerDescription &server) {
  if (Racks.empty() || Racks.back().Id != server.Rack)
    Racks.push_back({server.Rack, {}, 0, 0});
  Rack &rack = Racks.back();
  const std::uint32_t total = server.Total.Count;
  rack.Servers.push_back(Servers.size());
  Index[server.Server] = Servers.size();
  Servers.push_back({server.Server, Racks.size() - 1,
                     std::vector<bool>(total, false), total});
  rack.Free += total;
  rack.Total += total;
  Free += total;
  Total += total;
  LargestServer = std::max(LargestServer, total);
  LargestRack = std::max(LargestRack, rack.Total);
}

SlotMap::Candidates SlotMap::serverFor(std::uint32_t gang, Fit fit) const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < Servers.size(); ++i) {
    if (Servers[i].Free < gang)
      continue;
    if (!best || Servers[i].Free < Servers[*best].Free)
      best = i;
    if (fit == Fit::First)
      break;
  }
  return best ? Candidates{*best} : Candidates{};
}

SlotMap::Candidates SlotMap::rackFor(std::uint32_t gang, Fit fit) const {
  const Rack *best = nullptr;
  for (const auto &it : Racks) {
    if (it.Free < gang)
      continue;
    if (!best || it.Free < best->Free)
      best = &it;
    if (fit == Fit::First)
      break;
  }
  return best ? best->Servers : Candidates{};
}

SlotMap::Candidates SlotMap::racksFor(std::uint32_t gang, Fit fit) const {
  std::size_t bestBegin = 0;
  std::size_t bestEnd = 0;
  std::size_t begin = 0;
  std::uint32_t sum = 0;
  for (std::size_t end = 0; end < Racks.size(); ++end) {
    sum += Racks[end].Free;
    while (sum - Racks[begin].Free >= gang)
      sum -= Racks[begin++].Free;
    if (sum < gang)
      continue;
    if (bestEnd == 0 || end + 1 - begin < bestEnd - bestBegin) {
      bestBegin = begin;
      bestEnd = end + 1;
    }
    if (fit == Fit::First)
      break;
  }
  Candidates servers;
  for (std::size_t i = bestBegin; i < bestEnd; ++i)
    servers.insert(servers.end(), Racks[i].Servers.begin(),
                   Racks[i].Servers.end());
  return servers;
}

Placement SlotMap::fill(const Candidates &servers, std::uint32_t gang) const {
  Placement where;
  for (const auto at : servers) {
    const Server &server = Servers[at];
    PlacementPart part{server.Id, {}};
    for (std::uint32_t i = 0; i < server.Taken.size() && gang > 0; ++i)
      if (!server.Taken[i]) {
        part.Slots.push_back(i);
        --gang;
      }
    if (!part.Slots.empty())
      where.Parts.push_back(std::move(part));
  }
  return where;
}

std::optional<Placement> SlotMap::place(Accelerators gang, Fit fit) const {
  Candidates servers;
  if (gang.Count <= LargestServer)
    servers = serverFor(gang.Count, fit);
  else if (gang.Count <= LargestRack)
    servers = rackFor(gang.Count, fit);
  else if (gang.Count <= Free)
    servers = racksFor(gang.Count, fit);
  if (servers.empty())
    return std::nullopt;
  return fill(servers, gang.Count);
}

bool SlotMap::adjacent(const Placement &where, std::uint32_t gang) const {
  if (gang <= LargestServer)
    return where.Parts.size() == 1;
  if (gang > LargestRack)
    return true;
  const std::size_t rack = Servers[Index.at(where.Parts.front().Server)].Rack;
  return std::all_of(where.Parts.begin(), where.Parts.end(),
                     [&](const auto &it) {
                       return Servers[Index.at(it.Server)].Rack == rack;
                     });
}

bool SlotMap::take(const Placement &where, Accelerators gang) {
  std::uint32_t count = 0;
  std::set<std::pair<BackendServerId, std::uint32_t>> seen;
  for (const auto &part : where.Parts) {
    const auto it = Index.find(part.Server);
    if (it == Index.end())
      return false;
    for (const auto slot : part.Slots) {
      const auto &taken = Servers[it->second].Taken;
      if (slot >= taken.size() || taken[slot] ||
          !seen.insert({part.Server, slot}).second)
        return false;
      ++count;
    }
  }
  if (count != gang.Count || count == 0 || !adjacent(where, count))
    return false;
  for (const auto &[id, slot] : seen) {
    Server &server = Servers[Index.at(id)];
    server.Taken[slot] = true;
    --server.Free;
    --Racks[server.Rack].Free;
    --Free;
  }
  return true;
}

void SlotMap::give(const Placement &where) {
  for (const auto &part : where.Parts) {
    Server &server = Servers[Index.at(part.Server)];
    for (const auto slot : part.Slots) {
      server.Taken[slot] = false;
      ++server.Free;
      ++Racks[server.Rack].Free;
      ++Free;
    }
  }
}

Accelerators SlotMap::largest() const {
  if (Free > LargestRack)
    return {Free};
  std::uint32_t rackFree = 0;
  for (const auto &it : Racks)
    rackFree = std::max(rackFree, it.Free);
  if (rackFree > LargestServer)
    return {rackFree};
  std::uint32_t serverFree = 0;
  for (const auto &it : Servers)
    serverFree = std::max(serverFree, it.Free);
  return {serverFree};
}

Accelerators SlotMap::unusable(const std::set<std::uint32_t> &gangs) const {
  const auto across = gangs.upper_bound(LargestRack);
  if (gangs.empty() || (across != gangs.end() && *across <= Free))
    return {0};
  const auto wide = gangs.upper_bound(LargestServer);
  std::uint32_t out = 0;
  for (const auto &it : Servers) {
    const bool byServer = *gangs.begin() <= it.Free;
    const bool byRack = wide != gangs.end() && *wide <= LargestRack &&
                        *wide <= Racks[it.Rack].Free;
    if (!byServer && !byRack)
      out += it.Free;
  }
  return {out};
}

} // namespace citrongap::bench
