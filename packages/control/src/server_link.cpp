// Orders to one backend server, repeated until they are answered.
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
            return std::string("another life");
          },
          [](const ServerFenced &) { return std::string("fenced"); },
          [](const OrderRefused &it) { return "refused: " + it.Reason; }},
      error);
}

} // namespace

ServerLink::ServerLink(EventLoop &loop, FleetPort &fleet, PodPlanner &planner,
                       EventLog &log, ServerIncarnation life, Endpoint at,
                       Epoch token, LinkOptions terms,
                       MonoTime mayHoldLeaseUntil, Events events)
    : Loop(loop), Fleet(fleet), Planner(planner), Log(log),
      Incarnation(std::move(life)), At(std::move(at)), Token(token),
      Terms(terms), Tell(std::move(events)), LeaseEndsBy(mayHoldLeaseUntil) {
  for (StartOrder &it : Planner.runsPlacedOn(Incarnation)) {
    const TaskName task = it.Task;
    Deliveries[task].Order = std::move(it);
    Deliveries[task].Uncertain = true;
  }
}

void ServerLink::start(const StartOrder &order) {
  Deliveries[order.Task] = Delivery{};
  Deliveries[order.Task].Order = order;
  sendStart(order.Task);
  wake();
}

void ServerLink::stop(const StopOrder &order) {
  Delivery &it = Deliveries[order.Task];
  if (it.Order.Run != order.Run) {
    it = Delivery{};
    it.Order = {order.Task, order.Run, Incarnation, "", "", 0, Millis(0), true};
    it.Uncertain = true;
  }
  it.StopWanted = true;
  it.StopReason = order.Reason;
  if (it.neverSent()) {
    it.Retry.cancel();
    const TaskName task = order.Task;
    const std::uint32_t run = order.Run;
    Deliveries.erase(task);
    Planner.recordMissingRun(task, run, Incarnation, monoNow());
    Tell.Changed();
    return;
  }
  sendStop(order.Task);
  wake();
}

void ServerLink::recordedUpTo(std::uint64_t number) {
  RecordedUpTo = std::max(RecordedUpTo, number);
  wake();
}

ServerClockMs ServerLink::leaseUntil() const {
  // A server that has not answered yet has an unknown clock; it shortens what
  // is too long.
  constexpr ServerClockMs Longest = 1'000'000'000'000;
  if (!ClockOffset)
    return Longest;
  return toMillis(monoNow()) + *ClockOffset + Terms.MaxLease.count();
}

void ServerLink::noteClock(ServerClockMs clock) {
  ClockOffset = clock - toMillis(monoNow());
}

void ServerLink::sendStart(const TaskName &task) {
  const auto found = Deliveries.find(task);
  if (found == Deliveries.end() || Over || !Active)
    return;
  Delivery &it = found->second;
  if (it.InFlight || it.AnsweredAt || it.StopWanted ||
      !Planner.isCurrentRun(task, it.Order.Run, Incarnation))
    return;
  const MonoTime now = monoNow();
  // Each order asks for a lease: repeated to a server that is away, it would
  // keep all that runs there from ever being given up.
  if (Failures >= Terms.UnreachableAfter) {
    it.Retry =
        Loop.at(now + Terms.RetryDelay, [this, task] { sendStart(task); });
    return;
  }
  it.InFlight = true;
  LeaseEndsBy = std::max(LeaseEndsBy, Terms.lapseOf(now));
  Fleet.start(At, it.Order, leaseUntil(), Token, now + Terms.AnswerTimeout,
              [this, task, run = it.Order.Run,
               alive = std::weak_ptr<int>(Alive)](auto result) {
                if (alive.lock())
                  onStart(task, run, std::move(result));
              });
}

void ServerLink::onStart(const TaskName &task, std::uint32_t run,
                         FleetResult<OrderAcknowledged> result) {
  const auto found = Deliveries.find(task);
  const bool known =
      found != Deliveries.end() && found->second.Order.Run == run;
  if (known)
    found->second.InFlight = false;
  const MonoTime now = monoNow();
  if (const auto *done = std::get_if<OrderAcknowledged>(&result)) {
    noteClock(done->Clock);
    if (known)
      found->second.AnsweredAt = now;
    Planner.recordStart(task, run, Incarnation, now);
    Log("order", "started", "task={} run={} server={} token={}", task.str(),
        run, Incarnation.Id.str(), Token.value());
    wake();
    return;
  }
  const FleetError &error = std::get<FleetError>(result);
  Log("order", "start_failed", "task={} run={} server={} why=\"{}\"",
      task.str(), run, Incarnation.Id.str(), describe(error));
  if (std::holds_alternative<ServerFenced>(error)) {
    Tell.Fenced(Incarnation);
  } else if (std::holds_alternative<IncarnationMismatch>(error)) {
    Tell.Reborn(Incarnation);
  } else if (const auto *refused = std::get_if<OrderRefused>(&error)) {
    if (known && found->second.Uncertain) {
      // A stop bars the run; the lists then tell what became of it.
      Planner.abandonStart(task, run, Incarnation);
    } else {
      if (known)
        Deliveries.erase(found);
      Planner.recordStartRefusal(task, run, Incarnation, refused->Cause, now);
    }
    Tell.Changed();
  } else if (known && std::holds_alternative<OrderNotSent>(error) &&
             !found->second.Uncertain && ++found->second.Unreached > 1) {
    Deliveries.erase(found);
    Planner.recordStartRefusal(task, run, Incarnation, StartRefusal::NoRoom,
                               now);
    Tell.Changed();
  } else if (known) {
    if (!std::holds_alternative<OrderNotSent>(error))
      found->second.Uncertain = true;
    found->second.Retry =
        Loop.at(now + Terms.RetryDelay, [this, task] { sendStart(task); });
  }
}

void ServerLink::sendStop(const TaskName &task) {
  const auto found = Deliveries.find(task);
  if (found == Deliveries.end() || Over || !Active)
    return;
  Delivery &it = found->second;
  if (it.StopInFlight || it.StopAnsweredAt)
    return;
  it.StopInFlight = true;
  Fleet.stop(At, {task, it.Order.Run, Incarnation, it.StopReason}, Token,
             monoNow() + Terms.AnswerTimeout,
             [this, task, run = it.Order.Run,
              alive = std::weak_ptr<int>(Alive)](auto result) {
               if (alive.lock())
                 onStop(task, run, std::move(result));
             });
}

void ServerLink::onStop(const TaskName &task, std::uint32_t run,
                        FleetResult<OrderAcknowledged> result) {
  const auto found = Deliveries.find(task);
  if (found == Deliveries.end() || found->second.Order.Run != run)
    return;
  Delivery &it = found->second;
  it.StopInFlight = false;
  const MonoTime now = monoNow();
  if (std::holds_alternative<OrderAcknowledged>(result)) {
    it.StopAnsweredAt = now;
    Log("order", "stopping", "task={} run={} server={} why=\"{}\"", task.str(),
        run, Incarnation.Id.str(), it.StopReason);
    // The long poll ends with the run; a run that is not there ends nothing.
    it.Retry = Loop.at(now + Terms.LookAfterStop, [this] { look(); });
    wake();
    return;
  }
  const FleetError &error = std::get<FleetError>(result);
  Log("order", "stop_failed", "task={} run={} server={} why=\"{}\"", task.str(),
      run, Incarnation.Id.str(), describe(error));
  if (std::holds_alternative<ServerFenced>(error)) {
    Tell.Fenced(Incarnation);
    return;
  }
  if (std::holds_alternative<IncarnationMismatch>(error)) {
    Tell.Reborn(Incarnation);
    return;
  }
  it.Retry = Loop.at(now + Terms.RetryDelay, [this, task] { sendStop(task); });
}

bool ServerLink::needsPoll() const {
  return !Synchronized || !Deliveries.empty() || ToldUpTo < SeenUpTo ||
         Failures > 0;
}

void ServerLink::wake() {
  if (!Polling && !Over && Active && needsPoll() && !Again.pending())
    poll();
}

void ServerLink::later(Millis wait) {
  Again = Loop.at(monoNow() + wait, [this] {
    Again.cancel();
    wake();
  });
}

} // namespace citrongap
