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
  const bool gang = job.Spec.Steps.at(0).Gang;
  const std::size_t each = gang ? 1 : job.Spec.Steps.at(0).Count;
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

void Judge::atEnd(MonoTime now) {
  for (const auto &[id, job] : Stories)
    if (job.AcceptedAt && !job.Ended)
      add(now,
          fmt::format("lost: {} was accepted and has not ended", id.str()));
  for (const auto &[task, place] : Running)
    add(now, fmt::format("left over: {} still runs on {}", task.str(),
                         place.Server.Id.str()));
}

} // namespace citrongap::soak
