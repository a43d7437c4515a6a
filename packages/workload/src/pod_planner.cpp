// What the planner learns: servers, jobs, and how runs begin and end.
#include "citrongap/workload/pod_planner.h"

#include <utility>

namespace citrongap {

const char *describe(RunOutcome how) {
  switch (how) {
  case RunOutcome::Done:
    return "done";
  case RunOutcome::Failed:
    return "failed";
  case RunOutcome::Stopped:
    return "stopped";
  case RunOutcome::LeaseExpired:
    return "lease_lapsed";
  case RunOutcome::GangBroken:
    return "gang_broken";
  case RunOutcome::GangIncomplete:
    return "gang_incomplete";
  }
  return "unknown";
}

void PodPlanner::putServer(const ServerEntry &entry, MonoTime now) {
  if (const ServerSlot *known = Servers.find(entry.Incarnation.Id);
      known && known->Entry.Incarnation != entry.Incarnation)
    removeIncarnation(ServerIncarnation(known->Entry.Incarnation), now);
  const bool added = !Servers.find(entry.Incarnation);
  ServerSlot &slot = Servers.put(entry, now);
  if (!added)
    return;
  // Runs that an earlier owner placed there take room from the first moment.
  const auto placed = Placed.find(entry.Incarnation);
  if (placed == Placed.end())
    return;
  for (const TaskName &it : placed->second) {
    const Resources taken = specOf(it).taken();
    slot.Free -= taken;
    if (taskOf(it)->StopWanted)
      slot.Stopping += taken;
  }
}

void PodPlanner::setReachable(const BackendServerId &id, bool reachable) {
  if (ServerSlot *slot = Servers.find(id))
    slot->Reachable = reachable;
}

void PodPlanner::setListed(const BackendServerId &id, bool listed) {
  if (ServerSlot *slot = Servers.find(id))
    slot->Listed = listed;
}

void PodPlanner::expireLeases(const ServerIncarnation &life, MonoTime now) {
  const std::set<TaskName> tasks = Placed[life];
  for (const TaskName &it : tasks) {
    TaskRecord &record = stepOf(it).Tasks[it.Index];
    release(it, record, now);
    if (specOf(it).Gang)
      stopGang(it, "a member's server is gone");
  }
  Placed.erase(life);
}

void PodPlanner::removeIncarnation(const ServerIncarnation &life,
                                   MonoTime now) {
  expireLeases(life, now);
  if (Servers.find(life))
    Servers.remove(life.Id);
  Health.removeServer(life.Id);
}

void PodPlanner::addWork(const WorkSpec &spec, WorkRecord record,
                         MonoTime now) {
  const auto [it, added] =
      Works.try_emplace(spec.Id, PlannedWork{spec, std::move(record)});
  if (!added)
    return;
  PlannedWork &work = it->second;
  if (spec.Priority == 0 && work.Record.Occurrences.empty())
    for (const StepSpec &step : spec.Steps)
      UrgentArrivals.emplace_back(now, step.Requested.GpuCount * step.Count);
  for (std::uint32_t k = 0; k < work.Record.Occurrences.size(); ++k) {
    auto &steps = work.Record.Occurrences[k].Steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s)
      for (std::uint32_t n = 0; n < steps[s].Tasks.size(); ++n) {
        TaskRecord &task = steps[s].Tasks[n];
        task.WaitingSince = now;
        task.PlacedAt = now;
        task.ProgressAt = now;
        // What an earlier owner learnt of servers is in the records alone.
        if (task.Failures > 0 && task.Stage == TaskStage::Waiting)
          Health.recordFailure(task.Server.Id, now, spec.Id.str());
        if (task.Stage != TaskStage::Placed)
          continue;
        Placed[task.Server].insert({spec.Id, k, s, n});
        if (ServerSlot *slot = Servers.find(task.Server))
          slot->Free -= spec.Steps[s].taken();
      }
  }
  if (ended(work.Record.Phase))
    stopAll(spec.Id, work, "the job has ended");
}

void PodPlanner::cancel(const WorkId &id, std::int64_t wallMs) {
  const auto it = Works.find(id);
  if (it != Works.end() && !ended(it->second.Record.Phase))
    finish(id, it->second, WorkPhase::Cancelled, wallMs);
}

void PodPlanner::recordStart(const TaskName &task, std::uint32_t run,
                             const ServerIncarnation &on, MonoTime now) {
  TaskRecord *record = current(task, run, on);
  if (!record || record->Confirmed)
    return;
  record->Confirmed = true;
  record->ProgressAt = now;
}

void PodPlanner::recordStartRefusal(const TaskName &task, std::uint32_t run,
                                    const ServerIncarnation &on,
                                    StartRefusal why, MonoTime now) {
  TaskRecord *record = current(task, run, on);
  if (!record)
    return;
  if (why == StartRefusal::Unhealthy)
    Health.recordFailure(on.Id, now);
  else
    Health.abortProbe(on.Id);
  if (ServerSlot *slot = Servers.find(on))
    slot->NoStartsBefore = now + Terms.RefusedPause;
  release(task, *record, now);
  if (specOf(task).Gang)
    stopGang(task, "a member was not started");
}

void PodPlanner::abandonStart(const TaskName &task, std::uint32_t run,
                              const ServerIncarnation &on) {
  TaskRecord *record = current(task, run, on);
  if (!record)
    return;
  if (specOf(task).Gang)
    stopGang(task, "a member's start is uncertain");
  else
    wantStop(task, *record, "its start is uncertain");
}

void PodPlanner::recordProgress(const TaskName &task, std::uint32_t run,
                                const ServerIncarnation &on, int percent,
                                MonoTime now) {
  TaskRecord *record = current(task, run, on);
  if (!record)
    return;
  recordStart(task, run, on, now);
  record->ListedAt = now;
  if (percent == record->Percent)
    return;
  record->Percent = percent;
  record->ProgressAt = now;
  // A server that fails all it starts does so sooner.
  constexpr Millis WorksAfter{1000};
  if (now - record->PlacedAt >= WorksAfter)
    Health.recordProgress(on.Id, now);
}

void PodPlanner::recordRunEnd(const TaskName &task, std::uint32_t run,
                              const ServerIncarnation &on, RunOutcome how,
                              const std::string &checkpoint, MonoTime now,
                              std::int64_t wallMs) {
  TaskRecord *record = current(task, run, on);
  if (!record)
    return;
  const bool gang = specOf(task).Gang;
  StepRecord &step = stepOf(task);
  PlannedWork &work = Works.at(task.Work);
  const Millis ran = now - record->PlacedAt;
  release(task, *record, now);
  if (!checkpoint.empty())
    (gang ? step.Tasks.front() : *record).Checkpoint = checkpoint;
  if (how == RunOutcome::Done) {
    Health.recordSuccess(on.Id, now);
    RunTimes.addSample({}, work.Spec.Queue.str(), ran.count());
    if (work.Spec.LongRunning)
      return;
    record->Stage = TaskStage::Done;
    if (gang)
      for (TaskRecord &it : step.Tasks)
        if (it.Stage == TaskStage::Waiting)
          it.Stage = TaskStage::Done;
    // A gang's other members end by themselves; one such end stands for all.
    if (gang)
      for (std::uint32_t n = 0; n < step.Tasks.size(); ++n)
        if (step.Tasks[n].Stage == TaskStage::Placed) {
          const TaskName member{task.Work, task.Occurrence, task.Step, n};
          release(member, step.Tasks[n], now);
          step.Tasks[n].Stage = TaskStage::Done;
        }
    checkDone(task.Work, work, wallMs);
    return;
  }
  if (how == RunOutcome::Failed) {
    Health.recordFailure(on.Id, now, task.Work.str());
    countFailure(task, run, wallMs);
  } else {
    Health.abortProbe(on.Id);
  }
  if (gang)
    stopGang(task, "another member ended");
}

void PodPlanner::recordMissingRun(const TaskName &task, std::uint32_t run,
                                  const ServerIncarnation &on, MonoTime now) {
  TaskRecord *record = current(task, run, on);
  if (!record)
    return;
  release(task, *record, now);
  Health.abortProbe(on.Id);
  if (specOf(task).Gang)
    stopGang(task, "a member is missing");
}

bool PodPlanner::isCurrentRun(const TaskName &task, std::uint32_t run,
                              const ServerIncarnation &on) const {
  const TaskRecord *record = taskOf(task);
  return record && record->Stage == TaskStage::Placed && record->Run == run &&
         record->Server == on && !record->StopWanted;
}

std::vector<StartOrder>
PodPlanner::runsPlacedOn(const ServerIncarnation &life) const {
  std::vector<StartOrder> out;
  const auto found = Placed.find(life);
  if (found == Placed.end())
    return out;
  for (const TaskName &it : found->second) {
    const PlannedWork &work = Works.at(it.Work);
    const TaskRecord &record = *taskOf(it);
    const StepRecord &step =
        work.Record.Occurrences[it.Occurrence].Steps[it.Step];
    const bool gang = work.Spec.Steps[it.Step].Gang;
    out.push_back({it, record.Run, life, work.Spec.Payload,
                   gang ? step.Tasks.front().Checkpoint : record.Checkpoint, 0,
                   Millis(0), true});
  }
  return out;
}

std::vector<ServerIncarnation> PodPlanner::incarnationsWithRuns() const {
  std::vector<ServerIncarnation> lives;
  for (const auto &[life, tasks] : Placed)
    if (!tasks.empty())
      lives.push_back(life);
  return lives;
}

std::set<WorkId> PodPlanner::takeChangedWork() {
  return std::exchange(Changed, {});
}

const PlannedWork *PodPlanner::find(const WorkId &id) const {
  const auto it = Works.find(id);
  return it == Works.end() ? nullptr : &it->second;
}

std::vector<WorkId> PodPlanner::removeEndedWork() {
  std::vector<WorkId> dropped;
  for (auto it = Works.begin(); it != Works.end();) {
    const bool drop = ended(it->second.Record.Phase) &&
                      !it->second.Record.anyPlaced() &&
                      !Changed.contains(it->first);
    if (drop)
      dropped.push_back(it->first);
    it = drop ? Works.erase(it) : std::next(it);
  }
  return dropped;
}

TaskRecord *PodPlanner::current(const TaskName &task, std::uint32_t run,
                                const ServerIncarnation &on) {
  auto *record = const_cast<TaskRecord *>(taskOf(task));
  const bool matches = record && record->Stage == TaskStage::Placed &&
                       record->Run == run && record->Server == on;
  return matches ? record : nullptr;
}

const TaskRecord *PodPlanner::taskOf(const TaskName &task) const {
  const auto it = Works.find(task.Work);
  if (it == Works.end())
    return nullptr;
  const auto &occurrences = it->second.Record.Occurrences;
  if (task.Occurrence >= occurrences.size() ||
      task.Step >= occurrences[task.Occurrence].Steps.size())
    return nullptr;
  const auto &tasks = occurrences[task.Occurrence].Steps[task.Step].Tasks;
  return task.Index < tasks.size() ? &tasks[task.Index] : nullptr;
}

StepRecord &PodPlanner::stepOf(const TaskName &task) {
  return Works.at(task.Work)
      .Record.Occurrences[task.Occurrence]
      .Steps[task.Step];
}

const StepSpec &PodPlanner::specOf(const TaskName &task) const {
  return Works.at(task.Work).Spec.Steps[task.Step];
}

void PodPlanner::release(const TaskName &task, TaskRecord &record,
                         MonoTime now) {
  const Resources taken = specOf(task).taken();
  if (ServerSlot *slot = Servers.find(record.Server)) {
    slot->Free += taken;
    if (record.StopWanted)
      slot->Stopping -= taken;
  }
  Placed[record.Server].erase(task);
  record.Stage = TaskStage::Waiting;
  record.Confirmed = false;
  record.StopWanted = false;
  record.WaitingSince = now;
  Changed.insert(task.Work);
}

void PodPlanner::wantStop(const TaskName &task, TaskRecord &record,
                          const char *reason) {
  if (record.Stage != TaskStage::Placed || record.StopWanted)
    return;
  record.StopWanted = true;
  if (ServerSlot *slot = Servers.find(record.Server))
    slot->Stopping += specOf(task).taken();
  PendingStops.push_back({task, record.Run, record.Server, reason});
}

void PodPlanner::stopGang(const TaskName &member, const char *reason) {
  StepRecord &step = stepOf(member);
  for (std::uint32_t n = 0; n < step.Tasks.size(); ++n)
    wantStop({member.Work, member.Occurrence, member.Step, n}, step.Tasks[n],
             reason);
}

void PodPlanner::stopAll(const WorkId &id, PlannedWork &work,
                         const char *reason) {
  auto &occurrences = work.Record.Occurrences;
  for (std::uint32_t k = 0; k < occurrences.size(); ++k)
    for (std::uint32_t s = 0; s < occurrences[k].Steps.size(); ++s) {
      auto &tasks = occurrences[k].Steps[s].Tasks;
      for (std::uint32_t n = 0; n < tasks.size(); ++n)
        wantStop({id, k, s, n}, tasks[n], reason);
    }
}

void PodPlanner::countFailure(const TaskName &task, std::uint32_t run,
                              std::int64_t wallMs) {
  PlannedWork &work = Works.at(task.Work);
  StepRecord &step = stepOf(task);
  std::uint32_t failures = 0;
  if (specOf(task).Gang) {
    if (run <= step.LastFailedRun)
      return;
    step.LastFailedRun = run;
    failures = ++step.GangFailures;
  } else {
    failures = ++step.Tasks[task.Index].Failures;
  }
  if (failures >= work.Spec.MaxAttempts && !work.Spec.LongRunning &&
      !ended(work.Record.Phase))
    finish(task.Work, work, WorkPhase::Failed, wallMs);
}

void PodPlanner::finish(const WorkId &id, PlannedWork &work, WorkPhase phase,
                        std::int64_t wallMs) {
  work.Record.Phase = phase;
  work.Record.EndedAtMs = wallMs;
  Changed.insert(id);
  stopAll(id, work, describe(phase));
}

void PodPlanner::checkDone(const WorkId &id, PlannedWork &work,
                           std::int64_t wallMs) {
  if (ended(work.Record.Phase) ||
      work.Record.Occurrences.size() < work.Spec.occurrences())
    return;
  for (const Occurrence &it : work.Record.Occurrences)
    if (!it.done())
      return;
  finish(id, work, WorkPhase::Completed, wallMs);
}

} // namespace citrongap
