// Reports of backend servers about runs.
#include "citrongap/workload/pod_planner.h"

namespace citrongap {

namespace {

/// A faulty server fails its runs sooner than this.
constexpr Millis WorksAfter{1000};

} // namespace

void PodPlanner::recordBegin(const WorkId &id, MonoTime now) {
  const auto it = Works.find(id);
  if (it == Works.end() || it->second.Record.Phase != WorkPhase::Queued)
    return;
  it->second.Record.Phase = WorkPhase::Running;
  UnrecordedBegins.emplace(id, now + Options.BeginRecordDelay);
}

void PodPlanner::recordStart(const TaskName &task, std::uint32_t run,
                             const ServerIncarnation &server, MonoTime now) {
  TaskRecord *record = findCurrentRun(task, run, server);
  if (record && record->Confirmed)
    return;
  recordBegin(task.Work, now);
  if (!record)
    return;
  record->Confirmed = true;
  record->ProgressAt = now;
}

void PodPlanner::recordStartRefusal(const TaskName &task, std::uint32_t run,
                                    const ServerIncarnation &server,
                                    StartRefusal cause, MonoTime now) {
  TaskRecord *record = findCurrentRun(task, run, server);
  if (!record)
    return;
  if (cause == StartRefusal::Unhealthy)
    Health.recordFailure(server.Id, now);
  if (ServerSlot *slot = Servers.find(server))
    slot->NoStartsBefore = now + Options.RefusalRetryDelay;
  release(task, *record, now, std::nullopt);
  if (specOf(task).Gang)
    stopGang(task, "a member was not started", LossCause::GangBroken);
  settleGang(task);
}

void PodPlanner::abandonStart(const TaskName &task, std::uint32_t run,
                              const ServerIncarnation &server) {
  TaskRecord *record = findCurrentRun(task, run, server);
  if (!record)
    return;
  if (specOf(task).Gang)
    stopGang(task, "a member's start is uncertain", LossCause::UncertainStart);
  else
    requestStop(task, *record, "its start is uncertain",
                LossCause::UncertainStart);
}

void PodPlanner::recordProgress(const TaskName &task, std::uint32_t run,
                                const ServerIncarnation &server, int percent,
                                MonoTime now, const std::string &checkpoint) {
  recordStart(task, run, server, now);
  TaskRecord *record = findCurrentRun(task, run, server);
  if (!record)
    return;
  keepListedCheckpoint(task, *record, percent, checkpoint);
  record->ListedAt = now;
  measurePace(task, *record, percent, now);
  judgeProbe(task, *record, percent, now);
  if (percent == record->Percent) {
    if (!record->StopRequested && isStalled(*record, specOf(task), now))
      SweptAt = MonoTime();
    return;
  }
  record->Percent = percent;
  record->ProgressAt = now;
  if (now - record->PlacedAt >= WorksAfter)
    Health.recordProgress(server.Id, now);
}

void PodPlanner::judgeProbe(const TaskName &task, TaskRecord &record,
                            int percent, MonoTime now) {
  if (!record.Probe)
    return;
  const bool lasting = Works.at(task.Work).Spec.LongRunning;
  const bool works = lasting ? percent >= 100 : percent > record.Percent;
  const Millis enough = lasting ? WorksAfter : Options.Health.FirstQuarantine;
  if (!works || now - record.PlacedAt < enough)
    return;
  Health.recordSuccess(record.Server.Id, now);
  record.Probe = false;
}

std::optional<RunLoss>
PodPlanner::recordRunEnd(const TaskName &task, std::uint32_t run,
                         const ServerIncarnation &server, RunOutcome outcome,
                         const std::string &checkpoint, MonoTime now,
                         std::int64_t wallMs) {
  recordBegin(task.Work, now);
  TaskRecord *record = findCurrentRun(task, run, server);
  if (!record) {
    if (outcome == RunOutcome::Done && isReleasedRun(task, run, server))
      recordDone(task, wallMs, now);
    else if (outcome == RunOutcome::Done && isOtherRun(task, run))
      recordEarlierDone(task, wallMs);
    return std::nullopt;
  }
  const bool gang = specOf(task).Gang;
  const Millis ran = runTimeAtSpeedOne(task, *record, now - record->PlacedAt);
  if (outcome == RunOutcome::Done)
    measurePace(task, *record, 100, now);
  // An end is reported of runs that have started only.
  record->Confirmed = true;
  keepLastCheckpoint(task, *record, outcome, checkpoint, now);
  // Before the release, which ends a probe.
  if (outcome == RunOutcome::Done)
    Health.recordSuccess(server.Id, now);
  else if (outcome == RunOutcome::Failed)
    Health.recordFailure(server.Id, now, task.Work.str());
  const LossCause cause = causeOfEnd(*record, outcome);
  const std::optional<RunLoss> loss = release(
      task, *record, now,
      outcome == RunOutcome::Done ? std::nullopt : std::optional(cause));
  if (outcome == RunOutcome::Done) {
    RunTimes.addSample({}, Works.at(task.Work).Spec.Queue.str(), ran.count());
    recordDone(task, wallMs, now);
    settleGang(task);
    return std::nullopt;
  }
  if (outcome == RunOutcome::Failed && !record->EarlierRunDone)
    countFailure(task, run, wallMs);
  if (gang)
    stopGang(task, "another member ended", cause);
  settleGang(task);
  return loss;
}

void PodPlanner::recordDone(const TaskName &task, std::int64_t wallMs,
                            MonoTime now) {
  PlannedWork &work = Works.at(task.Work);
  if (work.Spec.LongRunning)
    return;
  Changed.insert(task.Work);
  StepRecord &step = stepOf(task);
  step.Tasks[task.Index].Stage = TaskStage::Done;
  forgetGangBreak(task);
  if (specOf(task).Gang)
    // The other members of the gang end on their own; the first completion
    // counts for all of them.
    for (std::uint32_t n = 0; n < step.Tasks.size(); ++n) {
      TaskRecord &it = step.Tasks[n];
      if (it.Stage == TaskStage::Placed) {
        if (it.Probe)
          Health.recordSuccess(it.Server.Id, now);
        release({task.Work, task.Occurrence, task.Step, n}, it, now,
                std::nullopt);
      }
      it.Stage = TaskStage::Done;
    }
  completeIfDone(task.Work, work, wallMs);
}

void PodPlanner::recordEarlierDone(const TaskName &task, std::int64_t wallMs) {
  PlannedWork &work = Works.at(task.Work);
  if (work.Spec.LongRunning)
    return;
  Changed.insert(task.Work);
  StepRecord &step = stepOf(task);
  const bool gang = specOf(task).Gang;
  for (std::uint32_t n = 0; n < step.Tasks.size(); ++n) {
    TaskRecord &it = step.Tasks[n];
    if ((!gang && n != task.Index) || it.Stage == TaskStage::Done)
      continue;
    if (it.Stage == TaskStage::Placed)
      it.EarlierRunDone = true;
    else
      it.Stage = TaskStage::Done;
  }
  stopRunsOfDoneTasks(task.Work, work);
  completeIfDone(task.Work, work, wallMs);
}

std::optional<RunLoss>
PodPlanner::recordMissingRun(const TaskName &task, std::uint32_t run,
                             const ServerIncarnation &server, MonoTime now) {
  TaskRecord *record = findCurrentRun(task, run, server);
  if (!record)
    return std::nullopt;
  const LossCause cause = causeOfLoss(server, LossCause::LostServer);
  const std::optional<RunLoss> loss = release(task, *record, now, cause);
  if (specOf(task).Gang)
    stopGang(task, "a member is missing", cause);
  settleGang(task);
  return loss;
}

} // namespace citrongap
