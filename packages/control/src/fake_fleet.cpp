// In-memory backend servers for tests of the owner.
#include "fake_fleet.h"

#include <algorithm>

namespace citrongap {

namespace {

constexpr ServerClockMs Clock = 5000;
/// Polls are answered after this delay instead of their requested wait.
constexpr Millis ShortPollDelay{10};

} // namespace

template <typename T>
void FakeFleet::answer(const Server &from, FleetCallback<T> done,
                       FleetResult<T> result, MonoTime deadline) {
  const bool lost = from.Silent || from.LoseAnswers;
  MonoTime when = lost ? deadline : monoNow();
  if constexpr (std::is_same_v<T, PollAnswer>)
    if (!lost)
      when += ShortPollDelay;
  FleetResult<T> delivered =
      lost ? FleetResult<T>(FleetError(OrderOutcomeUnknown{"lost"})) : result;
  PendingReplies.push_back(
      Loop.at(when, [done, delivered] { done(delivered); }));
}

void FakeFleet::end(const std::string &id, const TaskName &task,
                    RunOutcome outcome) {
  Server &it = at(id);
  const auto run = it.Running.find(task);
  if (run == it.Running.end())
    return;
  it.EndedRuns[task] = run->second;
  it.Ended.push_back({it.NextEnd++, task, run->second, outcome, ""});
  it.Running.erase(run);
}

std::size_t FakeFleet::started() const {
  std::size_t n = 0;
  for (const auto &[id, it] : Servers)
    n += it.Started.size();
  return n;
}

std::size_t FakeFleet::running() const {
  std::size_t n = 0;
  for (const auto &[id, it] : Servers)
    n += it.Running.size();
  return n;
}

std::pair<std::string, TaskName> FakeFleet::anyRun() const {
  for (const auto &[id, it] : Servers)
    if (!it.Running.empty())
      return {id.str(), it.Running.begin()->first};
  return {};
}

std::optional<FleetError>
FakeFleet::applyStart(Server &it, const StartOrder &order, Epoch token) {
  if (token < it.Token)
    return ServerFenced{};
  it.Token = token;
  if (it.Running.contains(order.Task))
    return std::nullopt;
  if (it.EndedRuns.contains(order.Task) &&
      order.Run <= it.EndedRuns[order.Task])
    return OrderRefused{StartRefusal::StaleRun, "old"};
  if (it.NoRoom)
    return OrderRefused{StartRefusal::NoRoom, "room"};
  it.Running[order.Task] = order.Run;
  it.Started.emplace_back(order.Task, order.Run);
  return std::nullopt;
}

void FakeFleet::deliverDelayedStarts(const std::string &id) {
  Server &it = at(id);
  for (const auto &[order, token] : std::exchange(it.DelayedStarts, {}))
    applyStart(it, order, token);
}

void FakeFleet::start(const Endpoint &, const StartOrder &order, ServerClockMs,
                      Epoch token, MonoTime deadline,
                      FleetCallback<OrderAcknowledged> done) {
  Server &it = Servers[order.Server.Id];
  ++CallsByToken[token];
  if (it.Unreachable) {
    answer<OrderAcknowledged>(it, done, FleetError(OrderNotSent{}), deadline);
    return;
  }
  if (it.DelayStarts) {
    it.DelayedStarts.emplace_back(order, token);
    PendingReplies.push_back(Loop.at(
        deadline, [done] { done(FleetError(OrderOutcomeUnknown{"held"})); }));
    return;
  }
  std::optional<FleetError> refused;
  if (!it.Silent)
    refused = applyStart(it, order, token);
  if (refused)
    answer<OrderAcknowledged>(it, done, std::move(*refused), deadline);
  else
    answer<OrderAcknowledged>(it, done, OrderAcknowledged{Clock}, deadline);
}

void FakeFleet::stop(const Endpoint &, const StopOrder &order, Epoch token,
                     MonoTime deadline, FleetCallback<OrderAcknowledged> done) {
  Server &it = Servers[order.Server.Id];
  ++CallsByToken[token];
  if (!it.Silent && token < it.Token) {
    answer<OrderAcknowledged>(it, done, FleetError(ServerFenced{}), deadline);
    return;
  }
  if (!it.Silent) {
    it.Token = token;
    it.EndedRuns[order.Task] = order.Run;
    end(order.Server.Id.str(), order.Task, RunOutcome::Stopped);
  }
  answer<OrderAcknowledged>(it, done, OrderAcknowledged{Clock}, deadline);
}

void FakeFleet::poll(const Endpoint &, const ServerIncarnation &incarnation,
                     const PollRequest &request, Epoch token, MonoTime deadline,
                     FleetCallback<PollAnswer> done) {
  Server &it = Servers[incarnation.Id];
  ++CallsByToken[token];
  if (it.Unreachable) {
    answer<PollAnswer>(it, done, FleetError(OrderNotSent{}), deadline);
    return;
  }
  if (!it.Silent && token < it.Token) {
    answer<PollAnswer>(it, done, FleetError(ServerFenced{}), deadline);
    return;
  }
  PollAnswer out;
  out.Clock = Clock;
  out.StartedAtMs = ReportedStartMs.value_or(incarnation.StartedAtMs);
  if (!it.Silent) {
    it.Token = token;
    std::erase_if(it.Ended, [&](const RunEndReport &n) {
      return n.Number <= request.AcknowledgedUpTo;
    });
    for (const auto &[task, run] : it.Running)
      out.Running.push_back({task, run, "", 1});
    out.Ended = it.Ended;
  }
  answer<PollAnswer>(it, done, std::move(out), deadline);
}

} // namespace citrongap
