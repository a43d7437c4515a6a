// In-memory backend servers for tests of the owner.
#include "fake_fleet.h"

#include <algorithm>

namespace citrongap {

namespace {

constexpr ServerClockMs FirstClock = 5000;

} // namespace

template <typename T>
void FakeFleet::answer(const Server &from, FleetCallback<T> done,
                       FleetResult<T> result, MonoTime deadline) {
  const bool lost = from.Silent || from.LoseAnswers;
  MonoTime when = lost ? deadline : monoNow();
  if constexpr (std::is_same_v<T, PollAnswer>)
    if (!lost)
      when += PollDelay;
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

ServerClockMs FakeFleet::clock(const Server &of) const {
  const MonoTime since = of.Restarted ? of.Restarted->At : StartedAt;
  return (of.Restarted ? 0 : FirstClock) +
         static_cast<ServerClockMs>(
             static_cast<double>((monoNow() - since).count()) * ClockRate);
}

void FakeFleet::restart(const std::string &id, std::int64_t startedAtMs) {
  Server &it = at(id);
  Server next;
  next.DelayStarts = it.DelayStarts;
  next.DelayedStarts = std::move(it.DelayedStarts);
  next.DelayPolls = it.DelayPolls;
  next.DelayedPolls = std::move(it.DelayedPolls);
  next.Started = std::move(it.Started);
  next.Restarted = {startedAtMs, monoNow()};
  it = std::move(next);
}

void FakeFleet::renewLease(Server &it, ServerClockMs until) {
  if (MaxLease)
    it.LeaseEnd =
        std::max(it.LeaseEnd, std::min(until, clock(it) + MaxLease->count()));
}

void FakeFleet::expireLeases() {
  if (!MaxLease)
    return;
  for (auto &[id, it] : Servers) {
    if (clock(it) < it.LeaseEnd)
      continue;
    const std::map<TaskName, std::uint32_t> lapsed = it.Running;
    for (const auto &[task, run] : lapsed)
      end(id.str(), task, RunOutcome::LeaseExpired);
  }
}

std::optional<FleetError> FakeFleet::applyStart(Server &it,
                                                const DelayedStart &start) {
  const StartOrder &order = start.Order;
  if (start.Token < it.Token)
    return ServerFenced{};
  it.Token = start.Token;
  renewLease(it, start.LeaseUntil);
  if (it.Running.contains(order.Task))
    return std::nullopt;
  if (it.EndedRuns.contains(order.Task) &&
      order.Run <= it.EndedRuns[order.Task])
    return OrderRefused{StartRefusal::StaleRun, "old"};
  if (MaxLease && start.LeaseUntil <= clock(it))
    return OrderRefused{StartRefusal::StaleRun, "late"};
  if (it.NoRoom)
    return OrderRefused{StartRefusal::NoRoom, "room"};
  it.Running[order.Task] = order.Run;
  it.Started.emplace_back(order.Task, order.Run);
  return std::nullopt;
}

void FakeFleet::deliverDelayedStarts(const std::string &id) {
  expireLeases();
  Server &it = at(id);
  for (const DelayedStart &start : std::exchange(it.DelayedStarts, {}))
    applyStart(it, start);
}

void FakeFleet::deliverDelayedPolls(const std::string &id) {
  expireLeases();
  Server &it = at(id);
  for (const auto &[request, token] : std::exchange(it.DelayedPolls, {}))
    applyPoll(it, request, token);
}

void FakeFleet::start(const Endpoint &, const StartOrder &order,
                      ServerClockMs leaseUntil, Epoch token, MonoTime deadline,
                      FleetCallback<OrderAcknowledged> done) {
  expireLeases();
  Server &it = Servers[order.Server.Id];
  ++CallsByToken[token];
  if (it.Unreachable) {
    answer<OrderAcknowledged>(it, done, FleetError(OrderNotSent{}), deadline);
    return;
  }
  const DelayedStart start{order, leaseUntil, token};
  if (it.DelayStarts) {
    it.DelayedStarts.push_back(start);
    PendingReplies.push_back(Loop.at(
        deadline, [done] { done(FleetError(OrderOutcomeUnknown{"held"})); }));
    return;
  }
  std::optional<FleetError> refused;
  if (!it.Silent)
    refused = applyStart(it, start);
  if (refused)
    answer<OrderAcknowledged>(it, done, std::move(*refused), deadline);
  else
    answer<OrderAcknowledged>(it, done, OrderAcknowledged{clock(it)}, deadline);
}

void FakeFleet::stop(const Endpoint &, const StopOrder &order, Epoch token,
                     MonoTime deadline, FleetCallback<OrderAcknowledged> done) {
  expireLeases();
  Server &it = Servers[order.Server.Id];
  ++CallsByToken[token];
  if (!it.Silent && token < it.Token) {
    answer<OrderAcknowledged>(it, done, FleetError(ServerFenced{}), deadline);
    return;
  }
  if (!it.Silent) {
    it.Token = token;
    std::uint32_t &latest = it.EndedRuns[order.Task];
    latest = std::max(latest, order.Run);
    const auto run = it.Running.find(order.Task);
    if (run != it.Running.end() && run->second == order.Run)
      end(order.Server.Id.str(), order.Task, RunOutcome::Stopped);
  }
  answer<OrderAcknowledged>(it, done, OrderAcknowledged{clock(it)}, deadline);
}

void FakeFleet::applyPoll(Server &it, const PollRequest &request, Epoch token) {
  if (token < it.Token)
    return;
  it.Token = token;
  std::erase_if(it.Ended, [&](const RunEndReport &n) {
    return n.Number <= request.AcknowledgedUpTo;
  });
  if (request.LeaseUntil)
    renewLease(it, *request.LeaseUntil);
}

void FakeFleet::poll(const Endpoint &, const ServerIncarnation &incarnation,
                     const PollRequest &request, Epoch token, MonoTime deadline,
                     FleetCallback<PollAnswer> done) {
  expireLeases();
  Server &it = Servers[incarnation.Id];
  ++CallsByToken[token];
  if (it.Unreachable) {
    answer<PollAnswer>(it, done, FleetError(OrderNotSent{}), deadline);
    return;
  }
  if (it.DelayPolls ||
      (it.DelayAcknowledgements && request.AcknowledgedUpTo > 0)) {
    it.DelayedPolls.emplace_back(request, token);
    PendingReplies.push_back(Loop.at(
        deadline, [done] { done(FleetError(OrderOutcomeUnknown{"held"})); }));
    return;
  }
  if (!it.Silent && token < it.Token) {
    answer<PollAnswer>(it, done, FleetError(ServerFenced{}), deadline);
    return;
  }
  PollAnswer out;
  out.Clock = clock(it);
  out.StartedAtMs = it.Restarted
                        ? it.Restarted->StartedAtMs
                        : ReportedStartMs.value_or(incarnation.StartedAtMs);
  if (!it.Silent) {
    applyPoll(it, request, token);
    for (const auto &[task, run] : it.Running)
      out.Running.push_back({task, run, "", it.Percent});
    out.Running.insert(out.Running.end(), it.AlsoListed.begin(),
                       it.AlsoListed.end());
    out.Ended = it.Ended;
    out.MoreEnds = out.Ended.size() >= MaxListedEnds;
    out.Ended.resize(std::min(out.Ended.size(), MaxListedEnds));
  }
  answer<PollAnswer>(it, done, std::move(out), deadline);
}

} // namespace citrongap
