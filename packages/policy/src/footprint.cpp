// Placing and moving footprint cells.
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
  std::map<Key, std::uint32_t> wanted;
  for (const AssignedShape &it : shapes)
    wanted[{it.Account, it.Shape.Gang}] += it.Shape.Count;
  std::vector<FootprintCell *> extra;
  for (FootprintCell &it : All) {
    std::uint32_t &n = wanted[{it.Account, it.Gang}];
    if (n > 0)
      --n;
    else
      extra.push_back(&it);
  }
  for (FootprintCell *it : extra)
    drop(it);
  for (const auto &[key, count] : wanted)
    if (count > 0)
      add({key.first, {key.second, count}});
  MovedAt = 0;
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

void FootprintMap::drop(FootprintCell *cell) {
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
  Changed.insert(cell.Account);
}

void FootprintMap::leaveServer(ServerIndex server) {
  for (std::uint32_t slot = 0; slot < MaxSlots; ++slot)
    if (FootprintCell *cell = Cells.use(server, slot).Claim)
      unplace(*cell);
}

void FootprintMap::giveWay(const RunningJob &job) {
  if (job.job().Repeatable)
    return;
  forEachSlot(job.Cells, [&](ServerIndex server, std::uint32_t slot) {
    FootprintCell *cell = Cells.use(server, slot).Claim;
    if (cell && cell->Account != job.job().Id.Account)
      unplace(*cell);
  });
}

void FootprintMap::repack(const FixedWork &fixedWork) {
  if (Unplaced.empty())
    return;
  placeUnplaced(fixedWork);
  if (Unplaced.empty() || MovedAt == Cells.topologyVersion())
    return;
  MovedAt = Cells.topologyVersion();
  moveClearCells();
}

void FootprintMap::placeUnplaced(const FixedWork &fixedWork) {
  std::bitset<MaxGang.Count + 1> noRoom;
  const std::vector<FootprintCell *> waiting(Unplaced.begin(), Unplaced.end());
  for (FootprintCell *cell : waiting) {
    if (placeOnOwnWork(*cell, fixedWork))
      continue;
    if (noRoom.test(cell->Gang.Count))
      continue;
    if (auto where = Cells.claimable().find(cell->Gang))
      place(*cell, std::move(*where));
    else
      noRoom.set(cell->Gang.Count);
  }
}

bool FootprintMap::placeOnOwnWork(FootprintCell &cell,
                                  const FixedWork &fixedWork) {
  for (const RunningJob *job : fixedWork(cell.Account)) {
    if (job->job().Gang > cell.Gang || job->Cells.empty())
      continue;
    GangCells where = around(cell, *job);
    if (where.empty())
      continue;
    place(cell, std::move(where));
    return true;
  }
  return false;
}

/// The job's cells and claimable ones next to them; empty when there are not
/// enough, or when the job stands in a footprint already or on a server that
/// takes no new work.
GangCells FootprintMap::around(const FootprintCell &cell,
                               const RunningJob &job) {
  bool usable = slotCount(job.Cells) == job.job().Gang.Count;
  forEachSlot(job.Cells, [&](ServerIndex server, std::uint32_t slot) {
    usable = usable && Cells.placeable(server) &&
             Cells.use(server, slot).Claim == nullptr;
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

bool FootprintMap::clear(const FootprintCell &cell) const {
  bool ownWork = false;
  forEachSlot(cell.Where, [&](ServerIndex server, std::uint32_t slot) {
    const RunningJob *run = Cells.use(server, slot).Run;
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

/// Lays all footprints without own work anew, largest first, and keeps the
/// result if fewer accelerators are then left without a place.
void FootprintMap::moveClearCells() {
  std::vector<std::pair<FootprintCell *, GangCells>> before;
  for (FootprintCell &it : All)
    if (!it.Where.empty() && clear(it))
      before.emplace_back(&it, it.Where);
  const std::uint32_t missing = unplacedSlots();
  const CellOrder wanted = Unplaced;
  for (const auto &[cell, where] : before)
    unplace(*cell);
  placeUnplaced([](const ClientAccountId &) {
    return std::vector<const RunningJob *>();
  });
  if (unplacedSlots() < missing)
    return;
  for (FootprintCell *it : wanted)
    unplace(*it);
  for (const auto &[cell, where] : before)
    unplace(*cell);
  for (const auto &[cell, where] : before)
    place(*cell, where);
}

const std::vector<FootprintCell *> &
FootprintMap::of(const ClientAccountId &account) const {
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
  return std::exchange(Changed, {});
}

} // namespace citrongap
