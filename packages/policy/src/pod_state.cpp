// Bookkeeping of queued and running jobs.
#include "pod_state.h"

#include "citrongap/policy/admission.h"
#include "citrongap/policy/guarantee_packing.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

/// Maximum age of the cached sum of active weights.
constexpr Millis ActiveWeightMaxAge = Seconds(1);

} // namespace

PodScheduler::State::State(PodId pod, DataCentreId dataCentre)
    : Pod(std::move(pod)), DataCentre(std::move(dataCentre)) {}

void PodScheduler::State::applyConfiguration(const Configuration &configuration,
                                             MonoTime now) {
  for (const auto &[id, entry] : Config.Accounts) {
    if (configuration.planOf(id))
      continue;
    for (const QueuedJob &job : Queue.removeAccount(id))
      refuse(job, {"the account has no plan", 0});
    Urgency.removeAccount(id);
  }
  const bool sameShapes = sameGuarantees(Config, configuration);
  Config = configuration;
  for (const auto &[id, entry] : Config.Accounts) {
    const PlanEntry *plan = Config.planOf(id);
    if (!plan)
      continue;
    Queue.setAccount(id, {plan->Weight, plan->MaxQueued});
    Urgency.setAccount(id, plan->UrgentPerHour, now);
  }
  if (!sameShapes)
    Footprints.configure(packGuarantees(Config).AssignedShapes[DataCentre]);
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
  queued.EstimateMs = RunTimes.estimateMs(job, ChargeQuantile);
  queued.QueuedAt = now;
  // An estimate that rests on a default is no reason to refuse a job.
  std::optional<NotRun> refused;
  if (RunTimes.informed(job))
    refused = refuseTooLate(job, wall, Queue.waitMs(account, cls));
  if (!refused) {
    const PushResult result = Queue.push(std::move(queued));
    if (const auto *why = std::get_if<NotRun>(&result))
      refused = *why;
    if (const auto *other = std::get_if<Displaced>(&result)) {
      Reserved.forget(other->Job);
      PendingDecisions.emplace_back(RefuseJob{other->Job, other->Why});
    }
  }
  if (refused && cls == ServiceClass::Urgent)
    Urgency.refund(account);
  AccountsToRecheck.insert(account);
  Changed = true;
  return refused;
}

void PodScheduler::State::refuse(const QueuedJob &job, NotRun why) {
  Reserved.forget(job.Job.Id);
  Preemptions.erase(job.Job.Id);
  PendingDecisions.emplace_back(
      RefuseJob{job.Job.Id, std::move(why), job.MayHaveRun});
}

void PodScheduler::State::start(const JobId &waiting, GangCells where,
                                MonoTime now, std::vector<Decision> &out) {
  auto queued = Queue.start(waiting);
  if (!queued)
    return;
  auto run = std::make_unique<RunningJob>();
  run->Queued = std::move(*queued);
  // `waiting` may refer to the queue's entry, which no longer exists.
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
      Health.startProbe(part.Server, now);
  const RunningJob &added = addRun(std::move(run));
  out.emplace_back(StartJob{added.job(), added.Where});
}

RunningJob &PodScheduler::State::addRun(std::unique_ptr<RunningJob> run) {
  RunningJob &it = *run;
  AccountUsage &usage = Usage[it.job().Id.Account];
  usage.InUse += it.job().Gang;
  it.AccountPosition = usage.Runs.insert(usage.Runs.end(), &it);
  if (!it.job().Repeatable)
    usage.Unrepeatable.push_back(&it);
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
    Reserved.markChanged(Cells.slotState(server, slot).ReservedBy);
  });
  Cells.vacate(*run);
  AccountUsage &usage = Usage[job.Account];
  usage.InUse -= run->job().Gang;
  usage.Runs.erase(run->AccountPosition);
  std::erase(usage.Unrepeatable, run.get());
  AccountsToRecheck.insert(job.Account);
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
  if (!Config.planOf(job.Account)) {
    refuse(run->Queued, {"the account has no plan", 0});
    return;
  }
  if (mayHaveRun)
    run->Queued.QueuedAt = now;
  if (run->Preemptions > 0)
    Preemptions[job] = run->Preemptions;
  Queue.requeue(std::move(run->Queued));
}

/// Locates the cells of runs that were registered before their server.
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
    Footprints.displaceClaims(*run);
  }
}

void PodScheduler::State::recordRunOutcome(const RunningJob &run,
                                           const RunReport &report,
                                           MonoTime now) {
  const JobId &job = run.job().Id;
  if (report.Succeeded) {
    JobFailures.forget(job);
    for (const PlacementPart &part : run.Where.Parts)
      Health.recordSuccess(part.Server, now);
  } else if (!report.FailedOn.empty()) {
    for (const BackendServerId &it : report.FailedOn)
      Health.recordFailure(it, now);
    FailureExpiries.emplace(run.job().Deadline, job);
    const auto verdict =
        JobFailures.recordFailure(job, report.FailedOn, Health);
    const auto *atFault = std::get_if<JobAtFault>(&verdict);
    if (atFault) {
      FaultyJobs.insert(job);
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
    vacateFootprints(server);
  if (!quarantined)
    Quarantined.erase(server);
}

void PodScheduler::State::vacateFootprints(const BackendServerId &server) {
  if (const auto at = Cells.find(server))
    Footprints.vacateServer(*at);
}

std::uint64_t PodScheduler::State::activeWeight(MonoTime now) {
  if (ActiveWeight != 0 && now < ActiveWeightUntil)
    return ActiveWeight;
  ActiveWeight = Queue.waitingWeight();
  for (const auto &[id, usage] : Usage)
    if (usage.InUse.Count > 0 && Queue.lengthOf(id) == 0)
      if (const PlanEntry *plan = Config.planOf(id))
        ActiveWeight += plan->Weight;
  ActiveWeightUntil = now + ActiveWeightMaxAge;
  return ActiveWeight;
}

bool PodScheduler::State::withinFairShare(const JobRequest &job, MonoTime now) {
  const PlanEntry *plan = Config.planOf(job.Id.Account);
  const std::uint32_t inUse = Usage[job.Id.Account].InUse.Count;
  if (!plan)
    return false;
  return inUse == 0 ||
         (std::uint64_t{inUse} + job.Gang.Count) * activeWeight(now) <=
             std::uint64_t{plan->Weight} * Cells.total().Count;
}

const AccountUsage *PodScheduler::State::mostOverFairShare(MonoTime now) {
  if (MostOverFairShare)
    return *MostOverFairShare;
  const std::uint64_t total = Cells.total().Count;
  const std::uint64_t active = activeWeight(now);
  const AccountUsage *most = nullptr;
  double worst = 1;
  for (const auto &[id, usage] : Usage) {
    const PlanEntry *plan = Config.planOf(id);
    const std::uint64_t share = plan ? plan->Weight * total : 1;
    const double ratio = static_cast<double>(usage.InUse.Count * active) /
                         static_cast<double>(std::max<std::uint64_t>(share, 1));
    if (ratio <= worst)
      continue;
    worst = ratio;
    most = &usage;
  }
  MostOverFairShare = most;
  return most;
}

Accelerators PodScheduler::State::largestGang() const {
  const auto declared = Config.DataCentres.find(DataCentre);
  Accelerators most = Cells.total();
  if (declared != Config.DataCentres.end())
    most = std::max(most, declared->second.total());
  return most.Count == 0 ? MaxGang : std::min(most, MaxGang);
}

} // namespace citrongap
