// Finding the smallest enclosing cell for a gang.
#include "citrongap/policy/cells.h"

#include <algorithm>
#include <bit>

namespace citrongap {

namespace {

/// The order of the smallest aligned block with `gang` slots.
std::uint32_t orderFor(std::uint32_t gang) {
  return static_cast<std::uint32_t>(std::bit_width(gang - 1));
}

SlotMask blockMask(std::uint32_t order, std::uint32_t base) {
  return allSlots({1U << order}) << base;
}

/// Bit i is set when a maximal aligned free block of 2^i slots exists.
std::uint32_t maximalBlocks(SlotMask available) {
  std::uint32_t orders = 0;
  for (std::uint32_t order = std::bit_width(MaxSlots); order-- > 0;) {
    for (std::uint32_t base = 0; base < MaxSlots; base += 1U << order) {
      const SlotMask block = blockMask(order, base);
      if ((available & block) != block)
        continue;
      orders |= 1U << order;
      available &= ~block;
    }
  }
  return orders;
}

/// Takes `gang` of the block's available slots from as few halves as it can.
SlotMask chooseWithin(SlotMask available, std::uint32_t order,
                      std::uint32_t base, std::uint32_t gang) {
  available &= blockMask(order, base);
  if (slotCount(available) == gang)
    return available;
  const std::uint32_t half = 1U << (order - 1);
  const SlotMask low = available & blockMask(order - 1, base);
  const SlotMask high = available & blockMask(order - 1, base + half);
  const std::uint32_t inLow = slotCount(low);
  const std::uint32_t inHigh = slotCount(high);
  if (inLow >= gang && (inHigh < gang || inLow <= inHigh))
    return chooseWithin(low, order - 1, base, gang);
  if (inHigh >= gang)
    return chooseWithin(high, order - 1, base + half, gang);
  if (inLow >= inHigh)
    return low | chooseWithin(high, order - 1, base + half, gang - inLow);
  return high | chooseWithin(low, order - 1, base, gang - inHigh);
}

} // namespace

std::uint32_t slotCount(SlotMask slots) {
  return static_cast<std::uint32_t>(std::popcount(slots));
}

SlotMask allSlots(Accelerators total) {
  return (SlotMask{1} << std::min(total.Count, MaxSlots)) - 1;
}

std::uint32_t slotCount(const GangCells &cells) {
  std::uint32_t n = 0;
  for (const ServerCells &it : cells)
    n += slotCount(it.Slots);
  return n;
}

SlotMask chooseSlots(SlotMask available, std::uint32_t gang) {
  for (std::uint32_t order = orderFor(gang);; ++order) {
    std::optional<std::uint32_t> best;
    std::uint32_t fewest = 0;
    for (std::uint32_t base = 0; base < MaxSlots; base += 1U << order) {
      const std::uint32_t n = slotCount(available & blockMask(order, base));
      if (n >= gang && (!best || n < fewest)) {
        best = base;
        fewest = n;
      }
    }
    if (best)
      return chooseWithin(available, order, *best, gang);
  }
}

SlotMask CellPool::availableOn(ServerIndex server) const {
  return server.At < Available.size() ? Available[server.At] : 0;
}

bool CellPool::whole(ServerIndex server) const {
  const SlotMask slots = availableOn(server);
  return slots != 0 && slots == Layout.slotsOf(server);
}

void CellPool::set(ServerIndex server, SlotMask available) {
  if (server.At >= Available.size())
    Available.resize(server.At + 1);
  const SlotMask before = Available[server.At];
  if (before == available)
    return;
  Available[server.At] = available;
  Total = Total + slotCount(available) - slotCount(before);
  indexServer(server.At, before, available);
  indexRack(Layout.rackOf(server));
}

void CellPool::take(const GangCells &cells) {
  for (const ServerCells &it : cells)
    set(it.Server, availableOn(it.Server) & ~it.Slots);
}

void CellPool::give(const GangCells &cells) {
  for (const ServerCells &it : cells)
    set(it.Server, availableOn(it.Server) | it.Slots);
}

void CellPool::indexServer(std::uint32_t server, SlotMask before,
                           SlotMask after) {
  const std::uint32_t old = maximalBlocks(before);
  const std::uint32_t now = maximalBlocks(after);
  for (std::uint32_t order = 0; order < Orders; ++order) {
    const bool had = ((old >> order) & 1U) != 0;
    const bool has = ((now >> order) & 1U) != 0;
    if (had && !has)
      ByBlock[order].erase(server);
    if (!had && has)
      ByBlock[order].insert(server);
  }
  ByCount.set(server, slotCount(after));
}

void CellPool::indexRack(RackIndex rack) {
  if (rack.At >= Racks.size())
    Racks.resize(rack.At + 1);
  RackSums sums;
  for (const ServerIndex it : Layout.serversOf(rack)) {
    const std::uint32_t n = slotCount(availableOn(it));
    sums.Slots += n;
    if (whole(it))
      sums.Whole += n;
    else
      sums.LargestPart = std::max(sums.LargestPart, n);
  }
  Racks[rack.At] = sums;
  RacksByWhole.set(rack.At, sums.Whole);
  RacksByReach.set(rack.At, sums.Whole + sums.LargestPart);
  RacksBySlots.set(rack.At, sums.Slots);
}

std::optional<GangCells> CellPool::find(Accelerators gang) const {
  if (gang.Count == 0 || gang.Count > Total)
    return std::nullopt;
  if (gang <= Layout.largestServer())
    return findInServer(gang.Count);
  if (gang <= Layout.largestRack())
    return findInRack(gang.Count);
  return findAcrossRacks(gang.Count);
}

Accelerators CellPool::largest(Accelerators limit) const {
  const std::uint32_t inServer =
      std::min(ByCount.highestRank(), Layout.largestServer().Count);
  const std::uint32_t inRack =
      std::min(RacksBySlots.highestRank(), Layout.largestRack().Count);
  std::uint32_t best = inServer;
  if (inRack > Layout.largestServer().Count)
    best = inRack;
  return {
      std::min(std::max(best, largestAcrossRacks(limit.Count)), limit.Count)};
}

/// 0 when no run of racks has more than one rack may hold.
std::uint32_t CellPool::largestAcrossRacks(std::uint32_t limit) const {
  const auto &order = Layout.rackOrder();
  const std::uint32_t perRack = Layout.largestRack().Count;
  std::uint32_t best = 0;
  for (std::uint32_t need = 2; perRack > 0 && (need - 1) * perRack < limit;
       ++need) {
    const std::size_t width = std::size_t{need} * MaxRackSpread;
    std::uint32_t slots = 0;
    std::uint32_t most = 0;
    for (std::size_t end = 0; end < order.size(); ++end) {
      slots += slotsIn(order[end]);
      if (end >= width)
        slots -= slotsIn(order[end - width]);
      most = std::max(most, slots);
    }
    if (most > (need - 1) * perRack)
      best = std::min(most, need * perRack);
  }
  return best;
}

std::uint32_t CellPool::slotsIn(RackIndex rack) const {
  return rack.At < Racks.size() ? Racks[rack.At].Slots : 0;
}

std::optional<ServerIndex> CellPool::tightestServer(std::uint32_t gang) const {
  const std::uint32_t order = orderFor(gang);
  const auto byCount = ByCount.firstAtLeast(gang);
  if (!byCount)
    return std::nullopt;
  if (ByCount.rankOf(*byCount) < (1U << order))
    return ServerIndex{*byCount};
  for (std::uint32_t i = order; i < Orders; ++i) {
    const auto at = ByBlock[i].firstFrom(0);
    if (!at)
      continue;
    if (!whole({*at}))
      return ServerIndex{*at};
    const auto rack = RacksByWhole.firstAtLeast(1);
    for (const ServerIndex it : Layout.serversOf({*rack}))
      if (whole(it) && slotCount(availableOn(it)) >= gang)
        return it;
    return ServerIndex{*at};
  }
  return ServerIndex{*byCount};
}

std::optional<GangCells> CellPool::findInServer(std::uint32_t gang) const {
  const auto server = tightestServer(gang);
  if (!server)
    return std::nullopt;
  return GangCells{{*server, chooseSlots(availableOn(*server), gang)}};
}

std::optional<GangCells> CellPool::findInRack(std::uint32_t gang) const {
  auto rack = RacksByReach.firstAtLeast(gang);
  if (!rack)
    rack = RacksBySlots.firstAtLeast(gang);
  if (!rack)
    return std::nullopt;
  return fill({RackIndex{*rack}}, gang);
}

std::optional<GangCells> CellPool::findAcrossRacks(std::uint32_t gang) const {
  auto racks = narrowestRun(gang, &RackSums::Whole);
  if (racks.empty())
    racks = narrowestRun(gang, &RackSums::Slots);
  if (racks.empty())
    return std::nullopt;
  return fill(racks, gang);
}

std::vector<RackIndex>
CellPool::narrowestRun(std::uint32_t gang, std::uint32_t RackSums::*sum) const {
  const auto &order = Layout.rackOrder();
  const std::uint32_t perRack = Layout.largestRack().Count;
  std::size_t width =
      std::size_t{MaxRackSpread} * ((gang + perRack - 1) / perRack);
  if (RacksBySlots.highestRank() * width < gang)
    return {};
  std::size_t bestEnd = 0;
  std::uint32_t bestSlots = 0;
  std::uint32_t slots = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < order.size(); ++end) {
    const auto at = [&](std::size_t i) {
      return order[i].At < Racks.size() ? Racks[order[i].At].*sum : 0;
    };
    slots += at(end);
    while (slots - at(begin) >= gang || end + 1 - begin > width)
      slots -= at(begin++);
    const std::size_t span = end + 1 - begin;
    if (slots < gang)
      continue;
    if (bestEnd == 0 || span < width || slots < bestSlots) {
      width = span;
      bestEnd = end + 1;
      bestSlots = slots;
    }
  }
  if (bestEnd == 0)
    return {};
  const auto last = order.begin() + static_cast<std::ptrdiff_t>(bestEnd);
  return {last - static_cast<std::ptrdiff_t>(width), last};
}

/// The rack's whole servers; the shortest run of neighbours that is enough for
/// the gang first, longer remains of broken runs next.
std::vector<ServerIndex> CellPool::wholeServers(RackIndex rack,
                                                std::uint32_t gang) const {
  struct Run {
    std::vector<ServerIndex> Servers;
    std::uint32_t Slots = 0;
  };
  std::vector<Run> runs(1);
  for (const ServerIndex it : Layout.serversOf(rack)) {
    if (whole(it)) {
      runs.back().Servers.push_back(it);
      runs.back().Slots += slotCount(availableOn(it));
    } else if (!runs.back().Servers.empty()) {
      runs.emplace_back();
    }
  }
  std::stable_sort(
      runs.begin(), runs.end(), [gang](const Run &lhs, const Run &rhs) {
        const bool left = lhs.Slots >= gang;
        const bool right = rhs.Slots >= gang;
        if (left != right)
          return left;
        return left ? lhs.Slots < rhs.Slots : lhs.Slots > rhs.Slots;
      });
  std::vector<ServerIndex> out;
  for (const Run &it : runs)
    out.insert(out.end(), it.Servers.begin(), it.Servers.end());
  return out;
}

/// Whole servers first, then the tightest parts.
GangCells CellPool::fill(const std::vector<RackIndex> &racks,
                         std::uint32_t gang) const {
  GangCells out;
  std::vector<ServerIndex> rest;
  for (const RackIndex rack : racks) {
    for (const ServerIndex it : wholeServers(rack, gang)) {
      const std::uint32_t n = slotCount(availableOn(it));
      if (n > gang) {
        rest.push_back(it);
        continue;
      }
      out.push_back({it, availableOn(it)});
      gang -= n;
    }
    for (const ServerIndex it : Layout.serversOf(rack))
      if (availableOn(it) != 0 && !whole(it))
        rest.push_back(it);
  }
  std::stable_sort(rest.begin(), rest.end(), [this](auto lhs, auto rhs) {
    return slotCount(availableOn(lhs)) < slotCount(availableOn(rhs));
  });
  while (gang > 0) {
    auto it = std::find_if(rest.begin(), rest.end(), [&](ServerIndex at) {
      return slotCount(availableOn(at)) >= gang;
    });
    if (it == rest.end())
      it = rest.end() - 1;
    const SlotMask slots = availableOn(*it);
    const std::uint32_t n = std::min(gang, slotCount(slots));
    out.push_back({*it, chooseSlots(slots, n)});
    gang -= n;
    rest.erase(it);
  }
  return out;
}

} // namespace citrongap
