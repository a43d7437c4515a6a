// The promises, one check each.
#include "judge.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace citrongap::soak {

namespace {

/// A job may be unknown to other entry VMs so long after it was accepted.
constexpr Millis VisibleWithin{3000};
/// Nothing of a job starts so long after its cancellation was acknowledged.
constexpr Millis CancelWithin{3000};
/// A leaving server gets nothing new after this.
constexpr Millis DrainWithin{2000};
/// Starts after the job was shown as completed that were on their way.
constexpr Millis LateStart{1000};
/// A job may have nothing running for so long beside room for it.
constexpr Millis IdleWithin{3000};

bool stepDone(const JobStory &job, TaskName task) {
  const StepSpec &step = job.Spec.Steps.at(task.Step);
  for (task.Index = 0; task.Index < step.Count; ++task.Index)
    // A gang's end stands for all its members.
    if (job.Done.contains(task) == step.Gang)
      return step.Gang;
  return !step.Gang;
}

bool fitsTwice(const StepSpec &step, const std::vector<ServerRoom> &servers) {
  const std::uint32_t wanted = 2 * (step.Gang ? step.Count : 1);
  std::uint32_t found = 0;
  for (const ServerRoom &it : servers) {
    if (!step.RequiredLabel.empty() &&
        std::find(it.Labels.begin(), it.Labels.end(), step.RequiredLabel) ==
            it.Labels.end())
      continue;
    for (Resources free = it.Free;
         found < wanted && step.Requested.fitsIn(free); ++found)
      free -= step.Requested;
  }
  return found == wanted;
}

std::string describeStep(const WorkSpec &spec, std::uint32_t n) {
  const StepSpec &step = spec.Steps.at(n);
  return fmt::format(
      "priority {}, {} {} of {} accelerators{}, label '{}', rack '{}'",
      spec.Priority, step.Count, step.Gang ? "in a gang" : "tasks",
      step.Requested.GpuCount, step.OneRack ? " in one rack" : "",
      step.RequiredLabel, step.DataRack.str());
}

bool underHalf(const Resources &free, const Resources &all) {
  return free.GpuCount * 2 > all.GpuCount &&
         free.CpuMillis * 2 > all.CpuMillis && free.MemoryMb * 2 > all.MemoryMb;
}

} // namespace

void Judge::add(MonoTime at, std::string what) {
  Findings.push_back(fmt::format("{} {}", toMillis(at), std::move(what)));
}

void Judge::disturbedUntil(MonoTime until) {
  CalmFrom = std::max(CalmFrom, until);
}

void Judge::onDraining(const BackendServerId &id,
                       std::optional<MonoTime> since) {
  if (since)
    Draining[id] = *since;
  else
    Draining.erase(id);
}

void Judge::onRun(const wire::RunEvent &event) {
  const auto here = Running.find(event.Task);
  const bool current = here != Running.end() &&
                       here->second.Server == event.Server &&
                       here->second.Run == event.Run;
  switch (event.Kind) {
  case wire::RunEventKind::Started:
    onStarted(event);
    break;
  case wire::RunEventKind::Ended:
    if (current)
      Running.erase(here);
    if (event.How == RunOutcome::Done)
      story(event.Task.Work).Done.insert(event.Task);
    break;
  case wire::RunEventKind::Lost:
    if (current)
      Running.erase(here);
    break;
  case wire::RunEventKind::Acknowledged:
    onAcknowledged(event);
    break;
  }
}

void Judge::onAcknowledged(const wire::RunEvent &event) {
  JobStory &job = story(event.Task.Work);
  if (event.How == RunOutcome::Failed)
    ++job.Failures[event.Task];
  if (event.How != RunOutcome::Done)
    return;
  job.Acknowledged.insert(event.Task);
  // After the lease has expired the task may be placed again.
  const auto again = job.StartedAgain.find(event.Task);
  if (!event.LeaseExpiredSince && again != job.StartedAgain.end() &&
      again->second > event.Run)
    add(event.At, fmt::format("twice: the end of run {} of {} on {} is taken, "
                              "and run {} had started after it",
                              event.Run, event.Task.str(),
                              event.Server.Id.str(), again->second));
}

void Judge::onStarted(const wire::RunEvent &event) {
  ++Started;
  const std::string task = event.Task.str();
  const auto known = Stories.find(event.Task.Work);
  if (known == Stories.end()) {
    add(event.At, fmt::format("unasked: {} was never submitted", task));
    return;
  }
  JobStory &job = known->second;
  if (event.Payload != job.Program.str())
    add(event.At, fmt::format("unasked: {} has another payload", task));
  if (!job.AcceptedAt && job.MaybeStored == 0)
    add(event.At, fmt::format("\"not run\" was false: {} starts, and all "
                              "submissions were refused",
                              task));
  const auto here = Running.find(event.Task);
  if (here != Running.end())
    add(event.At,
        fmt::format("twice: {} runs on {} and starts on {}", task,
                    here->second.Server.Id.str(), event.Server.Id.str()));
  if (job.Done.contains(event.Task))
    job.StartedAgain[event.Task] = event.Run;
  if (job.Acknowledged.contains(event.Task))
    add(event.At,
        fmt::format("twice: {} starts after its end was taken", task));
  if (job.Ended == WorkPhase::Completed &&
      event.At > job.ShownCompletedAt + LateStart)
    add(event.At, fmt::format("twice: {} starts after its job was shown as "
                              "completed",
                              task));
  if (job.CancelledAt &&
      event.At > std::max(*job.CancelledAt, CalmFrom) + CancelWithin)
    add(event.At, fmt::format("cancelled: {} starts", task));
  const auto draining = Draining.find(event.Server.Id);
  if (draining != Draining.end() &&
      event.At > std::max(draining->second, CalmFrom) + DrainWithin)
    add(event.At,
        fmt::format("leaving: {} starts on {}", task, event.Server.Id.str()));
  Running[event.Task] = {event.Server, event.Run};
}

void Judge::onState(const WorkId &id, std::optional<WorkPhase> phase,
                    MonoTime now) {
  JobStory &job = story(id);
  if (!phase) {
    if (job.AcceptedAt && now > *job.AcceptedAt + VisibleWithin)
      add(now, fmt::format("lost: {} is said not to exist", id.str()));
    return;
  }
  if (!ended(*phase))
    return;
  // A gang's end stands for all its members; single tasks end one by one.
  std::size_t each = 0;
  for (const StepSpec &it : job.Spec.Steps)
    each += it.Gang ? 1 : it.Count;
  const std::size_t wanted = each * job.Spec.occurrences();
  if (*phase == WorkPhase::Completed && job.Done.size() < wanted)
    add(now, fmt::format("false end: {} is shown as completed, {} of {} tasks "
                         "are done",
                         id.str(), job.Done.size(), wanted));
  if (*phase == WorkPhase::Cancelled && !job.CancelSent)
    add(now, fmt::format("false end: {} is shown as cancelled", id.str()));
  if (*phase == WorkPhase::Failed && !job.Program.Fails)
    add(now, fmt::format("false end: {} is shown as failed", id.str()));
  if (job.Ended && *job.Ended != *phase)
    add(now, fmt::format("two ends: {} was {} and is {}", id.str(),
                         describe(*job.Ended), describe(*phase)));
  if (!job.Ended && *phase == WorkPhase::Completed)
    job.ShownCompletedAt = now;
  job.Ended = phase;
}

std::optional<TaskName> Judge::idleStep(const WorkId &id, const JobStory &job,
                                        const std::vector<ServerRoom> &servers,
                                        std::int64_t wallMs) const {
  const auto first = Running.lower_bound(TaskName{id, 0, 0, 0});
  const bool runs = first != Running.end() && first->first.Work == id;
  if (!job.AcceptedAt || job.CancelSent || job.Ended || runs)
    return std::nullopt;
  const std::vector<StepSpec> &steps = job.Spec.Steps;
  for (std::uint32_t k = 0; k < job.Spec.occurrences(); ++k) {
    if (job.Spec.dueAtMs(k) > wallMs)
      break;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
      const TaskName task{id, k, s, 0};
      const auto &before = steps[s].DependsOn;
      const bool turn =
          std::all_of(before.begin(), before.end(), [&](std::uint32_t it) {
            return stepDone(job, {id, k, it, 0});
          });
      if (turn && !stepDone(job, task) && fitsTwice(steps[s], servers))
        return task;
    }
  }
  return std::nullopt;
}

void Judge::takeRoom(std::vector<ServerRoom> &servers) const {
  std::map<BackendServerId, ServerRoom *> byId;
  for (ServerRoom &it : servers) {
    it.Free = it.Capacity;
    byId[it.Id] = &it;
  }
  for (const auto &[task, place] : Running)
    if (const auto at = byId.find(place.Server.Id); at != byId.end())
      at->second->Free -=
          Stories.at(task.Work).Spec.Steps.at(task.Step).allocation();
}

void Judge::review(std::vector<ServerRoom> sound, MonoTime now,
                   std::int64_t wallMs) {
  const Millis passed = now - std::exchange(ReviewedAt, now).value_or(now);
  takeRoom(sound);
  Resources free;
  Resources all;
  for (const ServerRoom &it : sound) {
    free += it.Free;
    all += it.Capacity;
  }
  const bool judged = now > CalmFrom && underHalf(free, all);
  if (judged)
    IdleJudged += passed;
  for (const auto &[id, job] : Stories) {
    const auto task = judged ? idleStep(id, job, sound, wallMs) : std::nullopt;
    if (!task) {
      if (const auto known = IdleJobs.extract(id))
        endIdle(known.mapped());
      continue;
    }
    Idle &idle = IdleJobs.try_emplace(id, Idle{now, now, ""}).first->second;
    idle.Until = now;
    if (idle.What.empty() && now - idle.Since >= IdleWithin)
      idle.What = fmt::format("{}, {}, {} of {} accelerators free", task->str(),
                              describeStep(job.Spec, task->Step), free.GpuCount,
                              all.GpuCount);
  }
}

void Judge::endIdle(const Idle &idle) {
  if (!idle.What.empty())
    add(idle.Until,
        fmt::format("idle: {}, nothing of its job runs from {} to {}",
                    idle.What, toMillis(idle.Since), toMillis(idle.Until)));
}

void Judge::atEnd(MonoTime now) {
  for (const auto &[id, idle] : IdleJobs)
    endIdle(idle);
  for (const auto &[id, job] : Stories)
    if (job.AcceptedAt && !job.Ended)
      add(now,
          fmt::format("lost: {} was accepted and has not ended", id.str()));
  for (const auto &[task, place] : Running)
    add(now, fmt::format("left over: {} still runs on {}", task.str(),
                         place.Server.Id.str()));
}

} // namespace citrongap::soak
