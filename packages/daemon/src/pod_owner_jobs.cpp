// The jobs of a pod: taken, placed, claimed, started and cancelled. How they
// end is in pod_owner_ends.cpp.
#include "citrongap/base/log.h"
#include "citrongap/daemon/pod_owner.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

constexpr Log LogLine{"pod"};
constexpr Millis ClaimAgainAfter{500};

} // namespace

PodOwner::OwnedJob &PodOwner::knownJob(const JobRequest &job) {
  const auto [it, added] = Jobs.try_emplace(job.Id);
  if (added)
    it->second.Job = job;
  return it->second;
}

PodOwner::OwnedJob *PodOwner::openJob(const JobId &id) {
  const auto it = Jobs.find(id);
  const bool open = it != Jobs.end() && !it->second.Ended && !it->second.Run;
  return open ? &it->second : nullptr;
}

void PodOwner::submit(const JobRequest &job, const JobOrigin &origin,
                      ViewCallback callback) {
  std::set<std::string> older = forgetRefusal(job);
  const bool known = Jobs.contains(job.Id);
  OwnedJob &owned = knownJob(job);
  owned.Submissions.merge(older);
  owned.Submissions.insert(job.SubmissionId);
  if (origin.Front)
    addFront(job.Id, *origin.Front);
  owned.Fresh = owned.Fresh && !origin.Again;
  if (!known) {
    owned.Delegated = origin.Delegated;
    if (Recovering)
      Deferred.push_back(job.Id);
    else
      place(job.Id);
  }
  const auto it = Jobs.find(job.Id);
  if (it == Jobs.end())
    return callback({});
  if (it->second.Settled || it->second.Ended)
    return callback(view(job.Id));
  it->second.SubmitCallbacks.push_back(std::move(callback));
}

void PodOwner::addFront(const JobId &id, const EntryVmId &front) {
  OwnedJob &owned = Jobs.at(id);
  const auto untold = Untold.find(id);
  if (owned.Ended && untold == Untold.end())
    return;
  // A front that asks while others are being told must be told as well: it
  // would submit the job again to a successor that knows of no refusal.
  const bool late = owned.Fronts.insert(front).second && owned.Telling;
  if (!late)
    return;
  owned.LateFronts = true;
  untold->second.insert(front);
  tell(id, front, false);
}

std::set<std::string> PodOwner::forgetRefusal(const JobRequest &job) {
  const auto it = Jobs.find(job.Id);
  if (it == Jobs.end() || !it->second.Ended || Untold.contains(job.Id))
    return {};
  const bool anew = isRetryable(*it->second.Ended) &&
                    !it->second.Submissions.contains(job.SubmissionId);
  if (!anew)
    return {};
  std::set<std::string> older = std::move(it->second.Submissions);
  Jobs.erase(it);
  return older;
}

void PodOwner::answerSubmissions(const JobId &id) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  it->second.Settled = true;
  const auto callbacks = std::exchange(it->second.SubmitCallbacks, {});
  for (const auto &callback : callbacks)
    callback(view(id));
}

void PodOwner::place(const JobId &id) {
  const OwnedJob *owned = openJob(id);
  if (!owned)
    return;
  if (const auto outcome = Claims.outcomeOf(id)) {
    endJob(id, *outcome);
    return;
  }
  if (owned->Delegated) {
    admit(id);
    return;
  }
  Broker.choose(
      Pod, owned->Job,
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
  OwnedJob *owned = openJob(id);
  if (!owned)
    return;
  owned->At = pod;
  recordAccepted(id);
  Broker.delegate(
      pod, owned->Job,
      [this, id, epoch = std::weak_ptr<int>(Epoch)](const Outcome &outcome) {
        if (!epoch.expired())
          endJob(id, outcome);
      });
}

void PodOwner::admit(const JobId &id) {
  OwnedJob *owned = openJob(id);
  if (!owned)
    return;
  owned->At = Pod;
  const auto taken = Scheduler->submit(owned->Job, wallNow(), monoNow());
  if (const auto *refused = std::get_if<NotRun>(&taken)) {
    refuse(id, *refused);
    return;
  }
  recordAccepted(id);
  poke();
}

void PodOwner::recordAccepted(const JobId &id) {
  OwnedJob &owned = Jobs.at(id);
  if (owned.Delegated || owned.Accepted) {
    answerSubmissions(id);
    return;
  }
  owned.Accepted = Recorded::Unclear;
  Claims.accepted(owned.Job, [this, id, epoch = std::weak_ptr<int>(Epoch)](
                                 Recorded recorded) {
    if (epoch.expired())
      return;
    const auto it = Jobs.find(id);
    if (it != Jobs.end())
      it->second.Accepted = recorded;
    answerSubmissions(id);
  });
}

void PodOwner::takeOwedJobs() {
  for (const auto &job : Claims.owed()) {
    const bool ours = job.Deadline > wallNow() && Broker.homeOf(job.Id) == Pod;
    if (!ours)
      continue;
    if (const auto known = Jobs.find(job.Id); known != Jobs.end()) {
      joinOwed(known->second, job);
      continue;
    }
    LogLine("{} is owed an outcome by the log", job.Id.str());
    submit(job, {std::nullopt, false, true}, [](const JobView &) {});
  }
}

void PodOwner::joinOwed(OwnedJob &owned, const JobRequest &job) {
  owned.Submissions.insert(job.SubmissionId);
  const bool refused =
      owned.Ended && std::holds_alternative<NotRun>(*owned.Ended);
  if (refused)
    Claims.ended(job, std::nullopt, *owned.Ended, [](Recorded) {});
}

bool PodOwner::fenced() const {
  return !Sessions.empty() && unreadyServers().empty();
}

void PodOwner::carryOut(const StartJob &decision) {
  OwnedJob *owned = openJob(decision.Job.Id);
  if (!owned)
    return;
  if (owned->Job.Repeatable || owned->Claim) {
    startRun(*owned, decision.Where);
    return;
  }
  owned->Claiming = true;
  Claims.claim(owned->Job, {fenced(), owned->Fresh},
               [this, id = owned->Job.Id, where = decision.Where,
                epoch = std::weak_ptr<int>(Epoch)](const ClaimAnswer &answer) {
                 if (!epoch.expired())
                   onClaim(id, where, answer);
               });
}

void PodOwner::startRun(OwnedJob &owned, const Placement &where) {
  const AttemptRecord record{owned.Job, Ids.uniqueId(), where};
  ++owned.Attempts;
  Attempts[record.Attempt] = owned.Job.Id;
  owned.Run = makeRun(record);
  if (owned.Claim)
    owned.Run->startBy(monoNow() + (owned.Claim->StartBy - wallNow()));
  owned.Run->start();
}

void PodOwner::onClaim(const JobId &id, const Placement &where,
                       const ClaimAnswer &answer) {
  OwnedJob *owned = openJob(id);
  if (!owned)
    return;
  owned->Claiming = false;
  if (const auto *granted = std::get_if<ClaimGranted>(&answer)) {
    owned->Claim = *granted;
    if (owned->CancelAsked)
      giveBackClaim(id);
    else
      startRun(*owned, where);
    return;
  }
  freePlacement(id);
  if (const auto *denied = std::get_if<ClaimDenied>(&answer)) {
    endJob(id, denied->Answer);
    return;
  }
  LogLine("the claim of {} waits: {}", id.str(),
          std::get<ClaimDeferred>(answer).Reason);
  claimLater(id);
}

void PodOwner::claimLater(const JobId &id) {
  OwnedJob &owned = Jobs.at(id);
  owned.InDoubt = true;
  owned.ClaimRetry = Loop.at(monoNow() + ClaimAgainAfter, [this, id] {
    OwnedJob *open = openJob(id);
    if (!open)
      return;
    if (open->Job.Deadline <= wallNow())
      endJob(id, Unknown{"it was claimed, and no server told what became of "
                         "it"});
    else
      admit(id);
  });
}

void PodOwner::giveBackClaim(const JobId &id) {
  OwnedJob &owned = Jobs.at(id);
  const std::string claim = std::exchange(owned.Claim, std::nullopt)->Claim;
  freePlacement(id);
  Claims.release(owned.Job, claim,
                 [this, id, epoch = std::weak_ptr<int>(Epoch)](bool confirmed) {
                   if (epoch.expired() || !openJob(id))
                     return;
                   if (!confirmed || !openJob(id)->CancelAsked)
                     claimLater(id);
                   else
                     endJob(id, NotRun{"cancelled before it ran", 0});
                 });
}

void PodOwner::freePlacement(const JobId &id) {
  Scheduler->startFailed(id, {}, monoNow());
  Scheduler->cancelQueued(id);
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

void PodOwner::cancel(const JobId &job, ViewCallback callback) {
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
  // A claim on its way, or one of doubtful fate, is settled first.
  if (owned.Claiming || owned.InDoubt)
    return;
  Scheduler->cancelQueued(job);
  refuse(job, NotRun{"cancelled before it ran", 0});
}

} // namespace citrongap
