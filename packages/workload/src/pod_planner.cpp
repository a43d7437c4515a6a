// Events of PodPlanner: changes of servers and jobs.
#include "citrongap/workload/pod_planner.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

/// Calls `visit` with the name and the record of each task.
template <typename Visit>
void forEachTask(const WorkId &id, PlannedWork &work, const Visit &visit) {
  auto &occurrences = work.Record.Occurrences;
  for (std::uint32_t k = 0; k < occurrences.size(); ++k)
    for (std::uint32_t s = 0; s < occurrences[k].Steps.size(); ++s) {
      auto &tasks = occurrences[k].Steps[s].Tasks;
      for (std::uint32_t n = 0; n < tasks.size(); ++n)
        visit(TaskName{id, k, s, n}, tasks[n]);
    }
}

/// Whether the record has the steps of the job in each occurrence, and the
/// tasks of each step. Finished occurrences may be without steps.
bool hasStepsOf(const WorkSpec &spec, const WorkRecord &record) {
  for (const Occurrence &occurrence : record.Occurrences) {
    if (occurrence.Steps.empty())
      continue;
    if (occurrence.Steps.size() != spec.Steps.size())
      return false;
    for (std::size_t s = 0; s < spec.Steps.size(); ++s)
      if (occurrence.Steps[s].Tasks.size() != spec.Steps[s].Count)
        return false;
  }
  return true;
}

} // namespace

const char *describe(RunOutcome outcome) {
  switch (outcome) {
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
  // Runs placed by a previous owner occupy resources as soon as the server is
  // added.
  const auto placed = Placed.find(entry.Incarnation);
  if (placed == Placed.end())
    return;
  for (const TaskName &it : placed->second) {
    const Resources allocation = specOf(it).allocation();
    slot.Free -= allocation;
    if (findTask(it)->StopRequested)
      slot.Stopping += allocation;
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

void PodPlanner::setUsedByOthers(const ServerIncarnation &server,
                                 const Resources &use) {
  ServerSlot *slot = Servers.find(server);
  if (!slot)
    return;
  slot->Free += slot->UsedByOthers;
  slot->Free -= use;
  slot->UsedByOthers = use;
}

void PodPlanner::expireLeases(const ServerIncarnation &incarnation,
                              MonoTime now, const std::set<RunId> &late) {
  releaseAll(incarnation, causeOfLoss(incarnation, LossCause::ExpiredLease),
             now, late);
}

void PodPlanner::releaseAll(const ServerIncarnation &incarnation,
                            LossCause cause, MonoTime now,
                            const std::set<RunId> &kept) {
  const std::set<TaskName> tasks = Placed[incarnation];
  for (const TaskName &it : tasks) {
    TaskRecord &record = stepOf(it).Tasks[it.Index];
    if (kept.contains({it, record.Run}))
      continue;
    release(it, record, now, cause);
    if (specOf(it).Gang)
      stopGang(it, "a member's server is gone", cause);
    settleGang(it);
  }
  if (Placed[incarnation].empty())
    Placed.erase(incarnation);
}

void PodPlanner::setEvacuated(std::set<DataCentreId> dataCentres) {
  Evacuated = std::move(dataCentres);
}

void PodPlanner::removeIncarnation(const ServerIncarnation &incarnation,
                                   MonoTime now) {
  releaseAll(incarnation, causeOfLoss(incarnation, LossCause::LostServer), now);
  if (Servers.find(incarnation))
    Servers.remove(incarnation.Id);
  Health.removeServer(incarnation.Id);
}

void PodPlanner::moveUncertainRun(const TaskName &task, std::uint32_t run,
                                  const ServerIncarnation &from,
                                  const ServerIncarnation &to, MonoTime now) {
  TaskRecord *record = findCurrentRun(task, run, from);
  if (!record)
    return;
  release(task, *record, now, std::nullopt);
  record->Stage = TaskStage::Placed;
  record->Server = to;
  Placed[to].insert(task);
  if (ServerSlot *slot = Servers.find(to))
    slot->Free -= specOf(task).allocation();
  if (specOf(task).Gang)
    stopGang(task, "a member's server is gone", LossCause::LostServer);
  else
    requestStop(task, *record, "its server has restarted",
                LossCause::UncertainStart);
}

void PodPlanner::addWork(const WorkSpec &spec, WorkRecord record, MonoTime now,
                         Millis age) {
  if (!hasStepsOf(spec, record))
    return;
  const auto [it, added] = Works.try_emplace(
      spec.Id, PlannedWork{spec, std::move(record), 0, {}, {}});
  if (!added)
    return;
  PlannedWork &work = it->second;
  if (spec.Priority == 0 && work.Record.Occurrences.empty())
    for (const StepSpec &step : spec.Steps)
      UrgentArrivals.push_back(
          {now - age, spec.Service, step.Requested.GpuCount * step.Count});
  for (std::uint32_t k = 0; k < work.Record.Occurrences.size(); ++k) {
    auto &steps = work.Record.Occurrences[k].Steps;
    for (std::uint32_t s = 0; s < steps.size(); ++s)
      for (std::uint32_t n = 0; n < steps[s].Tasks.size(); ++n) {
        TaskRecord &task = steps[s].Tasks[n];
        task.WaitingSince = now;
        task.PlacedAt = now;
        task.ProgressAt = now;
        // A previous owner's view of server health survives only in these
        // records.
        if (task.Failures > 0 && task.Stage == TaskStage::Waiting)
          Health.recordFailure(task.Server.Id, now, spec.Id.str());
        if (task.Stage != TaskStage::Placed)
          continue;
        Placed[task.Server].insert({spec.Id, k, s, n});
        if (ServerSlot *slot = Servers.find(task.Server))
          slot->Free -= spec.Steps[s].allocation();
      }
  }
  if (ended(work.Record.Phase))
    stopAll(spec.Id, work, "the job has ended");
  else
    stopRunsOfDoneTasks(spec.Id, work);
}

void PodPlanner::cancel(const WorkId &id, std::int64_t wallMs) {
  finishOpen(id, WorkPhase::Cancelled, wallMs);
}

void PodPlanner::fail(const WorkId &id, std::int64_t wallMs) {
  finishOpen(id, WorkPhase::Failed, wallMs);
}

bool PodPlanner::isCurrentRun(const TaskName &task, std::uint32_t run,
                              const ServerIncarnation &server) const {
  const TaskRecord *record = findTask(task);
  return record && record->Stage == TaskStage::Placed && record->Run == run &&
         record->Server == server && !record->StopRequested;
}

bool PodPlanner::wasReplaced(const TaskName &task, std::uint32_t run) const {
  const TaskRecord *record = findTask(task);
  return record && record->Run > run;
}

std::vector<StartOrder>
PodPlanner::runsPlacedOn(const ServerIncarnation &incarnation) const {
  std::vector<StartOrder> out;
  const auto found = Placed.find(incarnation);
  if (found == Placed.end())
    return out;
  for (const TaskName &it : found->second) {
    const PlannedWork &work = Works.at(it.Work);
    const TaskRecord &record = *findTask(it);
    const StepRecord &step =
        work.Record.Occurrences[it.Occurrence].Steps[it.Step];
    const bool gang = work.Spec.Steps[it.Step].Gang;
    out.push_back({it, record.Run, incarnation, work.Spec.Payload,
                   gang ? step.Tasks.front().Checkpoint : record.Checkpoint, 0,
                   Millis(0), true});
  }
  return out;
}

std::vector<ServerIncarnation> PodPlanner::incarnationsWithRuns() const {
  std::vector<ServerIncarnation> incarnations;
  for (const auto &[incarnation, tasks] : Placed)
    if (!tasks.empty())
      incarnations.push_back(incarnation);
  return incarnations;
}

std::set<WorkId> PodPlanner::takeChangedWork() {
  std::erase_if(UnrecordedBegins,
                [this](const auto &it) { return Changed.contains(it.first); });
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

TaskRecord *PodPlanner::findCurrentRun(const TaskName &task, std::uint32_t run,
                                       const ServerIncarnation &server) {
  auto *record = const_cast<TaskRecord *>(findTask(task));
  const bool matches = record && record->Stage == TaskStage::Placed &&
                       record->Run == run && record->Server == server;
  return matches ? record : nullptr;
}

bool PodPlanner::isReleasedRun(const TaskName &task, std::uint32_t run,
                               const ServerIncarnation &server) const {
  const TaskRecord *record = findTask(task);
  return record && record->Stage == TaskStage::Waiting && record->Run == run &&
         record->Server == server;
}

bool PodPlanner::isOtherRun(const TaskName &task, std::uint32_t run) const {
  const TaskRecord *record = findTask(task);
  return record && record->Stage != TaskStage::Done && record->Run >= run;
}

const TaskRecord *PodPlanner::findTask(const TaskName &task) const {
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

std::optional<RunLoss> PodPlanner::release(const TaskName &task,
                                           TaskRecord &record, MonoTime now,
                                           std::optional<LossCause> cause) {
  std::optional<RunLoss> loss;
  if (cause)
    loss = chargeLoss(task, record, *cause, now);
  const Resources allocation = specOf(task).allocation();
  if (ServerSlot *slot = Servers.find(record.Server)) {
    slot->Free += allocation;
    if (record.StopRequested)
      slot->Stopping -= allocation;
  }
  Placed[record.Server].erase(task);
  endProbe(record);
  record.Stage = record.EarlierRunDone ? TaskStage::Done : TaskStage::Waiting;
  // A start that was not carried out does not end the wait.
  if (std::exchange(record.Confirmed, false)) {
    record.WaitingSince = now;
    Works.at(task.Work).LastRunAt = now;
  }
  record.StopRequested = false;
  record.StopCause.reset();
  Changed.insert(task.Work);
  return loss;
}

void PodPlanner::endProbe(TaskRecord &record) {
  if (!std::exchange(record.Probe, false))
    return;
  for (const TaskName &it : Placed[record.Server])
    if (findTask(it)->Probe)
      return;
  Health.abortProbe(record.Server.Id);
}

void PodPlanner::requestStop(const TaskName &task, TaskRecord &record,
                             const char *reason, LossCause cause) {
  if (record.Stage != TaskStage::Placed)
    return;
  noteStopCause(task, record, cause);
  if (record.StopRequested)
    return;
  record.StopRequested = true;
  if (ServerSlot *slot = Servers.find(record.Server))
    slot->Stopping += specOf(task).allocation();
  PendingStops.push_back({task, record.Run, record.Server, reason});
}

void PodPlanner::stopGang(const TaskName &member, const char *reason,
                          LossCause cause) {
  StepRecord &step = stepOf(member);
  for (std::uint32_t n = 0; n < step.Tasks.size(); ++n)
    requestStop({member.Work, member.Occurrence, member.Step, n}, step.Tasks[n],
                reason, cause);
}

void PodPlanner::stopAll(const WorkId &id, PlannedWork &work,
                         const char *reason) {
  const LossCause cause =
      work.Record.Phase == WorkPhase::Cancelled ? LossCause::Cancellation
      : work.Record.Phase == WorkPhase::Failed  ? LossCause::Failure
                                                : LossCause::ReplacedRun;
  forEachTask(id, work, [&](const TaskName &task, TaskRecord &record) {
    requestStop(task, record, reason, cause);
  });
}

void PodPlanner::stopRunsOfDoneTasks(const WorkId &id, PlannedWork &work) {
  forEachTask(id, work, [&](const TaskName &task, TaskRecord &record) {
    if (record.EarlierRunDone)
      requestStop(task, record, "an earlier run has ended as done",
                  LossCause::ReplacedRun);
  });
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

void PodPlanner::finishOpen(const WorkId &id, WorkPhase phase,
                            std::int64_t wallMs) {
  const auto it = Works.find(id);
  if (it != Works.end() && !ended(it->second.Record.Phase))
    finish(id, it->second, phase, wallMs);
}

void PodPlanner::completeIfDone(const WorkId &id, PlannedWork &work,
                                std::int64_t wallMs) {
  if (ended(work.Record.Phase) ||
      work.Record.Occurrences.size() < work.Spec.occurrences())
    return;
  const auto &occurrences = work.Record.Occurrences;
  if (std::all_of(
          occurrences.begin() + static_cast<std::ptrdiff_t>(work.FirstOpen),
          occurrences.end(), [](const Occurrence &it) { return it.done(); }))
    finish(id, work, WorkPhase::Completed, wallMs);
}

void PodPlanner::completeDoneWork(std::int64_t wallMs) {
  for (auto &[id, work] : Works)
    completeIfDone(id, work, wallMs);
}

} // namespace citrongap
