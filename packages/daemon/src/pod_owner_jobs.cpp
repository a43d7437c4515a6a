// The jobs of a pod: queued, cancelled, ended, and told to their fronts.
#include "citrongap/base/log.h"
#include "citrongap/daemon/pod_owner.h"

#include <fmt/format.h>
#include <utility>

namespace citrongap {

namespace {

constexpr Log LogLine{"pod"};
/// Starts of one repeatable job before it counts as failing by itself.
constexpr std::uint32_t MaxAttempts = 3;
constexpr Millis TellAgainAfter{300};

} // namespace

PodOwner::OwnedJob &PodOwner::knownJob(const JobRequest &job) {
  const auto [it, added] = Jobs.try_emplace(job.Id);
  if (added)
    it->second.Job = job;
  return it->second;
}

JobView PodOwner::submit(const JobRequest &job,
                         const std::optional<EntryVmId> &front,
                         bool delegated) {
  const bool known = Jobs.contains(job.Id);
  OwnedJob &owned = knownJob(job);
  if (front && !owned.Ended)
    owned.Fronts.insert(*front);
  if (known)
    return view(job.Id);
  owned.Delegated = delegated;
  if (Recovering)
    Deferred.push_back(job.Id);
  else
    place(job.Id);
  return view(job.Id);
}

void PodOwner::place(const JobId &id) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || it->second.Ended || it->second.Run)
    return;
  if (it->second.Delegated) {
    admit(id);
    return;
  }
  Broker.choose(
      Pod, it->second.Job,
      [this, id, epoch = std::weak_ptr<int>(Epoch)](const PodId &pod) {
        if (epoch.expired())
          return;
        if (pod == Pod)
          admit(id);
        else
          sendTo(pod, id);
      });
}

void PodOwner::sendTo(const PodId &pod, const JobId &id) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || it->second.Ended || it->second.Run)
    return;
  it->second.At = pod;
  Broker.delegate(
      pod, it->second.Job,
      [this, id, epoch = std::weak_ptr<int>(Epoch)](const Outcome &outcome) {
        if (!epoch.expired())
          endJob(id, outcome);
      });
}

void PodOwner::admit(const JobId &id) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || it->second.Ended || it->second.Run)
    return;
  it->second.At = Pod;
  const JobRequest job = it->second.Job;
  if (job.Repeatable) {
    Claims.accepted(Pod, job);
    onClaim(id, ClaimGranted{});
    return;
  }
  Claims.claim(
      Pod, job,
      [this, id, epoch = std::weak_ptr<int>(Epoch)](const ClaimAnswer &answer) {
        if (!epoch.expired())
          onClaim(id, answer);
      });
}

void PodOwner::onClaim(const JobId &id, const ClaimAnswer &answer) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || it->second.Ended || it->second.Run)
    return;
  if (const auto *denied = std::get_if<ClaimDenied>(&answer)) {
    endJob(id, denied->Answer);
    return;
  }
  const auto taken = Scheduler->submit(it->second.Job, wallNow(), monoNow());
  if (const auto *refused = std::get_if<NotRun>(&taken))
    endJob(id, *refused);
  poke();
}

JobView PodOwner::view(const JobId &job) const {
  const auto it = Jobs.find(job);
  if (it == Jobs.end())
    return {};
  const OwnedJob &owned = it->second;
  if (owned.Ended && !Untold.contains(job))
    return {JobStage::Ended, *owned.Ended, owned.At};
  return {owned.Run ? JobStage::Running : JobStage::Waiting, {}, owned.At};
}

void PodOwner::cancel(const JobId &job, std::function<void(JobView)> callback) {
  const auto it = Jobs.find(job);
  if (it == Jobs.end() || (it->second.Ended && !Untold.contains(job))) {
    callback(view(job));
    return;
  }
  OwnedJob &owned = it->second;
  owned.CancelCallbacks.push_back(std::move(callback));
  if (owned.Ended)
    return;
  owned.CancelAsked = true;
  if (owned.Run) {
    owned.Run->revoke("its caller cancelled it");
    return;
  }
  if (!owned.At.empty() && owned.At != Pod) {
    Broker.cancelDelegated(owned.At, job);
    return;
  }
  Scheduler->cancelQueued(job);
  endJob(job, NotRun{"cancelled before it ran", 0});
}

void PodOwner::onRunEnd(const JobId &id, const RunEnd &end) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || !it->second.Run)
    return;
  OwnedJob &owned = it->second;
  for (std::uint32_t i = 0; i < owned.Run->record().Where.Parts.size(); ++i)
    owned.Unacknowledged.emplace_back(owned.Run->record().Where.Parts[i].Server,
                                      owned.Run->taskOf(i));
  Attempts.erase(owned.Run->record().Attempt);
  Finished.push_back(std::move(owned.Run));
  owned.Run = nullptr;
  owned.Stage = JobStage::Waiting;
  poke();
  if (end.Succeeded) {
    Scheduler->jobEnded(id, {true, end.RanMs, {}}, monoNow());
    endJob(id, Done{end.Result});
    return;
  }
  if (owned.CancelAsked) {
    Scheduler->jobEnded(id, {true, end.RanMs, {}}, monoNow());
    endJob(id, end.Ran ? Outcome(Failed{"cancelled while it ran"})
                       : Outcome(NotRun{"cancelled before it ran", 0}));
    return;
  }
  retryOrFail(owned, end);
}

void PodOwner::retryOrFail(OwnedJob &owned, const RunEnd &end) {
  const JobId id = owned.Job.Id;
  if (!end.Ran) {
    acknowledgeTasks(owned);
    Scheduler->startFailed(id, end.Unresponsive, monoNow());
    return;
  }
  if (end.Revoked && owned.Job.Repeatable) {
    acknowledgeTasks(owned);
    Scheduler->jobRevoked(id, monoNow());
    return;
  }
  Scheduler->jobEnded(id, {false, end.RanMs, end.FailedOn}, monoNow());
  const bool again = owned.Job.Repeatable && owned.Attempts < MaxAttempts &&
                     owned.Job.Deadline > wallNow();
  if (again) {
    acknowledgeTasks(owned);
    onClaim(id, ClaimGranted{});
    return;
  }
  const bool outOfSight = end.FailedOn.empty() && !end.Unresponsive.empty();
  if (outOfSight && !owned.Job.Repeatable)
    endJob(id, Unknown{end.Reason});
  else
    endJob(id, Failed{end.Reason});
}

void PodOwner::endJob(const JobId &id, const Outcome &outcome) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || it->second.Ended)
    return;
  OwnedJob &owned = it->second;
  owned.Ended = outcome;
  owned.Stage = JobStage::Ended;
  // Until every front was told, callers of this process see it as open.
  Untold[id] = owned.Fronts;
  recordEnd(id);
}

void PodOwner::recordEnd(const JobId &id) {
  const OwnedJob &owned = Jobs.at(id);
  if (owned.At != Pod) {
    tellFronts(id);
    return;
  }
  Claims.ended(Pod, owned.Job, *owned.Ended,
               [this, id, epoch = std::weak_ptr<int>(Epoch)] {
                 if (!epoch.expired())
                   tellFronts(id);
               });
}

void PodOwner::tellFronts(const JobId &id) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  // "Not run" is told in two rounds, so that no front submits the job again
  // after another front's caller was told.
  const bool twoRounds = std::holds_alternative<NotRun>(*it->second.Ended) &&
                         it->second.Fronts.size() > 1;
  Untold[id] = it->second.Fronts;
  if (Untold[id].empty()) {
    onAllTold(id, true);
    return;
  }
  for (const auto &front : std::set<EntryVmId>(Untold[id]))
    tell(id, front, !twoRounds);
}

void PodOwner::tell(const JobId &id, const EntryVmId &front, bool final) {
  const auto job = Jobs.find(id);
  if (job == Jobs.end())
    return;
  Notify(
      front, {Pod, id, *job->second.Ended, final},
      [this, id, front, final, epoch = std::weak_ptr<int>(Epoch)](bool told) {
        if (epoch.expired())
          return;
        if (!told)
          LogLine("front {} is gone and was not told of {}", front.str(),
                  id.str());
        const auto open = Untold.find(id);
        if (open == Untold.end())
          return;
        open->second.erase(front);
        if (open->second.empty())
          onAllTold(id, final);
      });
}

void PodOwner::onAllTold(const JobId &id, bool final) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  if (!final) {
    Untold[id] = it->second.Fronts;
    for (const auto &front : std::set<EntryVmId>(it->second.Fronts))
      tell(id, front, true);
    return;
  }
  Untold.erase(id);
  acknowledgeTasks(it->second);
  for (const auto &callback : std::exchange(it->second.CancelCallbacks, {}))
    callback(view(id));
}

void PodOwner::acknowledgeTasks(OwnedJob &owned) {
  for (const auto &[server, task] : std::exchange(owned.Unacknowledged, {}))
    if (ServerSession *it = session(server))
      it->acknowledge(task);
}

} // namespace citrongap
