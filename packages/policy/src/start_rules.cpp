// A scheduling pass. Jobs start first in the footprints of their accounts, then
// in queue order on surplus, borrowed and backfill cells. Gangs that have
// waited too long get reservations.
#include "pod_state.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

/// Queued jobs of one account considered for its own footprint in a pass.
constexpr std::size_t FootprintScanDepth = 32;
/// Jobs of one account and band that a pass may skip without a start.
constexpr std::size_t AccountScanDepth = 64;
/// Jobs that a pass may skip without a start in a large pod, where the next
/// pass follows soon.
constexpr std::uint32_t PassScanDepth = 80;
/// The same limit for a pod of at most SmallPod accelerators.
constexpr std::uint32_t SmallPodScanDepth = 256;
constexpr Accelerators SmallPod{1024};
/// The same limit while no accelerator is free.
constexpr std::uint32_t FullPodScanDepth = 16;
/// Searches for cells to reserve in one pass.
constexpr std::uint32_t MaxReservationAttempts = 4;
/// Jobs considered for a reservation in one pass.
constexpr std::uint32_t MaxReservationCandidates = 32;

/// Runs of one account considered as preemption victims.
constexpr std::uint32_t VictimScanDepth = 32;

} // namespace

void PodScheduler::State::expireJobs(WallTime wall,
                                     std::vector<Decision> &out) {
  for (const QueuedJob &job : Queue.takeExpired(wall))
    refuse(job, {"its deadline passed while it waited", 0});
  while (!FailureExpiries.empty() && FailureExpiries.begin()->first <= wall) {
    const JobId &job = FailureExpiries.begin()->second;
    JobFailures.forget(job);
    FaultyJobs.erase(job);
    FailureExpiries.erase(FailureExpiries.begin());
  }
  std::move(PendingDecisions.begin(), PendingDecisions.end(),
            std::back_inserter(out));
  PendingDecisions.clear();
}

void PodScheduler::State::returnUnprobedServers(MonoTime now) {
  std::vector<BackendServerId> overdue;
  for (const BackendServerId &it : Quarantined)
    if (Health.probeOverdue(it, now))
      overdue.push_back(it);
  for (const BackendServerId &it : overdue) {
    Health.startProbation(it, now);
    syncQuarantine(it);
  }
}

void PodScheduler::State::runPass(MonoTime now, std::vector<Decision> &out) {
  returnUnprobedServers(now);
  NoSurplus.reset();
  NoFree.reset();
  NoPreemptible.reset();
  NoPreemptibleSurplus.reset();
  ReservationAttemptsLeft = MaxReservationAttempts;
  ReservationCandidatesLeft = MaxReservationCandidates;
  MostOverFairShare.reset();
  Footprints.repack([this](const ClientAccountId &account) {
    const auto it = Usage.find(account);
    return it == Usage.end() ? std::vector<const RunningJob *>()
                             : it->second.Unrepeatable;
  });
  auto moved = Footprints.takeChangedAccounts();
  if (!moved.empty() || CheckedTopology != Cells.topologyVersion())
    Reserved.markAllChanged();
  CheckedTopology = Cells.topologyVersion();
  AccountsToRecheck.merge(moved);
  updateReservations(now, out);
  startGuaranteed(now, out);
  collectBackfill(now);
  startQueued(now, out);
}

void PodScheduler::State::updateReservations(MonoTime now,
                                             std::vector<Decision> &out) {
  for (const JobId &id : Reserved.takeChangedJobs(now)) {
    const QueuedJob *job = Queue.find(id);
    const Reservation &it = *Reserved.findByJob(id);
    if (!job) {
      Reserved.forget(id);
    } else if (!Reserved.isUsable(it, job->Job)) {
      Reserved.release(id);
      AccountsToRecheck.insert(id.Account);
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
  for (const ClientAccountId &account : std::exchange(AccountsToRecheck, {})) {
    const std::uint32_t room = largestFootprintRoom(account);
    if (room == 0)
      continue;
    for (const JobId &id : Queue.firstOf(account, FootprintScanDepth, now)) {
      const QueuedJob *job = Queue.find(id);
      if (job->Job.Gang.Count <= room && !Reserved.contains(id))
        startInFootprint(*job, now, out);
    }
  }
}

void PodScheduler::State::startInFootprint(const QueuedJob &job, MonoTime now,
                                           std::vector<Decision> &out) {
  auto choice = chooseOwnFootprint(job.Job, now);
  if (!choice)
    return;
  if (choice->Idle) {
    start(job.Job.Id, std::move(choice->Where), now, out);
    return;
  }
  // Use free surplus cells if there are any, rather than revoke borrowers.
  if (auto where = findCells(Cells.surplus(), NoSurplus, job.Job);
      where && (job.Job.Repeatable || !Footprints.degraded())) {
    start(job.Job.Id, std::move(*where), now, out);
    return;
  }
  revokeOccupants(Reserved.create(ReservationKind::Footprint, job.Job,
                                  std::move(choice->Where), now),
                  out);
}

void PodScheduler::State::startQueued(MonoTime now,
                                      std::vector<Decision> &out) {
  FairWalk walk(Queue, now, AccountScanDepth);
  const std::uint32_t depth =
      Cells.total() <= SmallPod ? SmallPodScanDepth : PassScanDepth;
  std::uint32_t skipped = 0;
  while (const QueuedJob *job = walk.next()) {
    if (tryStart(*job, now, out))
      continue;
    const bool full = Cells.free().available().Count == 0;
    if (++skipped >= (full ? FullPodScanDepth : depth))
      return;
  }
}

bool PodScheduler::State::tryStart(const QueuedJob &job, MonoTime now,
                                   std::vector<Decision> &out) {
  const JobRequest &it = job.Job;
  auto where = probeCells(job, now);
  if (!where && (it.Repeatable || !Footprints.degraded()))
    where = findCells(Cells.surplus(), NoSurplus, it);
  if (!where && it.Repeatable)
    where = findCells(Cells.free(), NoFree, it);
  if (!where && it.Repeatable)
    where = backfillCells(job, now);
  if (where) {
    start(it.Id, std::move(*where), now, out);
    return true;
  }
  if (ReservationAttemptsLeft == 0 || ReservationCandidatesLeft == 0)
    return false;
  --ReservationCandidatesLeft;
  if (now >= job.QueuedAt + reservationOptions(job.Class).ReserveDelay)
    reserve(job, now, out);
  if (now >= job.QueuedAt + FairShareReclaimDelay)
    reclaimFairShare(job, now, out);
  return false;
}

std::optional<GangCells> PodScheduler::State::findCells(CellPool &pool,
                                                        GangSizes &unavailable,
                                                        const JobRequest &job) {
  if (unavailable.test(job.Gang.Count))
    return std::nullopt;
  auto where = pool.find(job.Gang);
  if (!where) {
    unavailable.set(job.Gang.Count);
    return std::nullopt;
  }
  // Avoid servers on which the job failed before, unless no others have room.
  GangCells avoided;
  for (const BackendServerId &id : JobFailures.failedOn(job.Id))
    if (const auto at = Cells.find(id))
      if (const SlotMask slots = pool.availableOn(*at))
        avoided.push_back({*at, slots});
  if (avoided.empty())
    return where;
  pool.allocate(avoided);
  auto elsewhere = pool.find(job.Gang);
  pool.release(avoided);
  return elsewhere ? elsewhere : where;
}

/// Collects the free cells of reservations that still drain.
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
    if (!Cells.slotState(server, slot).Run)
      idle |= SlotMask{1} << slot;
  });
  return idle;
}

/// Free cells of a draining reservation that the job is expected to leave
/// before the reservation's PreemptAt.
std::optional<GangCells>
PodScheduler::State::backfillCells(const QueuedJob &job, MonoTime now) {
  if (Backfill.empty() || job.Class == ServiceClass::Urgent ||
      job.Job.Gang > Cells.layout().largestServer())
    return std::nullopt;
  const auto stopped = Preemptions.find(job.Job.Id);
  if (stopped != Preemptions.end() && stopped->second >= MaxPreemptions)
    return std::nullopt;
  const MonoTime end =
      now + Millis(RunTimes.estimateMs(job.Job, BackfillQuantile));
  for (BackfillCells &it : Backfill) {
    if (it.Until < end || slotCount(it.Free.Slots) < job.Job.Gang.Count)
      continue;
    // A reservation may have ended in this pass and its cells been allocated.
    it.Free.Slots &= idleSlots(it.Free);
    if (slotCount(it.Free.Slots) < job.Job.Gang.Count)
      continue;
    const SlotMask slots = chooseSlots(it.Free.Slots, job.Job.Gang.Count);
    return GangCells{{it.Free.Server, slots}};
  }
  return std::nullopt;
}

/// Cells of a quarantined server that is due for a probe job.
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
  // Smaller gangs find room as jobs end; revoking jobs for them costs more.
  const bool large = job.Job.Gang > Cells.layout().largestServer();
  const bool urgent = job.Class == ServiceClass::Urgent;
  if ((!large && !urgent) || ReservationAttemptsLeft == 0 ||
      Reserved.contains(job.Job.Id))
    return;
  const MonoTime preemptAt = now + reservationOptions(job.Class).DrainTimeout;
  if (!Footprints.cellsOf(job.Job.Id.Account).empty()) {
    --ReservationAttemptsLeft;
    if (auto choice = chooseDrainableFootprint(job.Job)) {
      Reserved.create(ReservationKind::Footprint, job.Job, std::move(*choice),
                      preemptAt);
      return;
    }
  }
  auto region = sharedRegion(job, now);
  if (!region)
    return;
  const Reservation &it = Reserved.create(ReservationKind::Shared, job.Job,
                                          std::move(*region), preemptAt);
  if (now >= it.PreemptAt)
    revokeOccupants(it, out);
}

std::optional<GangCells> PodScheduler::State::sharedRegion(const QueuedJob &job,
                                                           MonoTime now) {
  if (!withinReservationLimit(job.Job) || !withinFairShare(job.Job, now))
    return std::nullopt;
  if (job.Job.Repeatable)
    return findCells(Cells.preemptible(), NoPreemptible, job.Job);
  if (Footprints.degraded())
    return std::nullopt;
  return findCells(Cells.preemptibleSurplus(), NoPreemptibleSurplus, job.Job);
}

bool PodScheduler::State::withinReservationLimit(const JobRequest &job) const {
  const Accelerators shared = Reserved.shared();
  return shared.Count == 0 ||
         (shared + job.Gang).Count * ReservedShareDivisor <=
             Cells.total().Count;
}

void PodScheduler::State::reclaimFairShare(const QueuedJob &job, MonoTime now,
                                           std::vector<Decision> &out) {
  if (ReservationAttemptsLeft == 0 ||
      job.Job.Gang > Cells.layout().largestServer() ||
      Reserved.contains(job.Job.Id) || !withinReservationLimit(job.Job) ||
      !withinFairShare(job.Job, now) ||
      (!job.Job.Repeatable && Footprints.degraded()))
    return;
  --ReservationAttemptsLeft;
  const AccountUsage *usage = mostOverFairShare(now);
  if (!usage)
    return;
  std::uint32_t scanned = 0;
  for (auto it = usage->Runs.rbegin();
       it != usage->Runs.rend() && scanned < VictimScanDepth; ++it, ++scanned) {
    auto region = cellsAroundVictim(**it, job.Job);
    if (!region)
      continue;
    revokeOccupants(Reserved.create(ReservationKind::Shared, job.Job,
                                    std::move(*region), now),
                    out);
    return;
  }
}

/// Returns enough cells for the job on one of the victim's servers: free ones
/// and preemptible ones that run jobs of the victim's account.
std::optional<GangCells>
PodScheduler::State::cellsAroundVictim(const RunningJob &victim,
                                       const JobRequest &job) {
  if (victim.Revoking)
    return std::nullopt;
  CellPool &free = job.Repeatable ? Cells.free() : Cells.surplus();
  CellPool &preemptible =
      job.Repeatable ? Cells.preemptible() : Cells.preemptibleSurplus();
  for (const ServerCells &part : victim.Cells) {
    SlotMask slots = free.availableOn(part.Server);
    const SlotMask stoppable = preemptible.availableOn(part.Server) & ~slots;
    if (slotCount(slots | stoppable) < job.Gang.Count)
      continue;
    forEachSlot({{part.Server, stoppable}}, [&](auto server, auto slot) {
      const RunningJob *run = Cells.slotState(server, slot).Run;
      if (run && run->job().Id.Account == victim.job().Id.Account)
        slots |= SlotMask{1} << slot;
    });
    if (slotCount(slots) >= job.Gang.Count)
      return GangCells{{part.Server, chooseSlots(slots, job.Gang.Count)}};
  }
  return std::nullopt;
}

} // namespace citrongap
