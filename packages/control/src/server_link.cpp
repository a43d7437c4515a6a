// Start and stop orders to one backend server, with retries.
#include "citrongap/control/server_link.h"

#include "citrongap/base/outcome.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citrongap {

namespace {

std::string describe(const FleetError &error) {
  return std::visit(
      Overloaded{
          [](const OrderOutcomeUnknown &it) {
            return "no answer: " + it.Reason;
          },
          [](const OrderNotSent &it) { return "not sent: " + it.Reason; },
          [](const IncarnationMismatch &) {
            return std::string("another incarnation answered");
          },
          [](const ServerFenced &) { return std::string("fenced"); },
          [](const OrderRefused &it) { return "refused: " + it.Reason; }},
      error);
}

bool isOutcomeUnknown(const FleetResult<OrderAcknowledged> &result) {
  const auto *error = std::get_if<FleetError>(&result);
  return error && std::holds_alternative<OrderOutcomeUnknown>(*error);
}

} // namespace

ServerLink::ServerLink(EventLoop &loop, FleetPort &fleet, PodPlanner &planner,
                       EventLog &log, ServerIncarnation incarnation,
                       Endpoint at, LinkToken token, LinkOptions options,
                       MonoTime othersLeaseEnd, Events events)
    : Loop(loop), Fleet(fleet), Planner(planner), Log(log),
      Incarnation(std::move(incarnation)), Address(std::move(at)),
      Token(token.Value), TokenIsHighest(token.IsHighest), Options(options),
      Notify(std::move(events)), OthersLeaseEnd(othersLeaseEnd) {
  for (StartOrder &it : Planner.runsPlacedOn(Incarnation)) {
    LateStarts[{it.Task, it.Run}] = monoNow() + Options.MaxOrderDelay;
    TrackedRun &tracked = TrackedRuns[{it.Task, it.Run}];
    tracked.Order = std::move(it);
    tracked.StartUncertain = true;
  }
}

std::set<RunId> ServerLink::lateStarts() const {
  const MonoTime now = monoNow();
  std::set<RunId> out;
  for (const auto &[run, until] : LateStarts)
    if (now < until)
      out.insert(run);
  return out;
}

std::vector<RunId> ServerLink::unsettledStarts() const {
  std::set<RunId> out = lateStarts();
  for (const auto &[run, it] : TrackedRuns)
    if (it.StartConfirmedAt && !it.Listed)
      out.insert(run);
  return {out.begin(), out.end()};
}

void ServerLink::start(const StartOrder &order) {
  const RunId run{order.Task, order.Run};
  TrackedRuns[run] = TrackedRun{};
  TrackedRuns[run].Order = order;
  sendStart(run);
  pollIfNeeded();
}

void ServerLink::stop(const StopOrder &order) {
  const RunId run{order.Task, order.Run};
  const auto [found, added] = TrackedRuns.try_emplace(run);
  TrackedRun &it = found->second;
  if (added) {
    it.Order = {order.Task, order.Run, Incarnation, "", "", 0, Millis(0), true};
    it.StartUncertain = true;
    LateStarts[run] = monoNow() + Options.MaxOrderDelay;
  }
  noteStartOutcome(run, it, "stop_ordered");
  if (!std::exchange(it.StopRequested, true))
    it.StopRequestedAt = monoNow();
  it.StopReason = order.Reason;
  if (it.startNeverSent()) {
    TrackedRuns.erase(found);
    Planner.recordMissingRun(run.first, run.second, Incarnation, monoNow());
    Notify.Changed();
    return;
  }
  sendStop(run);
  pollIfNeeded();
}

bool ServerLink::leaseEndIsDue() const {
  return !RenewalsBarred && !reachable() && !TrackedRuns.empty() &&
         latestLeaseEnd() <= Options.latestLeaseEnd(monoNow());
}

void ServerLink::allowRenewals() {
  if (!std::exchange(RenewalsBarred, false))
    return;
  PollTimer.cancel();
  pollIfNeeded();
}

void ServerLink::setRecordedUpTo(std::uint64_t number) {
  RecordedUpTo = std::max(RecordedUpTo, number);
  pollIfNeeded();
}

ServerClockMs ServerLink::earliestClock(MonoTime now) const {
  const Millis age = now - LastClock->ReceivedAt;
  return LastClock->Clock +
         static_cast<ServerClockMs>(static_cast<double>(age.count()) /
                                    Options.MaxClockSlowdown);
}

std::optional<ServerClockMs> ServerLink::leaseUntil(MonoTime now) const {
  if (!LastClock || now - LastClock->ReceivedAt > Options.MaxClockAge)
    return std::nullopt;
  return earliestClock(now) + Options.MaxLease.count();
}

void ServerLink::readClock(ServerClockMs clock) {
  // An answer that was late tells an earlier time than is known.
  const MonoTime now = monoNow();
  LastAnswerAt = now;
  if (!LastClock || clock > earliestClock(now) ||
      now - LastClock->ReceivedAt > Options.MaxClockAge / 2)
    LastClock = {clock, now};
}

void ServerLink::sendStart(const RunId &run) {
  const auto found = TrackedRuns.find(run);
  if (found == TrackedRuns.end() || IncarnationEnded || !Active)
    return;
  TrackedRun &it = found->second;
  if (it.StartInFlight || it.StartConfirmedAt || it.StopRequested ||
      !Planner.isCurrentRun(run.first, run.second, Incarnation))
    return;
  const MonoTime now = monoNow();
  const StartPermission permission = Notify.MayStart(Incarnation);
  if (permission == StartPermission::Leaving) {
    withdrawStart(run, it);
    return;
  }
  // Each start requests a lease. Retries to an unreachable server would
  // postpone OwnLeaseEnd forever, and its runs would never be released.
  if (FailedPolls >= Options.MaxFailedPolls || RenewalsBarred ||
      !Notify.MayAct() || permission == StartPermission::ListStale) {
    it.RetryTimer =
        Loop.at(now + Options.RetryDelay, [this, run] { sendStart(run); });
    return;
  }
  const auto until = leaseUntil(now);
  if (!until) {
    // applyLists() sends the start once the answer has told the clock.
    if (ListRequestsInFlight == 0)
      requestLists();
    pollIfNeeded();
    return;
  }
  it.StartInFlight = true;
  std::erase_if(LateStarts, [&](const auto &n) { return n.second <= now; });
  LateStarts[run] = now + Options.AnswerTimeout + Options.MaxOrderDelay;
  OwnLeaseEnd = std::max(OwnLeaseEnd, Options.latestLeaseEnd(now));
  Fleet.start(Address, it.Order, *until, Token, now + Options.AnswerTimeout,
              [this, run, alive = std::weak_ptr<int>(Alive)](auto result) {
                if (alive.lock())
                  onStart(run, std::move(result));
              });
}

void ServerLink::withdrawStart(const RunId &run, const TrackedRun &tracked) {
  if (tracked.startNeverSent()) {
    returnUnsentStart(run);
  } else {
    Log("order", "start_abandoned", "task={} run={} server={}", run.first.str(),
        run.second, Incarnation.Id.str());
    Planner.abandonStart(run.first, run.second, Incarnation);
  }
  Notify.Changed();
}

void ServerLink::onStart(const RunId &id,
                         FleetResult<OrderAcknowledged> result) {
  const auto &[task, run] = id;
  const auto found = TrackedRuns.find(id);
  const bool known = found != TrackedRuns.end();
  if (known)
    found->second.StartInFlight = false;
  if (known && !found->second.StartUncertain && !isOutcomeUnknown(result))
    LateStarts.erase(id);
  const MonoTime now = monoNow();
  if (const auto *done = std::get_if<OrderAcknowledged>(&result)) {
    readClock(done->Clock);
    if (known) {
      found->second.StartConfirmedAt = now;
      noteStartOutcome(id, found->second, "confirmed");
    }
    Planner.recordStart(task, run, Incarnation, now);
    Log("order", "started", "task={} run={} server={} token={}", task.str(),
        run, Incarnation.Id.str(), Token.value());
    pollIfNeeded();
    return;
  }
  const FleetError &error = std::get<FleetError>(result);
  Log("order", "start_failed", "task={} run={} server={} why=\"{}\"",
      task.str(), run, Incarnation.Id.str(), describe(error));
  if (std::holds_alternative<ServerFenced>(error)) {
    reportFenced();
  } else if (std::holds_alternative<IncarnationMismatch>(error)) {
    Notify.IncarnationChanged(Incarnation);
  } else if (const auto *refused = std::get_if<OrderRefused>(&error)) {
    if (known && found->second.StartUncertain) {
      // An earlier attempt may have been carried out. The stop makes the server
      // refuse the run from then on, and the lists show its outcome.
      Planner.abandonStart(task, run, Incarnation);
    } else {
      forgetRun(id, "refused");
      Planner.recordStartRefusal(task, run, Incarnation, refused->Cause, now);
    }
    Notify.Changed();
  } else if (known && std::holds_alternative<OrderNotSent>(error) &&
             !found->second.StartUncertain &&
             ++found->second.UnsentStarts > 1) {
    forgetRun(id, "not_sent");
    Planner.recordStartRefusal(task, run, Incarnation, StartRefusal::NoRoom,
                               now);
    Notify.Changed();
  } else if (known) {
    if (!std::holds_alternative<OrderNotSent>(error)) {
      found->second.StartUncertain = true;
      if (!found->second.UnansweredSince)
        found->second.UnansweredSince = now;
    }
    if (FailedPolls == 0 && found->second.UnansweredSince &&
        now - *found->second.UnansweredSince >= Options.StartGiveUpTime) {
      withdrawStart(id, found->second);
      return;
    }
    found->second.RetryTimer =
        Loop.at(now + Options.RetryDelay, [this, id] { sendStart(id); });
  }
}

void ServerLink::sendStop(const RunId &run) {
  const auto found = TrackedRuns.find(run);
  if (found == TrackedRuns.end() || IncarnationEnded || !Active)
    return;
  TrackedRun &it = found->second;
  if (it.StopInFlight || it.StopConfirmedAt)
    return;
  if (!Notify.MayAct()) {
    it.RetryTimer =
        Loop.at(monoNow() + Options.RetryDelay, [this, run] { sendStop(run); });
    return;
  }
  it.StopInFlight = true;
  Fleet.stop(Address, {run.first, run.second, Incarnation, it.StopReason},
             Token, monoNow() + Options.AnswerTimeout,
             [this, run, alive = std::weak_ptr<int>(Alive)](auto result) {
               if (alive.lock())
                 onStop(run, std::move(result));
             });
}

void ServerLink::onStop(const RunId &id,
                        FleetResult<OrderAcknowledged> result) {
  const auto &[task, run] = id;
  const auto found = TrackedRuns.find(id);
  if (found == TrackedRuns.end())
    return;
  TrackedRun &it = found->second;
  it.StopInFlight = false;
  const MonoTime now = monoNow();
  if (std::holds_alternative<OrderAcknowledged>(result)) {
    it.StopConfirmedAt = now;
    LastAnswerAt = now;
    Log("order", "stopping", "task={} run={} server={} why=\"{}\"", task.str(),
        run, Incarnation.Id.str(), it.StopReason);
    // The end of the run completes the long poll. A run that is not on the
    // server completes nothing, so the lists are requested.
    it.RetryTimer =
        Loop.at(now + Options.ListDelayAfterStop, [this] { requestLists(); });
    pollIfNeeded();
    return;
  }
  const FleetError &error = std::get<FleetError>(result);
  Log("order", "stop_failed", "task={} run={} server={} why=\"{}\"", task.str(),
      run, Incarnation.Id.str(), describe(error));
  if (std::holds_alternative<ServerFenced>(error)) {
    reportFenced();
    return;
  }
  if (std::holds_alternative<IncarnationMismatch>(error)) {
    Notify.IncarnationChanged(Incarnation);
    return;
  }
  it.RetryTimer =
      Loop.at(now + Options.RetryDelay, [this, id] { sendStop(id); });
}

void ServerLink::reportFenced() {
  if (Active)
    Notify.Fenced(Incarnation);
}

bool ServerLink::needsPoll() const {
  return !Synchronized || !TrackedRuns.empty() || LeftOutRuns > 0 ||
         ConfirmedUpTo < ReceivedUpTo || FailedPolls > 0;
}

void ServerLink::pollIfNeeded() {
  if (LongPollInFlight || IncarnationEnded || !Active || !needsPoll() ||
      PollTimer.pending())
    return;
  if (Notify.MayAct())
    poll();
  else
    schedulePoll(Options.RetryDelay);
}

void ServerLink::schedulePoll(Millis wait) {
  PollTimer = Loop.at(monoNow() + wait, [this] {
    PollTimer.cancel();
    pollIfNeeded();
  });
}

} // namespace citrongap
