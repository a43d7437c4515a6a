// One pass over what waits: guaranteed shapes at home, then the queue in its
// order on surplus, borrowed and backfilled cells, and reservations for gangs
// that waited too long.
#include "pod_state.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

/// Jobs of one account that may be looked at for its own footprint.
constexpr std::size_t HomeDepth = 64;
/// Jobs of one account and band that a pass may pass over.
constexpr std::size_t AccountDepth = 4;
/// Jobs that a pass may look at while accelerators are free, or none are.
constexpr std::uint32_t PassDepth = 256;
constexpr std::uint32_t FullPassDepth = 16;

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
  Footprints.repack([this](const ClientAccountId &account) {
    const auto it = Uses.find(account);
    return it == Uses.end() ? std::vector<const RunningJob *>()
                            : it->second.Fixed;
  });
  CheckHome.merge(Footprints.takeChangedAccounts());
  settleReservations(now, out);
  startGuaranteed(now, out);
  walkQueue(now, out);
}

void PodScheduler::State::settleReservations(MonoTime now,
                                             std::vector<Decision> &out) {
  for (const JobId &id : Reserved.jobs()) {
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
    if (Footprints.of(account).empty())
      continue;
    for (const JobId &id : Queue.firstOf(account, HomeDepth, now))
      if (const QueuedJob *job = Queue.find(id); !Reserved.contains(id))
        tryHome(*job, true, now, out);
  }
}

bool PodScheduler::State::tryHome(const QueuedJob &job, bool reclaim,
                                  MonoTime now, std::vector<Decision> &out) {
  auto home = chooseHome(job.Job, reclaim);
  if (!home)
    return false;
  if (home->Clear) {
    start(job.Job.Id, std::move(home->Where), now, out);
    return true;
  }
  // Free surplus cells spare the borrowers.
  if (auto where = cellsFor(Cells.surplus(), NoSurplus, job.Job);
      where && (job.Job.Repeatable || !Footprints.degraded())) {
    start(job.Job.Id, std::move(*where), now, out);
    return true;
  }
  revokeOccupants(Reserved.open(ReservationKind::Footprint, job.Job,
                                std::move(home->Where), now),
                  out);
  return true;
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
  const bool reserved = Reserved.contains(it.Id);
  if (!reserved && tryHome(job, false, now, out))
    return true;
  auto where = probeCells(job, now);
  if (!where && (it.Repeatable || !Footprints.degraded()))
    where = cellsFor(Cells.surplus(), NoSurplus, it);
  if (!where && it.Repeatable)
    where = cellsFor(Cells.open(), NoOpen, it);
  if (!where && it.Repeatable && !reserved)
    where = backfillCells(job, now);
  if (where) {
    start(it.Id, std::move(*where), now, out);
    return true;
  }
  if (!reserved)
    reserve(job, now, out);
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

/// Held cells of a reservation that the job should leave in time.
std::optional<GangCells>
PodScheduler::State::backfillCells(const QueuedJob &job, MonoTime now) {
  if (Reserved.all().empty() || job.Class == ServiceClass::Urgent ||
      job.Job.Gang > Cells.layout().largestServer())
    return std::nullopt;
  const auto stopped = Preemptions.find(job.Job.Id);
  if (stopped != Preemptions.end() && stopped->second >= MaxPreemptions)
    return std::nullopt;
  const MonoTime end =
      now + Millis(Times.estimateMs(job.Job, BackfillQuantile));
  for (const Reservation &it : Reserved.all()) {
    if (it.PreemptAt < end)
      continue;
    for (const ServerCells &part : it.Region) {
      SlotMask free = 0;
      forEachSlot({part}, [&](ServerIndex server, std::uint32_t slot) {
        if (!Cells.use(server, slot).Run)
          free |= SlotMask{1} << slot;
      });
      if (Cells.placeable(part.Server) && slotCount(free) >= job.Job.Gang.Count)
        return GangCells{{part.Server, chooseSlots(free, job.Job.Gang.Count)}};
    }
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
    SlotMask free = 0;
    const SlotMask slots = Cells.layout().slotsOf(*server);
    forEachSlot({{*server, slots}}, [&](ServerIndex at, std::uint32_t slot) {
      if (!Cells.use(at, slot).Run)
        free |= SlotMask{1} << slot;
    });
    if (slotCount(free) >= job.Job.Gang.Count)
      return GangCells{{*server, chooseSlots(free, job.Job.Gang.Count)}};
  }
  return std::nullopt;
}

void PodScheduler::State::reserve(const QueuedJob &job, MonoTime now,
                                  std::vector<Decision> &out) {
  const ReservationTerms terms = reservationTerms(job.Class);
  if (now < job.QueuedAt + terms.ReserveAfter)
    return;
  const MonoTime preemptAt = now + terms.DrainFor;
  if (auto home = drainableHome(job.Job)) {
    Reserved.open(ReservationKind::Footprint, job.Job, std::move(*home),
                  preemptAt);
    return;
  }
  const Accelerators shared = Reserved.shared();
  const bool room =
      shared.Count == 0 ||
      (shared + job.Job.Gang).Count * MaxReservedPart <= Cells.total().Count;
  if (!room || !withinShare(job.Job, now) ||
      (!job.Job.Repeatable && Footprints.degraded()))
    return;
  CellPool &pool =
      job.Job.Repeatable ? Cells.movable() : Cells.movableSurplus();
  auto region = pool.find(job.Job.Gang);
  if (!region)
    return;
  const Reservation &it = Reserved.open(ReservationKind::Shared, job.Job,
                                        std::move(*region), preemptAt);
  if (now >= it.PreemptAt)
    revokeOccupants(it, out);
}

} // namespace citrongap
