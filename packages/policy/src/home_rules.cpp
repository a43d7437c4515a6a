// Choice of cells in the footprint of a job's own account.
#include "pod_state.h"

#include <algorithm>
#include <tuple>

namespace citrongap {

namespace {

/// Chooses `gang` of the given cells. With `oneServer`, all come from the
/// server with the fewest sufficient slots, else from as few servers as
/// possible.
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

std::optional<FootprintChoice>
PodScheduler::State::chooseInFootprint(const FootprintCell &cell,
                                       const JobRequest &job) {
  GangCells free;
  GangCells usable;
  for (const ServerCells &part : cell.Where) {
    SlotMask idle = 0;
    SlotMask reclaimable = 0;
    forEachSlot({part}, [&](ServerIndex server, std::uint32_t slot) {
      const SlotState &state = Cells.slotState(server, slot);
      const Reservation *reservation = Reserved.find(state.ReservedBy);
      const SlotMask bit = SlotMask{1} << slot;
      if (state.inOwnFootprint() ||
          (reservation && reservation->Kind == ReservationKind::Footprint))
        return;
      reclaimable |= bit;
      if (!state.Run)
        idle |= bit;
    });
    if (idle != 0)
      free.push_back({part.Server, idle});
    if (reclaimable != 0)
      usable.push_back({part.Server, reclaimable});
  }
  const std::uint32_t gang = job.Gang.Count;
  const bool oneServer = job.Gang <= Cells.layout().largestServer();
  if (auto where = chooseFrom(std::move(free), gang, oneServer))
    return FootprintChoice{std::move(*where), true};
  if (auto where = chooseFrom(std::move(usable), gang, oneServer))
    return FootprintChoice{std::move(*where), false};
  return std::nullopt;
}

std::uint32_t PodScheduler::State::largestFootprintRoom(
    const ClientAccountId &account) const {
  std::uint32_t most = 0;
  for (const FootprintCell *cell : Footprints.cellsOf(account)) {
    std::uint32_t room = 0;
    forEachSlot(cell->Where, [&](ServerIndex server, std::uint32_t slot) {
      room += Cells.slotState(server, slot).inOwnFootprint() ? 0 : 1;
    });
    most = std::max(most, room);
  }
  return most;
}

std::int64_t PodScheduler::State::lostWork(const GangCells &cells,
                                           MonoTime now) const {
  std::int64_t lost = 0;
  const RunningJob *last = nullptr;
  forEachSlot(cells, [&](ServerIndex server, std::uint32_t slot) {
    const RunningJob *run = Cells.slotState(server, slot).Run;
    if (run && run != last)
      lost += ((now - run->StartedAt).count() + 1) * run->job().Gang.Count;
    last = run;
  });
  return lost;
}

/// Prefers idle cells, then the least lost work, then the smallest shape, then
/// a footprint cell that its account already uses in part.
std::optional<FootprintChoice>
PodScheduler::State::chooseOwnFootprint(const JobRequest &job, MonoTime now) {
  std::optional<FootprintChoice> best;
  std::tuple<std::int64_t, std::uint32_t, bool> bestRank;
  for (const FootprintCell *cell : Footprints.cellsOf(job.Id.Account)) {
    if (cell->Gang < job.Gang || cell->Where.empty())
      continue;
    auto choice = chooseInFootprint(*cell, job);
    if (!choice)
      continue;
    const std::tuple rank(lostWork(choice->Where, now), cell->Gang.Count,
                          Footprints.unusedByOwner(*cell));
    if (best && bestRank <= rank)
      continue;
    best = std::move(choice);
    bestRank = rank;
  }
  return best;
}

std::optional<GangCells>
PodScheduler::State::chooseDrainableFootprint(const JobRequest &job) {
  for (const FootprintCell *cell : Footprints.cellsOf(job.Id.Account)) {
    if (cell->Gang < job.Gang || cell->Where.empty())
      continue;
    bool drainable = true;
    forEachSlot(cell->Where, [&](ServerIndex server, std::uint32_t slot) {
      const SlotState &state = Cells.slotState(server, slot);
      const Reservation *reservation = Reserved.find(state.ReservedBy);
      const bool stays =
          state.inOwnFootprint() && (!state.Run->job().Repeatable ||
                                     state.Run->Preemptions >= MaxPreemptions);
      if (stays ||
          (reservation && reservation->Kind == ReservationKind::Footprint))
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
