// The long poll of a backend server, and the evaluation of its lists.
#include "citrongap/control/server_link.h"

#include "citrongap/base/outcome.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citrongap {

void ServerLink::poll() {
  LongPollInFlight = true;
  const MonoTime now = monoNow();
  PollRequest request;
  // After a failed poll no lease is renewed: the leases of a server that may be
  // unreachable shall end soon.
  if (FailedPolls == 0 && !RenewalsBarred &&
      (!TrackedRuns.empty() || LeftOutRuns > 0)) {
    request.LeaseUntil = leaseUntil(now);
    if (request.LeaseUntil)
      OwnLeaseEnd = std::max(OwnLeaseEnd, Options.latestLeaseEnd(now));
  }
  if (request.LeaseUntil && Synchronized)
    request.Wait = Options.LongPollWait;
  sendPoll(request, true);
}

void ServerLink::requestLists() {
  if (IncarnationEnded || !Active || !LongPollInFlight || FailedPolls > 0 ||
      !Notify.MayAct())
    return;
  ++ListRequestsInFlight;
  sendPoll({}, false);
}

void ServerLink::checkAlive(std::function<void(bool)> done) {
  Fleet.poll(Address, Incarnation, {}, Token, monoNow() + Options.AnswerTimeout,
             [this, done = std::move(done), alive = std::weak_ptr<int>(Alive)](
                 const FleetResult<PollAnswer> &result) {
               if (!alive.lock() || !Active)
                 return;
               if (const auto *answer = std::get_if<PollAnswer>(&result)) {
                 done(answer->StartedAtMs.value_or(Incarnation.StartedAtMs) ==
                      Incarnation.StartedAtMs);
                 return;
               }
               // A server that was fenced by another owner has answered.
               done(std::holds_alternative<ServerFenced>(
                   std::get<FleetError>(result)));
             });
}

void ServerLink::sendPoll(PollRequest request, bool isLongPoll) {
  const MonoTime now = monoNow();
  // A poll that the server's next incarnation carries out late acknowledges
  // ends there, whose numbers begin anew.
  if (ConfirmedUpTo < RecordedUpTo)
    request.AcknowledgedUpTo = RecordedUpTo;
  Fleet.poll(Address, Incarnation, request, Token,
             now + request.Wait + Options.AnswerTimeout,
             [this, now, isLongPoll, acknowledged = request.AcknowledgedUpTo,
              alive = std::weak_ptr<int>(Alive)](auto result) {
               if (!alive.lock())
                 return;
               if (!isLongPoll)
                 --ListRequestsInFlight;
               // A failed list request is ignored: the long poll is still in
               // flight.
               if (isLongPoll || std::holds_alternative<PollAnswer>(result))
                 onPoll(now, acknowledged, isLongPoll, std::move(result));
             });
}

void ServerLink::onPoll(MonoTime sentAt, std::uint64_t acknowledged,
                        bool isLongPoll, FleetResult<PollAnswer> result) {
  if (isLongPoll)
    LongPollInFlight = false;
  if (IncarnationEnded || !Active)
    return;
  if (const auto *error = std::get_if<FleetError>(&result)) {
    onPollFailed(*error);
    return;
  }
  const auto &answer = std::get<PollAnswer>(result);
  if (answer.StartedAtMs && *answer.StartedAtMs != Incarnation.StartedAtMs) {
    IncarnationEnded = true;
    Notify.Restarted(Incarnation, {Incarnation.Id, *answer.StartedAtMs});
    return;
  }
  if (answer.StartedAtMs)
    barOthers();
  if (FailedPolls >= Options.MaxFailedPolls) {
    Log("server", "reachable", "server={} born={}", Incarnation.Id.str(),
        Incarnation.StartedAtMs);
    Planner.setReachable(Incarnation.Id, true);
  }
  FailedPolls = 0;
  ConfirmedUpTo = std::max(ConfirmedUpTo, acknowledged);
  readClock(answer.Clock);
  applyLists(sentAt, answer);
}

void ServerLink::barOthers() {
  if (!TokenIsHighest || std::exchange(OthersBarred, true))
    return;
  OthersLeaseEnd = std::min(OthersLeaseEnd, Options.latestLeaseEnd(monoNow()));
}

void ServerLink::onPollFailed(const FleetError &error) {
  if (std::holds_alternative<ServerFenced>(error)) {
    reportFenced();
    return;
  }
  if (std::holds_alternative<IncarnationMismatch>(error)) {
    IncarnationEnded = true;
    Notify.IncarnationChanged(Incarnation);
    return;
  }
  returnUnsentStarts();
  if (++FailedPolls == Options.MaxFailedPolls) {
    Log("server", "unreachable", "server={} born={} runs={}",
        Incarnation.Id.str(), Incarnation.StartedAtMs, TrackedRuns.size());
    Planner.setReachable(Incarnation.Id, false);
    Notify.Changed();
  }
  if (FailedPolls >= Options.MaxFailedPolls && monoNow() >= latestLeaseEnd())
    releaseSettledRuns();
  schedulePoll(Options.RetryDelay);
}

void ServerLink::releaseSettledRuns() {
  const std::set<RunId> late = lateStarts();
  for (auto &[run, it] : TrackedRuns)
    if (!late.contains(run))
      noteOutcome(run, it, "leases_lapsed");
  const std::size_t released = std::erase_if(
      TrackedRuns, [&](const auto &it) { return !late.contains(it.first); });
  if (released == 0)
    return;
  Log("server", "leases_lapsed",
      "server={} born={} runs={} late_starts={} ended_ms_ago={}",
      Incarnation.Id.str(), Incarnation.StartedAtMs, released,
      TrackedRuns.size(), (monoNow() - latestLeaseEnd()).count());
  Notify.LeasesExpired(Incarnation, late);
}

void ServerLink::applyLists(MonoTime sentAt, const PollAnswer &answer) {
  const MonoTime now = monoNow();
  const std::uint64_t before = ReceivedUpTo;
  Synchronized = true;
  noteLeftOutRuns(answer);
  for (const ListedRun &it : answer.Running)
    applyRunning(it, now);
  for (const RunEndReport &it : answer.Ended)
    if (it.Number > ReceivedUpTo)
      applyRunEnd(it, now);
  reportMissingRuns(sentAt, answer, now);
  sendUnconfirmedStarts();
  stopObsoleteRuns();
  if (ReceivedUpTo > before || RenewalsBarred)
    Notify.Changed();
  // The server lists run ends until they are acknowledged. Without a delay, a
  // poll would be answered at once with the same ends.
  constexpr Millis RecordDelay{25};
  if (RecordedUpTo < ReceivedUpTo)
    schedulePoll(RecordDelay);
  else if (RenewalsBarred)
    schedulePoll(Options.RetryDelay);
  else
    pollIfNeeded();
}

void ServerLink::noteLeftOutRuns(const PollAnswer &answer) {
  LeftOutRuns = 0;
  Resources used;
  for (const ListedRun &it : answer.Running)
    if (const auto use = Notify.UseOfLeftOut(it.Task)) {
      ++LeftOutRuns;
      used += *use;
    }
  if (std::exchange(LeftOutUse, used) == used)
    return;
  Planner.setUsedByOthers(Incarnation, used);
  // They were placed without regard to these runs.
  returnUnsentStarts();
  Notify.Changed();
}

void ServerLink::sendUnconfirmedStarts() {
  std::vector<RunId> unconfirmed;
  for (const auto &[run, it] : TrackedRuns)
    if (!it.StartConfirmedAt && !it.StartInFlight && !it.RetryTimer.pending())
      unconfirmed.push_back(run);
  for (const RunId &it : unconfirmed)
    sendStart(it);
}

void ServerLink::returnUnsentStarts() {
  std::vector<RunId> unsent;
  for (const auto &[run, it] : TrackedRuns)
    if (it.startNeverSent())
      unsent.push_back(run);
  for (const RunId &it : unsent)
    returnUnsentStart(it);
  if (!unsent.empty())
    Notify.Changed();
}

void ServerLink::returnUnsentStart(const RunId &id) {
  // A copy: `id` may be the key of the entry.
  const auto [task, run] = id;
  Log("order", "start_returned", "task={} run={} server={}", task.str(), run,
      Incarnation.Id.str());
  forgetRun({task, run}, "not_sent");
  Planner.recordStartRefusal(task, run, Incarnation, StartRefusal::NoRoom,
                             monoNow());
}

void ServerLink::stopObsoleteRuns() {
  // Covers stops that were decided before this link existed.
  std::vector<StopOrder> obsolete;
  for (const auto &[run, it] : TrackedRuns)
    if (!it.StopRequested &&
        !Planner.isCurrentRun(run.first, run.second, Incarnation))
      obsolete.push_back({run.first, run.second, Incarnation,
                          "the run is no longer placed here"});
  for (const StopOrder &it : obsolete)
    stop(it);
}

void ServerLink::applyRunning(const ListedRun &run, MonoTime now) {
  if (Notify.UseOfLeftOut(run.Task))
    return;
  Planner.recordProgress(run.Task, run.Run, Incarnation, run.Percent, now,
                         run.Checkpoint);
  const auto found = TrackedRuns.find({run.Task, run.Run});
  if (found != TrackedRuns.end()) {
    found->second.Listed = true;
    if (!found->second.StartConfirmedAt) {
      found->second.StartConfirmedAt = now;
      noteStartOutcome(found->first, found->second, "confirmed");
    }
    return;
  }
  if (!Planner.isCurrentRun(run.Task, run.Run, Incarnation))
    stop({run.Task, run.Run, Incarnation, "not the current run"});
}

void ServerLink::applyRunEnd(const RunEndReport &end, MonoTime now) {
  ReceivedUpTo = end.Number;
  if (Notify.UseOfLeftOut(end.Task)) {
    Log("run", "ended_left_out", "task={} run={} server={} how={} number={}",
        end.Task.str(), end.Run, Incarnation.Id.str(), describe(end.Outcome),
        end.Number);
    Notify.LeftOutEnded(Incarnation, end);
    return;
  }
  forgetRun({end.Task, end.Run}, "ended");
  const bool replaced = Planner.wasReplaced(end.Task, end.Run);
  Notify.RunEnded(end.Outcome, replaced);
  const auto loss =
      Planner.recordRunEnd(end.Task, end.Run, Incarnation, end.Outcome,
                           end.Checkpoint, now, toMillis(wallNow()));
  Log("run", "ended",
      "task={} run={} server={} how={} number={} replaced={} "
      "lost_core_s={:.1f} cause={}",
      end.Task.str(), end.Run, Incarnation.Id.str(), describe(end.Outcome),
      end.Number, replaced, loss ? loss->CoreSeconds : 0,
      loss ? describe(loss->Cause) : "none");
}

void ServerLink::reportMissingRuns(MonoTime sentAt, const PollAnswer &answer,
                                   MonoTime now) {
  if (answer.MoreEnds)
    return;
  std::set<TaskName> running;
  for (const ListedRun &it : answer.Running)
    running.insert(it.Task);
  std::vector<RunId> missing;
  for (const auto &[run, it] : TrackedRuns) {
    const bool startedBefore =
        it.StartConfirmedAt && *it.StartConfirmedAt < sentAt;
    const bool stoppedBefore =
        it.StopConfirmedAt && *it.StopConfirmedAt < sentAt;
    if (!running.contains(run.first) && (startedBefore || stoppedBefore))
      missing.push_back(run);
  }
  for (const auto &[task, run] : missing) {
    const auto loss = Planner.recordMissingRun(task, run, Incarnation, now);
    Log("run", "missing",
        "task={} run={} server={} lost_core_s={:.1f} cause={}", task.str(), run,
        Incarnation.Id.str(), loss ? loss->CoreSeconds : 0,
        loss ? describe(loss->Cause) : "none");
    forgetRun({task, run}, "missing");
  }
  if (!missing.empty())
    Notify.Changed();
}

} // namespace citrongap
