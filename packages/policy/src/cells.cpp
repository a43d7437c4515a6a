// CellPool: index maintenance and the search for the smallest enclosing cell.
#include "citrongap/policy/cells.h"

#include <algorithm>
#include <bit>

namespace citrongap {

namespace {

/// Order (log2 of the size) of the smallest aligned block with `gang` slots.
std::uint32_t orderFor(std::uint32_t gang) {
  return static_cast<std::uint32_t>(std::bit_width(gang - 1));
}

SlotMask blockMask(std::uint32_t order, std::uint32_t base) {
  return allSlots({1U << order}) << base;
}

/// Bit i is set if a maximal aligned available block of 2^i slots exists.
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

/// Chooses `gang` available slots of the block from as few halves as possible.
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
  return server.Value < Available.size() ? Available[server.Value] : 0;
}

bool CellPool::whole(ServerIndex server) const {
  const SlotMask slots = availableOn(server);
  return slots != 0 && slots == Layout.slotsOf(server);
}

void CellPool::setAvailable(ServerIndex server, SlotMask available) {
  if (server.Value >= Available.size())
    Available.resize(server.Value + 1);
  const SlotMask before = Available[server.Value];
  if (before == available)
    return;
  Available[server.Value] = available;
  Total = Total + slotCount(available) - slotCount(before);
  indexServer(server.Value, before, available);
  indexRack(Layout.rackOf(server));
}

void CellPool::allocate(const GangCells &cells) {
  for (const ServerCells &it : cells)
    setAvailable(it.Server, availableOn(it.Server) & ~it.Slots);
}

void CellPool::release(const GangCells &cells) {
  for (const ServerCells &it : cells)
    setAvailable(it.Server, availableOn(it.Server) | it.Slots);
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
  if (rack.Value >= Racks.size())
    Racks.resize(rack.Value + 1);
  RackTotals totals;
  for (const ServerIndex it : Layout.serversOf(rack)) {
    const std::uint32_t n = slotCount(availableOn(it));
    totals.Slots += n;
    if (whole(it))
      totals.Whole += n;
    else
      totals.LargestPart = std::max(totals.LargestPart, n);
  }
  Racks[rack.Value] = totals;
  RacksByWhole.set(rack.Value, totals.Whole);
  RacksByWholeAndPart.set(rack.Value, totals.Whole + totals.LargestPart);
  RacksBySlots.set(rack.Value, totals.Slots);
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

Accelerators CellPool::largestGang(Accelerators limit) const {
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

/// Returns 0 if no span of racks has more slots than one rack can hold.
std::uint32_t CellPool::largestAcrossRacks(std::uint32_t limit) const {
  const auto &order = Layout.rackOrder();
  const std::uint32_t perRack = Layout.largestRack().Count;
  std::uint32_t best = 0;
  for (std::uint32_t need = 2; perRack > 0 && (need - 1) * perRack < limit;
       ++need) {
    const std::size_t width = std::size_t{need} * MaxRackSpreadFactor;
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
  return rack.Value < Racks.size() ? Racks[rack.Value].Slots : 0;
}

std::optional<ServerIndex> CellPool::bestFitServer(std::uint32_t gang) const {
  const std::uint32_t order = orderFor(gang);
  const auto byCount = ByCount.firstAtLeast(gang);
  if (!byCount)
    return std::nullopt;
  if (ByCount.rankOf(*byCount) < (1U << order))
    return ServerIndex{*byCount};
  for (std::uint32_t i = order; i < Orders; ++i) {
    const auto at = ByBlock[i].firstAtOrAfter(0);
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
  const auto server = bestFitServer(gang);
  if (!server)
    return std::nullopt;
  return GangCells{{*server, chooseSlots(availableOn(*server), gang)}};
}

std::optional<GangCells> CellPool::findInRack(std::uint32_t gang) const {
  auto rack = RacksByWholeAndPart.firstAtLeast(gang);
  if (!rack)
    rack = RacksBySlots.firstAtLeast(gang);
  if (!rack)
    return std::nullopt;
  return fill({RackIndex{*rack}}, gang);
}

std::optional<GangCells> CellPool::findAcrossRacks(std::uint32_t gang) const {
  auto racks = narrowestRackSpan(gang, &RackTotals::Whole);
  if (racks.empty())
    racks = narrowestRackSpan(gang, &RackTotals::Slots);
  if (racks.empty())
    return std::nullopt;
  return fill(racks, gang);
}

std::vector<RackIndex>
CellPool::narrowestRackSpan(std::uint32_t gang,
                            std::uint32_t RackTotals::*sum) const {
  const auto &order = Layout.rackOrder();
  const std::uint32_t perRack = Layout.largestRack().Count;
  std::size_t width =
      std::size_t{MaxRackSpreadFactor} * ((gang + perRack - 1) / perRack);
  const RankedSet &ranks =
      sum == &RackTotals::Whole ? RacksByWhole : RacksBySlots;
  if (ranks.highestRank() * width < gang)
    return {};
  std::size_t bestEnd = 0;
  std::uint32_t bestSlots = 0;
  std::uint32_t slots = 0;
  std::size_t begin = 0;
  for (std::size_t end = 0; end < order.size(); ++end) {
    const auto at = [&](std::size_t i) {
      return order[i].Value < Racks.size() ? Racks[order[i].Value].*sum : 0;
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

/// Entirely available servers of the rack, grouped into spans of adjacent ones.
/// Spans that can hold the gang come first, smallest first; the others follow,
/// largest first.
std::vector<ServerIndex> CellPool::wholeServers(RackIndex rack,
                                                std::uint32_t gang) const {
  struct Span {
    std::vector<ServerIndex> Servers;
    std::uint32_t Slots = 0;
  };
  std::vector<Span> spans(1);
  for (const ServerIndex it : Layout.serversOf(rack)) {
    if (whole(it)) {
      spans.back().Servers.push_back(it);
      spans.back().Slots += slotCount(availableOn(it));
    } else if (!spans.back().Servers.empty()) {
      spans.emplace_back();
    }
  }
  std::stable_sort(
      spans.begin(), spans.end(), [gang](const Span &lhs, const Span &rhs) {
        const bool left = lhs.Slots >= gang;
        const bool right = rhs.Slots >= gang;
        if (left != right)
          return left;
        return left ? lhs.Slots < rhs.Slots : lhs.Slots > rhs.Slots;
      });
  std::vector<ServerIndex> out;
  for (const Span &it : spans)
    out.insert(out.end(), it.Servers.begin(), it.Servers.end());
  return out;
}

/// Allocates whole servers first, then the remainder by best fit on partial
/// servers.
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
