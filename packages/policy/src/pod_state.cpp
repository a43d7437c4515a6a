// Bookkeeping of what waits and runs.
#include "pod_state.h"

#include "citrongap/policy/admission.h"
#include "citrongap/policy/guarantee_packing.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

/// How long the sum of the active weights is good for.
constexpr Millis ActiveWeightLife = Seconds(1);

} // namespace

PodScheduler::State::State(PodId pod, DataCentreId dataCentre)
    : Pod(std::move(pod)), DataCentre(std::move(dataCentre)) {}

void PodScheduler::State::takeLists(const Configuration &lists, MonoTime now) {
  for (const auto &[id, entry] : Lists.Accounts) {
    if (lists.planOf(id))
      continue;
    for (const QueuedJob &job : Queue.removeAccount(id))
      refuse(job, {"the account has no plan", 0});
    Urgency.removeAccount(id);
  }
  const bool sameShapes = sameGuarantees(Lists, lists);
  Lists = lists;
  for (const auto &[id, entry] : Lists.Accounts) {
    const PlanEntry *plan = Lists.planOf(id);
    if (!plan)
      continue;
    Queue.setAccount(id, {plan->Weight, plan->MaxQueued});
    Urgency.setAccount(id, plan->UrgentPerHour, now);
  }
  if (!sameShapes)
    Footprints.configure(packGuarantees(Lists).AssignedShapes[DataCentre]);
  Changed = true;
}

std::optional<NotRun> PodScheduler::State::enqueue(const JobRequest &job,
                                                   WallTime wall,
                                                   MonoTime now) {
  const ClientAccountId &account = job.Id.Account;
  const ServiceClass cls = Urgency.classify(account, job.Class, now);
  QueuedJob queued;
  queued.Job = job;
  queued.Class = cls;
  queued.EstimateMs = Times.estimateMs(job, ChargeQuantile);
  queued.QueuedAt = now;
  // A default says nothing about the wait.
  std::optional<NotRun> refused;
  if (Times.informed(job))
    refused = refuseTooLate(job, wall, Queue.waitMs(account, cls));
  if (!refused) {
    const PushResult result = Queue.push(std::move(queued));
    if (const auto *why = std::get_if<NotRun>(&result))
      refused = *why;
    if (const auto *other = std::get_if<Displaced>(&result)) {
      Reserved.forget(other->Job);
      Pending.emplace_back(RefuseJob{other->Job, other->Why});
    }
  }
  if (refused && cls == ServiceClass::Urgent)
    Urgency.refund(account);
  CheckHome.insert(account);
  Changed = true;
  return refused;
}

void PodScheduler::State::refuse(const QueuedJob &job, NotRun why) {
  Reserved.forget(job.Job.Id);
  Preemptions.erase(job.Job.Id);
  Pending.emplace_back(RefuseJob{job.Job.Id, std::move(why), job.MayHaveRun});
}

void PodScheduler::State::start(const JobId &waiting, GangCells where,
                                MonoTime now, std::vector<Decision> &out) {
  auto queued = Queue.start(waiting);
  if (!queued)
    return;
  auto run = std::make_unique<RunningJob>();
  run->Queued = std::move(*queued);
  // The queue may have owned `waiting`, which is then gone.
  const JobId &job = run->job().Id;
  Reserved.forget(job);
  run->StartedAt = now;
  run->Where = Cells.describe(where);
  run->Cells = std::move(where);
  const auto stopped = Preemptions.find(job);
  if (stopped != Preemptions.end()) {
    run->Preemptions = stopped->second;
    Preemptions.erase(stopped);
  }
  for (const PlacementPart &part : run->Where.Parts)
    if (Health.quarantined(part.Server))
      Health.startProbe(part.Server);
  const RunningJob &added = addRun(std::move(run));
  out.emplace_back(StartJob{added.job(), added.Where});
}

RunningJob &PodScheduler::State::addRun(std::unique_ptr<RunningJob> run) {
  RunningJob &it = *run;
  AccountUse &use = Uses[it.job().Id.Account];
  use.InUse += it.job().Gang;
  it.AmongOwn = use.Runs.insert(use.Runs.end(), &it);
  if (!it.job().Repeatable)
    use.Fixed.push_back(&it);
  Cells.occupy(it);
  Running[it.job().Id] = std::move(run);
  return it;
}

std::unique_ptr<RunningJob> PodScheduler::State::endRun(const JobId &job) {
  const auto it = Running.find(job);
  if (it == Running.end())
    return nullptr;
  auto run = std::move(it->second);
  Running.erase(it);
  forEachSlot(run->Cells, [&](ServerIndex server, std::uint32_t slot) {
    Reserved.touch(Cells.use(server, slot).HeldBy);
  });
  Cells.vacate(*run);
  AccountUse &use = Uses[job.Account];
  use.InUse -= run->job().Gang;
  use.Runs.erase(run->AmongOwn);
  std::erase(use.Fixed, run.get());
  CheckHome.insert(job.Account);
  Changed = true;
  return run;
}

void PodScheduler::State::requeue(std::unique_ptr<RunningJob> run,
                                  std::int64_t ranMs, MonoTime now,
                                  bool mayHaveRun) {
  const JobId job = run->job().Id;
  Queue.finish(job, ranMs);
  for (const PlacementPart &part : run->Where.Parts)
    Health.abortProbe(part.Server);
  run->Queued.MayHaveRun = run->Queued.MayHaveRun || mayHaveRun;
  if (!Lists.planOf(job.Account)) {
    refuse(run->Queued, {"the account has no plan", 0});
    return;
  }
  if (mayHaveRun)
    run->Queued.QueuedAt = now;
  if (run->Preemptions > 0)
    Preemptions[job] = run->Preemptions;
  Queue.requeue(std::move(run->Queued));
}

/// Runs that were known before their server was.
void PodScheduler::State::attachRuns(const BackendServerId &server) {
  for (const auto &[id, run] : Running) {
    const auto &parts = run->Where.Parts;
    const bool there =
        std::any_of(parts.begin(), parts.end(), [&](const PlacementPart &it) {
          return it.Server == server;
        });
    if (!there)
      continue;
    Cells.vacate(*run);
    run->Cells = Cells.locate(run->Where);
    Cells.occupy(*run);
    Footprints.giveWay(*run);
  }
}

void PodScheduler::State::settleServers(const RunningJob &run,
                                        const RunReport &report, MonoTime now) {
  const JobId &job = run.job().Id;
  if (report.Succeeded) {
    Failures.forget(job);
    for (const PlacementPart &part : run.Where.Parts)
      Health.recordSuccess(part.Server, now);
  } else if (!report.FailedOn.empty()) {
    for (const BackendServerId &it : report.FailedOn)
      Health.recordFailure(it, now);
    FailuresUntil.emplace(run.job().Deadline, job);
    const auto verdict = Failures.recordFailure(job, report.FailedOn, Health);
    const auto *atFault = std::get_if<JobAtFault>(&verdict);
    if (atFault) {
      AtFault.insert(job);
      for (const BackendServerId &it : atFault->Forgiven) {
        Health.withdrawFailure(it, now);
        syncQuarantine(it);
      }
    }
  }
  for (const PlacementPart &part : run.Where.Parts) {
    Health.abortProbe(part.Server);
    syncQuarantine(part.Server);
  }
}

void PodScheduler::State::syncQuarantine(const BackendServerId &server) {
  const bool quarantined = Health.quarantined(server);
  Cells.setQuarantined(server, quarantined);
  if (quarantined && Quarantined.insert(server).second)
    stopUsing(server);
  if (!quarantined)
    Quarantined.erase(server);
}

void PodScheduler::State::stopUsing(const BackendServerId &server) {
  if (const auto at = Cells.find(server))
    Footprints.leaveServer(*at);
}

std::uint64_t PodScheduler::State::activeWeight(MonoTime now) {
  if (ActiveWeight != 0 && now < ActiveWeightUntil)
    return ActiveWeight;
  ActiveWeight = Queue.waitingWeight();
  for (const auto &[id, use] : Uses)
    if (use.InUse.Count > 0 && Queue.lengthOf(id) == 0)
      if (const PlanEntry *plan = Lists.planOf(id))
        ActiveWeight += plan->Weight;
  ActiveWeightUntil = now + ActiveWeightLife;
  return ActiveWeight;
}

bool PodScheduler::State::withinShare(const JobRequest &job, MonoTime now) {
  const PlanEntry *plan = Lists.planOf(job.Id.Account);
  const std::uint32_t inUse = Uses[job.Id.Account].InUse.Count;
  if (!plan)
    return false;
  return inUse == 0 ||
         (std::uint64_t{inUse} + job.Gang.Count) * activeWeight(now) <=
             std::uint64_t{plan->Weight} * Cells.total().Count;
}

const AccountUse *PodScheduler::State::mostBeyondShare(MonoTime now) {
  if (MostBeyond)
    return *MostBeyond;
  const std::uint64_t total = Cells.total().Count;
  const std::uint64_t active = activeWeight(now);
  const AccountUse *most = nullptr;
  double worst = 1;
  for (const auto &[id, use] : Uses) {
    const PlanEntry *plan = Lists.planOf(id);
    const std::uint64_t share = plan ? plan->Weight * total : 1;
    const double ratio = static_cast<double>(use.InUse.Count * active) /
                         static_cast<double>(std::max<std::uint64_t>(share, 1));
    if (ratio <= worst)
      continue;
    worst = ratio;
    most = &use;
  }
  MostBeyond = most;
  return most;
}

Accelerators PodScheduler::State::largestGang() const {
  const auto declared = Lists.DataCentres.find(DataCentre);
  Accelerators most = Cells.total();
  if (declared != Lists.DataCentres.end())
    most = std::max(most, declared->second.total());
  return most.Count == 0 ? MaxGang : std::min(most, MaxGang);
}

} // namespace citrongap
