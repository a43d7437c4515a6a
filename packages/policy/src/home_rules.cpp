// Choosing cells in the account's own footprint.
#include "pod_state.h"

#include <algorithm>
#include <tuple>

namespace citrongap {

namespace {

/// `gang` of the given cells: in one server if it fits in one, from as few
/// servers as it can otherwise.
std::optional<GangCells> chooseFrom(GangCells cells, std::uint32_t gang,
                                    bool oneServer) {
  std::stable_sort(cells.begin(), cells.end(),
                   [oneServer](const auto &lhs, const auto &rhs) {
                     const auto left = slotCount(lhs.Slots);
                     const auto right = slotCount(rhs.Slots);
                     return oneServer ? left < right : left > right;
                   });
  GangCells out;
  for (const ServerCells &it : cells) {
    const std::uint32_t n = slotCount(it.Slots);
    if (oneServer && n < gang)
      continue;
    const std::uint32_t taken = std::min(n, gang);
    out.push_back({it.Server, chooseSlots(it.Slots, taken)});
    gang -= taken;
    if (gang == 0)
      return out;
  }
  return std::nullopt;
}

} // namespace

std::optional<HomeChoice> PodScheduler::State::homeIn(const FootprintCell &cell,
                                                      const JobRequest &job) {
  GangCells free;
  GangCells usable;
  for (const ServerCells &part : cell.Where) {
    SlotMask clear = 0;
    SlotMask mine = 0;
    forEachSlot({part}, [&](ServerIndex server, std::uint32_t slot) {
      const SlotUse &use = Cells.use(server, slot);
      const Reservation *held = Reserved.find(use.HeldBy);
      const SlotMask bit = SlotMask{1} << slot;
      if (use.atHome() || (held && held->Kind == ReservationKind::Footprint))
        return;
      mine |= bit;
      if (!use.Run)
        clear |= bit;
    });
    if (clear != 0)
      free.push_back({part.Server, clear});
    if (mine != 0)
      usable.push_back({part.Server, mine});
  }
  const std::uint32_t gang = job.Gang.Count;
  const bool oneServer = job.Gang <= Cells.layout().largestServer();
  if (auto where = chooseFrom(std::move(free), gang, oneServer))
    return HomeChoice{std::move(*where), true};
  if (auto where = chooseFrom(std::move(usable), gang, oneServer))
    return HomeChoice{std::move(*where), false};
  return std::nullopt;
}

std::uint32_t
PodScheduler::State::roomAtHome(const ClientAccountId &account) const {
  std::uint32_t most = 0;
  for (const FootprintCell *cell : Footprints.of(account)) {
    std::uint32_t room = 0;
    forEachSlot(cell->Where, [&](ServerIndex server, std::uint32_t slot) {
      room += Cells.use(server, slot).atHome() ? 0 : 1;
    });
    most = std::max(most, room);
  }
  return most;
}

std::int64_t PodScheduler::State::workOn(const GangCells &cells,
                                         MonoTime now) const {
  std::int64_t lost = 0;
  const RunningJob *last = nullptr;
  forEachSlot(cells, [&](ServerIndex server, std::uint32_t slot) {
    const RunningJob *run = Cells.use(server, slot).Run;
    if (run && run != last)
      lost += ((now - run->StartedAt).count() + 1) * run->job().Gang.Count;
    last = run;
  });
  return lost;
}

/// Clear cells first, then those where the least work is lost, then the
/// smallest shape, then one that is in part used already.
std::optional<HomeChoice> PodScheduler::State::chooseHome(const JobRequest &job,
                                                          MonoTime now) {
  std::optional<HomeChoice> best;
  std::tuple<std::int64_t, std::uint32_t, bool> bestRank;
  for (const FootprintCell *cell : Footprints.of(job.Id.Account)) {
    if (cell->Gang < job.Gang || cell->Where.empty())
      continue;
    auto choice = homeIn(*cell, job);
    if (!choice)
      continue;
    const std::tuple rank(workOn(choice->Where, now), cell->Gang.Count,
                          Footprints.clear(*cell));
    if (best && bestRank <= rank)
      continue;
    best = std::move(choice);
    bestRank = rank;
  }
  return best;
}

std::optional<GangCells>
PodScheduler::State::drainableHome(const JobRequest &job) {
  for (const FootprintCell *cell : Footprints.of(job.Id.Account)) {
    if (cell->Gang < job.Gang || cell->Where.empty())
      continue;
    bool drainable = true;
    forEachSlot(cell->Where, [&](ServerIndex server, std::uint32_t slot) {
      const SlotUse &use = Cells.use(server, slot);
      const Reservation *held = Reserved.find(use.HeldBy);
      const bool stays =
          use.atHome() && (!use.Run->job().Repeatable ||
                           use.Run->Preemptions >= MaxPreemptions);
      if (stays || (held && held->Kind == ReservationKind::Footprint))
        drainable = false;
    });
    if (!drainable)
      continue;
    const bool oneServer = job.Gang <= Cells.layout().largestServer();
    if (auto where = chooseFrom(cell->Where, job.Gang.Count, oneServer))
      return where;
  }
  return std::nullopt;
}

} // namespace citrongap
