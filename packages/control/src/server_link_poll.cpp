// The long poll of a backend server, and what its lists mean.
#include "citrongap/control/server_link.h"

#include "citrongap/base/outcome.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citrongap {

void ServerLink::poll() {
  Polling = true;
  const MonoTime now = monoNow();
  PollRequest request;
  request.AcknowledgedUpTo = RecordedUpTo;
  // A server that may be cut off gets no longer lease from polls that arrive
  // late; it is left to lapse.
  if (Failures == 0 && !Deliveries.empty()) {
    request.LeaseUntil = leaseUntil();
    LeaseEndsBy = std::max(LeaseEndsBy, Terms.lapseOf(now));
  }
  if (Failures == 0 && Synchronized && !Deliveries.empty())
    request.Wait = Terms.PollWait;
  send(request, true);
}

void ServerLink::look() {
  if (Over || !Active || !Polling || Failures > 0)
    return;
  PollRequest request;
  request.AcknowledgedUpTo = RecordedUpTo;
  send(request, false);
}

void ServerLink::send(PollRequest request, bool isPoll) {
  const MonoTime now = monoNow();
  Fleet.poll(At, Incarnation, request, Token,
             now + request.Wait + Terms.AnswerTimeout,
             [this, now, isPoll, told = RecordedUpTo,
              alive = std::weak_ptr<int>(Alive)](auto result) {
               if (!alive.lock())
                 return;
               // A look that fails changes nothing: the poll is still out.
               if (isPoll || std::holds_alternative<PollAnswer>(result))
                 onPoll(now, told, isPoll, std::move(result));
             });
}

void ServerLink::onPoll(MonoTime sentAt, std::uint64_t told, bool isPoll,
                        FleetResult<PollAnswer> result) {
  if (isPoll)
    Polling = false;
  if (Over || !Active)
    return;
  if (const auto *error = std::get_if<FleetError>(&result)) {
    pollFailed(*error);
    return;
  }
  const auto &answer = std::get<PollAnswer>(result);
  if (answer.StartedAtMs && *answer.StartedAtMs != Incarnation.StartedAtMs) {
    Over = true;
    Tell.Reborn(Incarnation);
    return;
  }
  if (Failures >= Terms.UnreachableAfter) {
    Log("server", "reachable", "server={} born={}", Incarnation.Id.str(),
        Incarnation.StartedAtMs);
    Planner.setReachable(Incarnation.Id, true);
  }
  Failures = 0;
  ToldUpTo = std::max(ToldUpTo, told);
  noteClock(answer.Clock);
  takeLists(sentAt, answer);
}

void ServerLink::pollFailed(const FleetError &error) {
  if (std::holds_alternative<ServerFenced>(error)) {
    Tell.Fenced(Incarnation);
    return;
  }
  if (std::holds_alternative<IncarnationMismatch>(error)) {
    Over = true;
    Tell.Reborn(Incarnation);
    return;
  }
  if (++Failures == Terms.UnreachableAfter) {
    Log("server", "unreachable", "server={} born={} runs={}",
        Incarnation.Id.str(), Incarnation.StartedAtMs, Deliveries.size());
    Planner.setReachable(Incarnation.Id, false);
    Tell.Changed();
  }
  if (Failures >= Terms.UnreachableAfter && monoNow() >= LeaseEndsBy &&
      !Deliveries.empty()) {
    Log("server", "leases_lapsed", "server={} born={} runs={}",
        Incarnation.Id.str(), Incarnation.StartedAtMs, Deliveries.size());
    Deliveries.clear();
    Tell.Lapsed(Incarnation);
  }
  later(Terms.RetryDelay);
}

void ServerLink::takeLists(MonoTime sentAt, const PollAnswer &answer) {
  const MonoTime now = monoNow();
  const std::uint64_t before = SeenUpTo;
  const bool first = !std::exchange(Synchronized, true);
  for (const ListedRun &it : answer.Running)
    takeRunning(it, now);
  for (const RunEndReport &it : answer.Ended)
    if (it.Number > SeenUpTo)
      takeEnd(it, now);
  takeMissing(sentAt, answer, now);
  if (first)
    startUnanswered();
  stopUnwanted();
  if (SeenUpTo > before)
    Tell.Changed();
  // Ends are listed again until they are recorded; a pause keeps the poll from
  // being answered at once with the same.
  constexpr Millis RecordPause{25};
  if (RecordedUpTo < SeenUpTo)
    later(RecordPause);
  else
    wake();
}

void ServerLink::startUnanswered() {
  std::vector<TaskName> unanswered;
  for (const auto &[task, it] : Deliveries)
    if (!it.AnsweredAt && !it.InFlight)
      unanswered.push_back(task);
  for (const TaskName &it : unanswered)
    sendStart(it);
}

void ServerLink::stopUnwanted() {
  // Stops that were decided before this link was there.
  std::vector<StopOrder> unwanted;
  for (const auto &[task, it] : Deliveries)
    if (!it.StopWanted &&
        !Planner.isCurrentRun(task, it.Order.Run, Incarnation))
      unwanted.push_back({task, it.Order.Run, Incarnation, "no longer wanted"});
  for (const StopOrder &it : unwanted)
    stop(it);
}

void ServerLink::takeRunning(const ListedRun &run, MonoTime now) {
  Planner.recordProgress(run.Task, run.Run, Incarnation, run.Percent, now);
  const auto found = Deliveries.find(run.Task);
  if (found != Deliveries.end() && found->second.Order.Run == run.Run) {
    if (!found->second.AnsweredAt)
      found->second.AnsweredAt = now;
    return;
  }
  if (!Planner.isCurrentRun(run.Task, run.Run, Incarnation))
    stop({run.Task, run.Run, Incarnation, "not the current run"});
}

void ServerLink::takeEnd(const RunEndReport &end, MonoTime now) {
  SeenUpTo = end.Number;
  const auto found = Deliveries.find(end.Task);
  if (found != Deliveries.end() && found->second.Order.Run == end.Run)
    Deliveries.erase(found);
  Log("run", "ended", "task={} run={} server={} how={} number={}",
      end.Task.str(), end.Run, Incarnation.Id.str(), describe(end.Outcome),
      end.Number);
  Tell.Ended(end.Outcome);
  Planner.recordRunEnd(end.Task, end.Run, Incarnation, end.Outcome,
                       end.Checkpoint, now, toMillis(wallNow()));
}

void ServerLink::takeMissing(MonoTime sentAt, const PollAnswer &answer,
                             MonoTime now) {
  std::set<TaskName> running;
  for (const ListedRun &it : answer.Running)
    running.insert(it.Task);
  std::vector<std::pair<TaskName, std::uint32_t>> missing;
  for (const auto &[task, it] : Deliveries) {
    const bool startedBefore = it.AnsweredAt && *it.AnsweredAt < sentAt;
    const bool stoppedBefore = it.StopAnsweredAt && *it.StopAnsweredAt < sentAt;
    if (!running.contains(task) && (startedBefore || stoppedBefore))
      missing.emplace_back(task, it.Order.Run);
  }
  for (const auto &[task, run] : missing) {
    Log("run", "missing", "task={} run={} server={}", task.str(), run,
        Incarnation.Id.str());
    Deliveries.erase(task);
    Planner.recordMissingRun(task, run, Incarnation, now);
  }
  if (!missing.empty())
    Tell.Changed();
}

} // namespace citrongap
