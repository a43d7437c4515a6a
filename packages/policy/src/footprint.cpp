// FootprintMap: placement and repacking of footprint cells.
#include "citrongap/policy/footprint.h"

#include <algorithm>
#include <bitset>
#include <optional>
#include <utility>

namespace citrongap {

bool FootprintMap::LargestFirst::operator()(const FootprintCell *lhs,
                                            const FootprintCell *rhs) const {
  if (lhs->Gang != rhs->Gang)
    return lhs->Gang > rhs->Gang;
  return lhs->Sequence < rhs->Sequence;
}

void FootprintMap::configure(const std::vector<AssignedShape> &shapes) {
  using Key = std::pair<ClientAccountId, Accelerators>;
  std::map<Key, std::uint32_t> requested;
  for (const AssignedShape &it : shapes)
    requested[{it.Account, it.Shape.Gang}] += it.Shape.Count;
  std::vector<FootprintCell *> extra;
  for (FootprintCell &it : All) {
    std::uint32_t &n = requested[{it.Account, it.Gang}];
    if (n > 0)
      --n;
    else
      extra.push_back(&it);
  }
  for (FootprintCell *it : extra)
    remove(it);
  for (const auto &[key, count] : requested)
    if (count > 0)
      add({key.first, {key.second, count}});
  RepackedTopology = 0;
}

void FootprintMap::add(const AssignedShape &shape) {
  auto &own = ByAccount[shape.Account];
  for (std::uint32_t i = 0; i < shape.Shape.Count; ++i) {
    All.push_back({shape.Account, shape.Shape.Gang, NextSequence++, {}});
    own.push_back(&All.back());
    Unplaced.insert(&All.back());
  }
  std::stable_sort(own.begin(), own.end(),
                   [](auto *lhs, auto *rhs) { return lhs->Gang < rhs->Gang; });
}

void FootprintMap::remove(FootprintCell *cell) {
  unplace(*cell);
  Unplaced.erase(cell);
  auto &own = ByAccount[cell->Account];
  std::erase(own, cell);
  if (own.empty())
    ByAccount.erase(cell->Account);
  All.remove_if([cell](const FootprintCell &it) { return &it == cell; });
}

void FootprintMap::unplace(FootprintCell &cell) {
  if (cell.Where.empty())
    return;
  Cells.unclaim(cell);
  Unplaced.insert(&cell);
}

void FootprintMap::place(FootprintCell &cell, GangCells where) {
  Unplaced.erase(&cell);
  Cells.claim(cell, std::move(where));
  ChangedAccounts.insert(cell.Account);
}

void FootprintMap::vacateServer(ServerIndex server) {
  for (std::uint32_t slot = 0; slot < MaxSlots; ++slot)
    if (FootprintCell *cell = Cells.slotState(server, slot).ClaimedBy)
      unplace(*cell);
}

void FootprintMap::displaceClaims(const RunningJob &job) {
  if (job.job().Repeatable)
    return;
  forEachSlot(job.Cells, [&](ServerIndex server, std::uint32_t slot) {
    FootprintCell *cell = Cells.slotState(server, slot).ClaimedBy;
    if (cell && cell->Account != job.job().Id.Account)
      unplace(*cell);
  });
}

void FootprintMap::repack(const UnrepeatableJobs &unrepeatableJobs) {
  if (Unplaced.empty())
    return;
  placeUnplaced(unrepeatableJobs);
  if (Unplaced.empty() || RepackedTopology == Cells.topologyVersion())
    return;
  RepackedTopology = Cells.topologyVersion();
  repackUnusedCells();
}

void FootprintMap::placeUnplaced(const UnrepeatableJobs &unrepeatableJobs) {
  std::bitset<MaxGang.Count + 1> unavailable;
  const std::vector<FootprintCell *> waiting(Unplaced.begin(), Unplaced.end());
  for (FootprintCell *cell : waiting) {
    if (placeOnOwnJobs(*cell, unrepeatableJobs))
      continue;
    if (unavailable.test(cell->Gang.Count))
      continue;
    if (auto where = Cells.claimable().find(cell->Gang))
      place(*cell, std::move(*where));
    else
      unavailable.set(cell->Gang.Count);
  }
}

bool FootprintMap::placeOnOwnJobs(FootprintCell &cell,
                                  const UnrepeatableJobs &unrepeatableJobs) {
  for (const RunningJob *job : unrepeatableJobs(cell.Account)) {
    if (job->job().Gang > cell.Gang || job->Cells.empty())
      continue;
    GangCells where = extendAround(cell, *job);
    if (where.empty())
      continue;
    place(cell, std::move(where));
    return true;
  }
  return false;
}

/// Returns the job's cells extended by claimable ones on the same server or
/// rack. Returns an empty list if there are too few, if a footprint claims a
/// cell of the job already, or if one of its servers accepts no new work.
GangCells FootprintMap::extendAround(const FootprintCell &cell,
                                     const RunningJob &job) {
  bool usable = slotCount(job.Cells) == job.job().Gang.Count;
  forEachSlot(job.Cells, [&](ServerIndex server, std::uint32_t slot) {
    usable = usable && Cells.placeable(server) &&
             Cells.slotState(server, slot).ClaimedBy == nullptr;
  });
  std::uint32_t missing = cell.Gang.Count - job.job().Gang.Count;
  const bool oneServer = cell.Gang <= Cells.layout().largestServer();
  if (!usable || (oneServer && job.Cells.size() > 1))
    return {};
  GangCells where = job.Cells;
  const auto extend = [&](ServerIndex server) {
    const SlotMask spare = Cells.claimable().availableOn(server);
    const std::uint32_t n = std::min(missing, slotCount(spare));
    if (n == 0)
      return;
    const SlotMask slots = chooseSlots(spare, n);
    const auto it =
        std::find_if(where.begin(), where.end(), [&](const ServerCells &at) {
          return at.Server == server;
        });
    if (it == where.end())
      where.push_back({server, slots});
    else
      it->Slots |= slots;
    missing -= n;
  };
  extend(where.front().Server);
  if (!oneServer)
    for (const ServerIndex it :
         Cells.layout().serversOf(Cells.layout().rackOf(where.front().Server)))
      extend(it);
  return missing == 0 ? where : GangCells{};
}

bool FootprintMap::unusedByOwner(const FootprintCell &cell) const {
  bool ownWork = false;
  forEachSlot(cell.Where, [&](ServerIndex server, std::uint32_t slot) {
    const RunningJob *run = Cells.slotState(server, slot).Run;
    ownWork = ownWork || (run && run->job().Id.Account == cell.Account);
  });
  return !ownWork;
}

std::uint32_t FootprintMap::unplacedSlots() const {
  std::uint32_t n = 0;
  for (const FootprintCell *it : Unplaced)
    n += it->Gang.Count;
  return n;
}

/// Places all footprints that their accounts don't use again, largest first.
/// The previous placement is restored unless fewer accelerators are unplaced
/// afterwards.
void FootprintMap::repackUnusedCells() {
  std::vector<std::pair<FootprintCell *, GangCells>> before;
  for (FootprintCell &it : All)
    if (!it.Where.empty() && unusedByOwner(it))
      before.emplace_back(&it, it.Where);
  const std::uint32_t missing = unplacedSlots();
  const CellOrder unplacedBefore = Unplaced;
  for (const auto &[cell, where] : before)
    unplace(*cell);
  placeUnplaced([](const ClientAccountId &) {
    return std::vector<const RunningJob *>();
  });
  if (unplacedSlots() < missing)
    return;
  for (FootprintCell *it : unplacedBefore)
    unplace(*it);
  for (const auto &[cell, where] : before)
    unplace(*cell);
  for (const auto &[cell, where] : before)
    place(*cell, where);
}

const std::vector<FootprintCell *> &
FootprintMap::cellsOf(const ClientAccountId &account) const {
  static const std::vector<FootprintCell *> None;
  const auto it = ByAccount.find(account);
  return it == ByAccount.end() ? None : it->second;
}

std::vector<AssignedShape> FootprintMap::degradedShapes() const {
  std::vector<AssignedShape> out;
  for (const FootprintCell *it : Unplaced) {
    if (out.empty() || out.back().Account != it->Account ||
        out.back().Shape.Gang != it->Gang)
      out.push_back({it->Account, {it->Gang, 0}});
    ++out.back().Shape.Count;
  }
  return out;
}

std::set<ClientAccountId> FootprintMap::takeChangedAccounts() {
  return std::exchange(ChangedAccounts, {});
}

} // namespace citrongap
