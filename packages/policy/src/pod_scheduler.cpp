// PodScheduler: each event updates the state; decide() runs a pass.
#include "citrongap/policy/pod_scheduler.h"

#include "citrongap/policy/admission.h"
#include "pod_state.h"

#include <utility>

namespace citrongap {

namespace {

/// Interval of passes without events; these preempt for reservations that have
/// reached their PreemptAt.
constexpr Millis PassInterval = Seconds(1);

} // namespace

PodScheduler::PodScheduler(PodId pod, DataCentreId dataCentre)
    : Impl(std::make_unique<State>(std::move(pod), std::move(dataCentre))) {}
PodScheduler::~PodScheduler() = default;
PodScheduler::PodScheduler(PodScheduler &&) noexcept = default;
PodScheduler &PodScheduler::operator=(PodScheduler &&) noexcept = default;

void PodScheduler::configure(const Configuration &configuration, MonoTime now) {
  Impl->applyConfiguration(configuration, now);
}

void PodScheduler::setServer(const ServerDescription &server, MonoTime) {
  if (Impl->Cells.setServer(server)) {
    Impl->attachRuns(server.Server);
    Impl->syncQuarantine(server.Server);
  }
  if (server.State != ServerState::Live)
    Impl->vacateFootprints(server.Server);
  Impl->Queue.setCapacity(Impl->Cells.total());
  Impl->Changed = true;
}

void PodScheduler::removeServer(const BackendServerId &server, MonoTime) {
  Impl->vacateFootprints(server);
  Impl->Cells.removeServer(server);
  Impl->Health.removeServer(server);
  Impl->Quarantined.erase(server);
  Impl->Queue.setCapacity(Impl->Cells.total());
  Impl->Changed = true;
}

std::variant<std::monostate, NotRun>
PodScheduler::submit(const JobRequest &job, WallTime wall, MonoTime now) {
  if (isQueued(job.Id) || isRunning(job.Id))
    return std::monostate{};
  const PlanEntry *plan = Impl->Config.planOf(job.Id.Account);
  if (auto why = refuseImpossible(job, plan, Impl->largestGang(), wall))
    return *why;
  if (Impl->FaultyJobs.contains(job.Id))
    return NotRun{"it failed on several servers of good standing", 0};
  if (auto why = Impl->enqueue(job, wall, now))
    return *why;
  return std::monostate{};
}

std::vector<Decision> PodScheduler::decide(WallTime wall, MonoTime now) {
  std::vector<Decision> decisions;
  Impl->expireJobs(wall, decisions);
  if (!Impl->Changed && now < Impl->NextPassAt)
    return decisions;
  Impl->Changed = false;
  Impl->NextPassAt = now + PassInterval;
  Impl->runPass(now, decisions);
  return decisions;
}

void PodScheduler::adopt(const JobRequest &job, const Placement &where,
                         MonoTime now) {
  if (isRunning(job.Id))
    return;
  Impl->Reserved.forget(job.Id);
  const std::int64_t estimateMs =
      Impl->RunTimes.estimateMs(job, ChargeQuantile);
  Impl->Queue.adopt(job, estimateMs);
  auto run = std::make_unique<RunningJob>();
  run->Queued.Job = job;
  run->Queued.Class = job.Class;
  run->Queued.EstimateMs = estimateMs;
  run->Queued.QueuedAt = now;
  run->Queued.MayHaveRun = true;
  run->StartedAt = now;
  run->Where = where;
  run->Cells = Impl->Cells.locate(where);
  Impl->Footprints.displaceClaims(Impl->addRun(std::move(run)));
  Impl->Reserved.markAllChanged();
  Impl->Changed = true;
}

void PodScheduler::jobEnded(const JobId &job, const RunReport &report,
                            MonoTime now) {
  const auto run = Impl->endRun(job);
  if (!run)
    return;
  Impl->Queue.finish(job, report.RanMs);
  if (report.Succeeded)
    Impl->RunTimes.addSample(job.Account, run->job().Kind, report.RanMs);
  Impl->recordRunOutcome(*run, report, now);
}

void PodScheduler::jobRevoked(const JobId &job, MonoTime now) {
  if (auto run = Impl->endRun(job)) {
    const std::int64_t ranMs = (now - run->StartedAt).count();
    Impl->requeue(std::move(run), ranMs, now, true);
  }
}

void PodScheduler::startFailed(const JobId &job,
                               const std::vector<BackendServerId> &blamed,
                               MonoTime now) {
  for (const BackendServerId &it : blamed) {
    Impl->Health.recordFailure(it, now);
    Impl->syncQuarantine(it);
  }
  if (auto run = Impl->endRun(job))
    Impl->requeue(std::move(run), 0, now, false);
}

bool PodScheduler::cancelQueued(const JobId &job) {
  const auto queued = Impl->Queue.erase(job);
  if (!queued)
    return false;
  Impl->Reserved.forget(job);
  Impl->Preemptions.erase(job);
  if (queued->Class == ServiceClass::Urgent)
    Impl->Urgency.refund(job.Account);
  Impl->Changed = true;
  return true;
}

bool PodScheduler::isQueued(const JobId &job) const {
  return Impl->Queue.contains(job);
}

bool PodScheduler::isRunning(const JobId &job) const {
  return Impl->Running.contains(job);
}

PodSummary PodScheduler::summary(MonoTime) const {
  PodSummary out;
  out.Total = Impl->Cells.total();
  out.Free = Impl->Cells.free().available();
  out.LargestFree = Impl->Cells.free().largestGang(MaxGang);
  out.QueuedJobs = Impl->Queue.size();
  out.RunningJobs = static_cast<std::uint32_t>(Impl->Running.size());
  out.QuarantinedServers = Impl->Health.quarantinedCount();
  return out;
}

std::vector<AssignedShape> PodScheduler::degradedGuarantees() const {
  return Impl->Footprints.degradedShapes();
}

std::vector<Placement>
PodScheduler::footprint(const ClientAccountId &account) const {
  std::vector<Placement> out;
  for (const FootprintCell *it : Impl->Footprints.cellsOf(account))
    if (!it->Where.empty())
      out.push_back(Impl->Cells.describe(it->Where));
  return out;
}

std::map<ClientAccountId, std::uint32_t> PodScheduler::queueLengths() const {
  return Impl->Queue.lengths();
}

} // namespace citrongap
