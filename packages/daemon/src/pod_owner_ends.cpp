// How jobs of a pod end: recorded in the log, told to every front, and only
// then forgotten by the servers.
#include "citrongap/base/log.h"
#include "citrongap/daemon/pod_owner.h"

#include <algorithm>
#include <utility>

namespace citrongap {

namespace {

constexpr Log LogLine{"pod"};
/// Starts of one repeatable job before it counts as failing by itself.
constexpr std::uint32_t MaxAttempts = 3;
constexpr Seconds RecordAgainAfter{2};

} // namespace

void PodOwner::onRunEnd(const JobId &id, const RunEnd &end) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || !it->second.Run)
    return;
  OwnedJob &owned = it->second;
  const auto &parts = owned.Run->record().Where.Parts;
  for (std::uint32_t i = 0; i < parts.size(); ++i)
    owned.Unacknowledged.emplace_back(parts[i].Server, owned.Run->taskOf(i));
  Attempts.erase(owned.Run->record().Attempt);
  EndedAttempts.insert(owned.Run->record().Attempt);
  owned.EndedAttempts.push_back(owned.Run->record().Attempt);
  Finished.push_back(std::move(owned.Run));
  owned.Run = nullptr;
  owned.Ran = owned.Ran || end.Ran;
  poke();
  if (end.Succeeded) {
    Scheduler->jobEnded(id, {true, end.RanMs, {}}, monoNow());
    endJob(id, Done{end.Result});
    return;
  }
  if (owned.CancelAsked && end.Ran) {
    Scheduler->jobEnded(id, {true, end.RanMs, {}}, monoNow());
    endJob(id, Failed{"cancelled while it ran"});
    return;
  }
  retryOrFail(owned, end);
}

void PodOwner::retryOrFail(OwnedJob &owned, const RunEnd &end) {
  const JobId id = owned.Job.Id;
  if (!end.Ran) {
    acknowledgeTasks(owned);
    onNeverRan(owned, end);
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
    admit(id);
    return;
  }
  const bool outOfSight = end.FailedOn.empty() && !end.Unresponsive.empty();
  if (outOfSight && !owned.Job.Repeatable)
    endJob(id, Unknown{end.Reason});
  else
    endJob(id, Failed{end.Reason});
}

void PodOwner::onNeverRan(OwnedJob &owned, const RunEnd &end) {
  const JobId id = owned.Job.Id;
  if (owned.Claim) {
    giveBackClaim(id);
    return;
  }
  if (owned.CancelAsked) {
    freePlacement(id);
    refuse(id, NotRun{"cancelled before it ran", 0});
    return;
  }
  Scheduler->startFailed(id, end.Unresponsive, monoNow());
}

void PodOwner::refuse(const JobId &id, const NotRun &why) {
  const OwnedJob &owned = Jobs.at(id);
  if (owned.InDoubt)
    endJob(id, Unknown{"it was claimed, and no server told what became of it"});
  else if (owned.Ran)
    endJob(id, Failed{why.Reason + ", after it was stopped once"});
  else
    endJob(id, why);
}

void PodOwner::endJob(const JobId &id, const Outcome &outcome) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end() || it->second.Ended)
    return;
  OwnedJob &owned = it->second;
  owned.Ended = outcome;
  // Until every front was told, callers of this process see it as open.
  Untold[id] = owned.Fronts;
  // Only "not run" waits for the log: the log must not bring the job back.
  const bool waits = std::holds_alternative<NotRun>(outcome) && inLog(owned);
  if (!waits)
    tellFronts(id);
  recordEnd(id);
  answerSubmissions(id);
}

bool PodOwner::inLog(const OwnedJob &owned) const {
  const bool accepted = owned.Accepted && *owned.Accepted != Recorded::No;
  return accepted || owned.Claim || !owned.Fresh;
}

void PodOwner::recordEnd(const JobId &id) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  const OwnedJob &owned = it->second;
  const bool unknown = std::holds_alternative<Unknown>(*owned.Ended);
  if (unknown || !inLog(owned))
    return;
  if (std::holds_alternative<NotRun>(*owned.Ended)) {
    recordRefusals(submissionsInLog(owned), Outcome(*owned.Ended));
    return;
  }
  std::optional<std::string> claim;
  if (owned.Claim)
    claim = owned.Claim->Claim;
  Claims.ended(
      owned.Job, claim, *owned.Ended,
      [this, id, epoch = std::weak_ptr<int>(Epoch)](Recorded recorded) {
        if (!epoch.expired())
          onEndRecorded(id, recorded);
      });
}

std::vector<JobRequest>
PodOwner::submissionsInLog(const OwnedJob &owned) const {
  std::vector<JobRequest> out{owned.Job};
  // An earlier owner may have accepted another one.
  for (const auto &it : owned.Submissions) {
    JobRequest other = owned.Job;
    other.SubmissionId = it;
    if (it != owned.Job.SubmissionId && !owned.Fresh && Claims.names(other))
      out.push_back(std::move(other));
  }
  return out;
}

void PodOwner::recordRefusals(const std::vector<JobRequest> &submissions,
                              const Outcome &refusal) {
  const auto open = std::make_shared<std::size_t>(submissions.size());
  const auto all = std::make_shared<Recorded>(Recorded::Yes);
  for (const auto &it : submissions)
    Claims.ended(it, std::nullopt, refusal,
                 [this, id = it.Id, open, all,
                  epoch = std::weak_ptr<int>(Epoch)](Recorded recorded) {
                   if (recorded != Recorded::Yes)
                     *all = recorded;
                   if (--*open == 0 && !epoch.expired())
                     onEndRecorded(id, *all);
                 });
}

void PodOwner::onEndRecorded(const JobId &id, Recorded recorded) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  OwnedJob &owned = it->second;
  owned.EndRecorded = recorded == Recorded::Yes;
  if (std::holds_alternative<NotRun>(*owned.Ended)) {
    // An owner that woke without a lease may have a successor.
    const bool holds = unreadyServers().size() < Sessions.size();
    const bool safe =
        (owned.EndRecorded && holds) || owned.Job.Deadline <= wallNow();
    if (!safe)
      owned.Ended = Unknown{"the log did not confirm that it will not run"};
    tellFronts(id);
    return;
  }
  if (!owned.EndRecorded)
    RecordAgain[id] = monoNow() + RecordAgainAfter;
  else if (!Untold.contains(id))
    acknowledgeTasks(owned);
}

void PodOwner::recordEndsAgain(MonoTime now) {
  std::vector<JobId> due;
  for (const auto &[id, at] : RecordAgain)
    if (now >= at)
      due.push_back(id);
  for (const auto &id : due) {
    RecordAgain.erase(id);
    const auto it = Jobs.find(id);
    if (it != Jobs.end() && it->second.Job.Deadline > wallNow())
      recordEnd(id);
  }
}

void PodOwner::tellFronts(const JobId &id) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  // "Not run" is told in two rounds, so that no front submits the job again
  // after another front's caller was told.
  const bool twoRounds = std::holds_alternative<NotRun>(*it->second.Ended) &&
                         it->second.Fronts.size() > 1;
  it->second.Telling = true;
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
  if (std::exchange(it->second.LateFronts, false) || !final) {
    Untold[id] = it->second.Fronts;
    for (const auto &front : std::set<EntryVmId>(it->second.Fronts))
      tell(id, front, true);
    return;
  }
  Untold.erase(id);
  // Servers keep what an unrepeatable job left until the log has its outcome.
  if (it->second.Job.Repeatable || it->second.EndRecorded)
    acknowledgeTasks(it->second);
  const auto callbacks = std::exchange(it->second.CancelCallbacks, {});
  for (const auto &callback : callbacks)
    callback(view(id));
}

void PodOwner::acknowledgeTasks(OwnedJob &owned) {
  for (const auto &[server, task] : std::exchange(owned.Unacknowledged, {}))
    if (ServerSession *it = session(server))
      it->acknowledge(task);
}

} // namespace citrongap
