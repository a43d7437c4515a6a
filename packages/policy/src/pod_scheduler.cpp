// Events of one pod: each updates the books; decide() makes one pass.
#include "citrongap/policy/pod_scheduler.h"

#include "citrongap/policy/admission.h"
#include "pod_state.h"

#include <utility>

namespace citrongap {

namespace {

/// Without events, passes come this often: reservations fall due.
constexpr Millis PassInterval = Seconds(1);

} // namespace

PodScheduler::PodScheduler(PodId pod, DataCentreId dataCentre)
    : Self(std::make_unique<State>(std::move(pod), std::move(dataCentre))) {}
PodScheduler::~PodScheduler() = default;
PodScheduler::PodScheduler(PodScheduler &&) noexcept = default;
PodScheduler &PodScheduler::operator=(PodScheduler &&) noexcept = default;

void PodScheduler::configure(const Configuration &configuration, MonoTime now) {
  Self->takeLists(configuration, now);
}

void PodScheduler::setServer(const ServerDescription &server, MonoTime) {
  if (Self->Cells.setServer(server)) {
    Self->attachRuns(server.Server);
    Self->syncQuarantine(server.Server);
  }
  if (server.State != ServerState::Live)
    Self->stopUsing(server.Server);
  Self->Queue.setCapacity(Self->Cells.total());
  Self->Changed = true;
}

void PodScheduler::removeServer(const BackendServerId &server, MonoTime) {
  Self->stopUsing(server);
  Self->Cells.removeServer(server);
  Self->Health.removeServer(server);
  Self->Quarantined.erase(server);
  Self->Queue.setCapacity(Self->Cells.total());
  Self->Changed = true;
}

std::variant<std::monostate, NotRun>
PodScheduler::submit(const JobRequest &job, WallTime wall, MonoTime now) {
  if (isQueued(job.Id) || isRunning(job.Id))
    return std::monostate{};
  const PlanEntry *plan = Self->Lists.planOf(job.Id.Account);
  if (auto why = refuseImpossible(job, plan, Self->largestGang(), wall))
    return *why;
  if (Self->AtFault.contains(job.Id))
    return NotRun{"it failed on several servers of good standing", 0};
  if (auto why = Self->enqueue(job, wall, now))
    return *why;
  return std::monostate{};
}

std::vector<Decision> PodScheduler::decide(WallTime wall, MonoTime now) {
  std::vector<Decision> decisions;
  Self->expire(wall, decisions);
  if (!Self->Changed && now < Self->NextPass)
    return decisions;
  Self->Changed = false;
  Self->NextPass = now + PassInterval;
  Self->pass(now, decisions);
  return decisions;
}

void PodScheduler::adopt(const JobRequest &job, const Placement &where,
                         MonoTime now) {
  if (isRunning(job.Id))
    return;
  Self->Reserved.forget(job.Id);
  const std::int64_t estimateMs = Self->Times.estimateMs(job, ChargeQuantile);
  Self->Queue.adopt(job, estimateMs);
  auto run = std::make_unique<RunningJob>();
  run->Queued.Job = job;
  run->Queued.Class = job.Class;
  run->Queued.EstimateMs = estimateMs;
  run->Queued.QueuedAt = now;
  run->Queued.MayHaveRun = true;
  run->StartedAt = now;
  run->Where = where;
  run->Cells = Self->Cells.locate(where);
  Self->Footprints.giveWay(Self->addRun(std::move(run)));
  Self->Reserved.touchAll();
  Self->Changed = true;
}

void PodScheduler::jobEnded(const JobId &job, const RunReport &report,
                            MonoTime now) {
  const auto run = Self->endRun(job);
  if (!run)
    return;
  Self->Queue.finish(job, report.RanMs);
  if (report.Succeeded)
    Self->Times.addSample(job.Account, run->job().Kind, report.RanMs);
  Self->settleServers(*run, report, now);
}

void PodScheduler::jobRevoked(const JobId &job, MonoTime now) {
  if (auto run = Self->endRun(job)) {
    const std::int64_t ranMs = (now - run->StartedAt).count();
    Self->requeue(std::move(run), ranMs, now, true);
  }
}

void PodScheduler::startFailed(const JobId &job,
                               const std::vector<BackendServerId> &blamed,
                               MonoTime now) {
  for (const BackendServerId &it : blamed) {
    Self->Health.recordFailure(it, now);
    Self->syncQuarantine(it);
  }
  if (auto run = Self->endRun(job))
    Self->requeue(std::move(run), 0, now, false);
}

bool PodScheduler::cancelQueued(const JobId &job) {
  const auto queued = Self->Queue.erase(job);
  if (!queued)
    return false;
  Self->Reserved.forget(job);
  Self->Preemptions.erase(job);
  if (queued->Class == ServiceClass::Urgent)
    Self->Urgency.refund(job.Account);
  Self->Changed = true;
  return true;
}

bool PodScheduler::isQueued(const JobId &job) const {
  return Self->Queue.contains(job);
}

bool PodScheduler::isRunning(const JobId &job) const {
  return Self->Running.contains(job);
}

PodSummary PodScheduler::summary(MonoTime) const {
  PodSummary out;
  out.Total = Self->Cells.total();
  out.Free = Self->Cells.open().available();
  out.LargestFree = Self->Cells.open().largest(MaxGang);
  out.QueuedJobs = Self->Queue.size();
  out.RunningJobs = static_cast<std::uint32_t>(Self->Running.size());
  out.QuarantinedServers = Self->Health.quarantinedCount();
  return out;
}

std::vector<AssignedShape> PodScheduler::degradedGuarantees() const {
  return Self->Footprints.degradedShapes();
}

std::vector<Placement>
PodScheduler::footprint(const ClientAccountId &account) const {
  std::vector<Placement> out;
  for (const FootprintCell *it : Self->Footprints.of(account))
    if (!it->Where.empty())
      out.push_back(Self->Cells.describe(it->Where));
  return out;
}

std::map<ClientAccountId, std::uint32_t> PodScheduler::queueLengths() const {
  return Self->Queue.lengths();
}

} // namespace citrongap
