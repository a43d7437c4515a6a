// One pass over what waits: guaranteed shapes at home, then the queue in its
// order on surplus, borrowed and backfilled cells, and reservations for gangs
// that waited too long.
#include "pod_state.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

/// Jobs of one account that may be looked at for its own footprint.
constexpr std::size_t HomeDepth = 32;
/// Jobs of one account and band that a pass may pass over.
constexpr std::size_t AccountDepth = 64;
/// Jobs that a pass may look at while accelerators are free, or none are.
constexpr std::uint32_t PassDepth = 128;
constexpr std::uint32_t FullPassDepth = 16;
/// Jobs of a pass for which cells to reserve may be looked for.
constexpr std::uint32_t ReservationTries = 4;

/// Runs of one account that may be looked at for one to stop.
constexpr std::uint32_t VictimDepth = 32;

} // namespace

void PodScheduler::State::expire(WallTime wall, std::vector<Decision> &out) {
  for (const QueuedJob &job : Queue.takeExpired(wall))
    refuse(job, {"its deadline passed while it waited", 0});
  while (!FailuresUntil.empty() && FailuresUntil.begin()->first <= wall) {
    const JobId &job = FailuresUntil.begin()->second;
    Failures.forget(job);
    AtFault.erase(job);
    FailuresUntil.erase(FailuresUntil.begin());
  }
  std::move(Pending.begin(), Pending.end(), std::back_inserter(out));
  Pending.clear();
}

void PodScheduler::State::pass(MonoTime now, std::vector<Decision> &out) {
  NoSurplus.reset();
  NoOpen.reset();
  NoMovable.reset();
  NoMovableSurplus.reset();
  TriesLeft = ReservationTries;
  MostBeyond.reset();
  Footprints.repack([this](const ClientAccountId &account) {
    const auto it = Uses.find(account);
    return it == Uses.end() ? std::vector<const RunningJob *>()
                            : it->second.Fixed;
  });
  auto moved = Footprints.takeChangedAccounts();
  if (!moved.empty() || SeenTopology != Cells.topologyVersion())
    Reserved.touchAll();
  SeenTopology = Cells.topologyVersion();
  CheckHome.merge(moved);
  settleReservations(now, out);
  startGuaranteed(now, out);
  collectBackfill(now);
  walkQueue(now, out);
}

void PodScheduler::State::settleReservations(MonoTime now,
                                             std::vector<Decision> &out) {
  for (const JobId &id : Reserved.takeTouched(now)) {
    const QueuedJob *job = Queue.find(id);
    const Reservation &it = *Reserved.of(id);
    if (!job) {
      Reserved.forget(id);
    } else if (!Reserved.usable(it, job->Job)) {
      Reserved.drop(id);
      CheckHome.insert(id.Account);
    } else if (Reserved.occupants(it).empty()) {
      GangCells where = it.Region;
      start(id, std::move(where), now, out);
    } else if (now >= it.PreemptAt) {
      revokeOccupants(it, out);
    }
  }
}

void PodScheduler::State::revokeOccupants(const Reservation &it,
                                          std::vector<Decision> &out) {
  const bool reclaim = it.Kind == ReservationKind::Footprint;
  for (RunningJob *run : Reserved.occupants(it)) {
    if (run->Revoking || !run->job().Repeatable)
      continue;
    run->Revoking = true;
    const bool own = run->job().Id.Account == it.Job.Account;
    if (!reclaim || own)
      ++run->Preemptions;
    out.emplace_back(RevokeJob{
        run->job().Id,
        reclaim && !own ? "its accelerators are guaranteed to another account"
                        : "a large gang has waited for its accelerators"});
  }
}

void PodScheduler::State::startGuaranteed(MonoTime now,
                                          std::vector<Decision> &out) {
  for (const ClientAccountId &account : std::exchange(CheckHome, {})) {
    const std::uint32_t room = roomAtHome(account);
    if (room == 0)
      continue;
    for (const JobId &id : Queue.firstOf(account, HomeDepth, now)) {
      const QueuedJob *job = Queue.find(id);
      if (job->Job.Gang.Count <= room && !Reserved.contains(id))
        tryHome(*job, now, out);
    }
  }
}

void PodScheduler::State::tryHome(const QueuedJob &job, MonoTime now,
                                  std::vector<Decision> &out) {
  auto home = chooseHome(job.Job, now);
  if (!home)
    return;
  if (home->Clear) {
    start(job.Job.Id, std::move(home->Where), now, out);
    return;
  }
  // Free surplus cells spare the borrowers.
  if (auto where = cellsFor(Cells.surplus(), NoSurplus, job.Job);
      where && (job.Job.Repeatable || !Footprints.degraded())) {
    start(job.Job.Id, std::move(*where), now, out);
    return;
  }
  revokeOccupants(Reserved.open(ReservationKind::Footprint, job.Job,
                                std::move(home->Where), now),
                  out);
}

void PodScheduler::State::walkQueue(MonoTime now, std::vector<Decision> &out) {
  FairWalk walk(Queue, now, AccountDepth);
  std::uint32_t passedOver = 0;
  while (const QueuedJob *job = walk.next()) {
    if (tryStart(*job, now, out))
      continue;
    const bool full = Cells.open().available().Count == 0;
    if (++passedOver >= (full ? FullPassDepth : PassDepth))
      return;
  }
}

bool PodScheduler::State::tryStart(const QueuedJob &job, MonoTime now,
                                   std::vector<Decision> &out) {
  const JobRequest &it = job.Job;
  auto where = probeCells(job, now);
  if (!where && (it.Repeatable || !Footprints.degraded()))
    where = cellsFor(Cells.surplus(), NoSurplus, it);
  if (!where && it.Repeatable)
    where = cellsFor(Cells.open(), NoOpen, it);
  if (!where && it.Repeatable)
    where = backfillCells(job, now);
  if (where) {
    start(it.Id, std::move(*where), now, out);
    return true;
  }
  if (now >= job.QueuedAt + reservationTerms(job.Class).ReserveAfter)
    reserve(job, now, out);
  if (now >= job.QueuedAt + ShareReclaimAfter)
    reclaimShare(job, now, out);
  return false;
}

std::optional<GangCells> PodScheduler::State::cellsFor(CellPool &pool,
                                                       GangSizes &noRoom,
                                                       const JobRequest &job) {
  if (noRoom.test(job.Gang.Count))
    return std::nullopt;
  auto where = pool.find(job.Gang);
  if (!where) {
    noRoom.set(job.Gang.Count);
    return std::nullopt;
  }
  // Not where it failed before, if there is another place.
  GangCells avoided;
  for (const BackendServerId &id : Failures.failedOn(job.Id))
    if (const auto at = Cells.find(id))
      if (const SlotMask slots = pool.availableOn(*at))
        avoided.push_back({*at, slots});
  if (avoided.empty())
    return where;
  pool.take(avoided);
  auto elsewhere = pool.find(job.Gang);
  pool.give(avoided);
  return elsewhere ? elsewhere : where;
}

/// Lists the free cells under reservations that still drain.
void PodScheduler::State::collectBackfill(MonoTime now) {
  Backfill.clear();
  for (const Reservation &it : Reserved.all()) {
    if (it.PreemptAt <= now)
      continue;
    for (const ServerCells &part : it.Region)
      if (const SlotMask free = idleSlots(part);
          free != 0 && Cells.placeable(part.Server))
        Backfill.push_back({it.PreemptAt, {part.Server, free}});
  }
}

SlotMask PodScheduler::State::idleSlots(const ServerCells &cells) const {
  SlotMask idle = 0;
  forEachSlot({cells}, [&](ServerIndex server, std::uint32_t slot) {
    if (!Cells.use(server, slot).Run)
      idle |= SlotMask{1} << slot;
  });
  return idle;
}

/// Held cells of a reservation that the job should leave in time.
std::optional<GangCells>
PodScheduler::State::backfillCells(const QueuedJob &job, MonoTime now) {
  if (Backfill.empty() || job.Class == ServiceClass::Urgent ||
      job.Job.Gang > Cells.layout().largestServer())
    return std::nullopt;
  const auto stopped = Preemptions.find(job.Job.Id);
  if (stopped != Preemptions.end() && stopped->second >= MaxPreemptions)
    return std::nullopt;
  const MonoTime end =
      now + Millis(Times.estimateMs(job.Job, BackfillQuantile));
  for (BackfillCells &it : Backfill) {
    if (it.Until < end || slotCount(it.Free.Slots) < job.Job.Gang.Count)
      continue;
    // A reservation may have ended in this pass and its cells been taken.
    it.Free.Slots &= idleSlots(it.Free);
    if (slotCount(it.Free.Slots) < job.Job.Gang.Count)
      continue;
    const SlotMask slots = chooseSlots(it.Free.Slots, job.Job.Gang.Count);
    return GangCells{{it.Free.Server, slots}};
  }
  return std::nullopt;
}

/// Cells of a quarantined server that is due for one job as a probe.
std::optional<GangCells> PodScheduler::State::probeCells(const QueuedJob &job,
                                                         MonoTime now) {
  if (!job.Job.Repeatable || job.Class == ServiceClass::Urgent)
    return std::nullopt;
  for (const BackendServerId &id : Quarantined) {
    const auto server = Cells.find(id);
    if (!server || !Cells.live(*server) || !Health.probeDue(id, now))
      continue;
    const SlotMask free = idleSlots({*server, Cells.layout().slotsOf(*server)});
    if (slotCount(free) >= job.Job.Gang.Count)
      return GangCells{{*server, chooseSlots(free, job.Job.Gang.Count)}};
  }
  return std::nullopt;
}

void PodScheduler::State::reserve(const QueuedJob &job, MonoTime now,
                                  std::vector<Decision> &out) {
  // Smaller gangs get room as work ends; stopping work for them costs more.
  const bool large = job.Job.Gang > Cells.layout().largestServer();
  const bool urgent = job.Class == ServiceClass::Urgent;
  if ((!large && !urgent) || TriesLeft == 0 || Reserved.contains(job.Job.Id))
    return;
  const MonoTime preemptAt = now + reservationTerms(job.Class).DrainFor;
  if (!Footprints.of(job.Job.Id.Account).empty()) {
    --TriesLeft;
    if (auto home = drainableHome(job.Job)) {
      Reserved.open(ReservationKind::Footprint, job.Job, std::move(*home),
                    preemptAt);
      return;
    }
  }
  auto region = sharedRegion(job, now);
  if (!region)
    return;
  const Reservation &it = Reserved.open(ReservationKind::Shared, job.Job,
                                        std::move(*region), preemptAt);
  if (now >= it.PreemptAt)
    revokeOccupants(it, out);
}

std::optional<GangCells> PodScheduler::State::sharedRegion(const QueuedJob &job,
                                                           MonoTime now) {
  if (!roomToReserve(job.Job) || !withinShare(job.Job, now))
    return std::nullopt;
  if (job.Job.Repeatable)
    return cellsFor(Cells.movable(), NoMovable, job.Job);
  if (Footprints.degraded())
    return std::nullopt;
  return cellsFor(Cells.movableSurplus(), NoMovableSurplus, job.Job);
}

bool PodScheduler::State::roomToReserve(const JobRequest &job) const {
  const Accelerators shared = Reserved.shared();
  return shared.Count == 0 ||
         (shared + job.Gang).Count * MaxReservedPart <= Cells.total().Count;
}

void PodScheduler::State::reclaimShare(const QueuedJob &job, MonoTime now,
                                       std::vector<Decision> &out) {
  if (TriesLeft == 0 || job.Job.Gang > Cells.layout().largestServer() ||
      Reserved.contains(job.Job.Id) || !roomToReserve(job.Job) ||
      !withinShare(job.Job, now) ||
      (!job.Job.Repeatable && Footprints.degraded()))
    return;
  --TriesLeft;
  const AccountUse *use = mostBeyondShare(now);
  if (!use)
    return;
  std::uint32_t looked = 0;
  for (auto it = use->Runs.rbegin();
       it != use->Runs.rend() && looked < VictimDepth; ++it, ++looked) {
    auto region = cellsBeside(**it, job.Job);
    if (!region)
      continue;
    revokeOccupants(Reserved.open(ReservationKind::Shared, job.Job,
                                  std::move(*region), now),
                    out);
    return;
  }
}

/// One server's cells of the victim and free ones there, enough for the job.
std::optional<GangCells>
PodScheduler::State::cellsBeside(const RunningJob &victim,
                                 const JobRequest &job) {
  if (victim.Revoking)
    return std::nullopt;
  for (const ServerCells &part : victim.Cells) {
    if (!Cells.placeable(part.Server))
      continue;
    CellPool &free = job.Repeatable ? Cells.open() : Cells.surplus();
    CellPool &movable =
        job.Repeatable ? Cells.movable() : Cells.movableSurplus();
    const SlotMask slots = free.availableOn(part.Server) |
                           (part.Slots & movable.availableOn(part.Server));
    if (slotCount(slots) >= job.Gang.Count)
      return GangCells{{part.Server, chooseSlots(slots, job.Gang.Count)}};
  }
  return std::nullopt;
}

} // namespace citrongap
