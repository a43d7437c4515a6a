// Charges the work of runs that did not end as done to its cause.
#include "citrongap/workload/pod_planner.h"

namespace citrongap {

namespace {

/// A gang is known by its first task.
TaskName gangOf(TaskName member) {
  member.Index = 0;
  return member;
}

} // namespace

LossCause PodPlanner::causeOfEnd(const TaskRecord &record,
                                 RunOutcome outcome) const {
  switch (outcome) {
  case RunOutcome::Failed:
    return LossCause::Failure;
  case RunOutcome::LeaseExpired:
    return LossCause::ExpiredLease;
  case RunOutcome::GangBroken:
  case RunOutcome::GangIncomplete:
    return LossCause::GangBroken;
  case RunOutcome::Done:
  case RunOutcome::Stopped:
    break;
  }
  // Without an order of this owner, a leaving server has stopped the run.
  return causeOfLoss(record.Server, LossCause::Unknown);
}

LossCause PodPlanner::causeOfLoss(const ServerIncarnation &server,
                                  LossCause otherwise) const {
  const ServerSlot *slot = Servers.find(server.Id);
  const bool leaving =
      slot && slot->Entry.Incarnation == server && slot->Entry.Draining;
  return leaving ? LossCause::LeavingServer : otherwise;
}

void PodPlanner::noteStopCause(const TaskName &task, TaskRecord &record,
                               LossCause cause) {
  if (specOf(task).Gang)
    GangBreaks[gangOf(task)].noteCause(cause);
  else if (!record.StopCause)
    record.StopCause = cause;
}

MonoTime PodPlanner::savedAt(const TaskName &task, const TaskRecord &record) {
  // No later run resumes an ended job or a task that is done.
  if (ended(Works.at(task.Work).Record.Phase) || record.EarlierRunDone ||
      record.Stage == TaskStage::Done)
    return {};
  return specOf(task).Gang ? stepOf(task).Tasks.front().SavedAt
                           : record.SavedAt;
}

RunLoss PodPlanner::chargeLoss(const TaskName &task, TaskRecord &record,
                               LossCause cause, MonoTime now) {
  EndedRun run{specOf(task).Requested, record.PlacedAt, now};
  // A run that no server reported is not known to have worked.
  if (!record.Confirmed)
    run.StartedAt = now;
  const MonoTime saved = savedAt(task, record);
  if (specOf(task).Gang) {
    GangBreak &gang = GangBreaks[gangOf(task)];
    gang.noteCause(cause);
    gang.addMember(run);
    return {gang.cause(), lostCoreSeconds(run, saved)};
  }
  const RunLoss loss{record.StopCause.value_or(cause),
                     lostCoreSeconds(run, saved)};
  Losses.add(loss);
  return loss;
}

void PodPlanner::settleGang(const TaskName &member) {
  const auto found = GangBreaks.find(gangOf(member));
  if (found == GangBreaks.end())
    return;
  const StepRecord &step = stepOf(member);
  if (step.anyPlaced())
    return;
  Losses.add(found->second.loss(savedAt(member, step.Tasks.front())));
  GangBreaks.erase(found);
}

void PodPlanner::forgetGangBreak(const TaskName &member) {
  GangBreaks.erase(gangOf(member));
}

} // namespace citrongap
