// An event queue, a slot map and the fakes of the backend servers.
#include "simulation.h"

#include "citrongap/policy/retry_budget.h"
#include "entitlement.h"

#include <algorithm>
#include <fmt/format.h>

namespace citrongap::bench {

namespace {

constexpr Millis TickEvery{30 * 1000};
constexpr Millis SampleEvery{60 * 1000};
/// How long a checkpoint, or a stop, takes.
constexpr Millis CheckpointTakes{5 * 1000};
constexpr std::int64_t FailureAfterMs = 2000;

enum class EventKind : std::uint8_t {
  Arrival,
  Cancel,
  RunEnds,
  Revoked,
  Retry,
  Tick,
  Sample
};

struct Event {
  MonoTime At;
  std::uint64_t Order = 0;
  EventKind Kind = EventKind::Tick;
  std::size_t Job = 0;
  /// The run that it is about; later runs ignore it.
  std::uint32_t Run = 0;

  bool operator<(const Event &other) const {
    return std::pair(At, Order) > std::pair(other.At, other.Order);
  }
};

struct LiveRun {
  Placement Where;
  MonoTime Since;
  std::vector<BackendServerId> FailingServers;
  bool Revoking = false;
};

class Simulation {
public:
  Simulation(const Workload &workload, AnyScheduler scheduler);
  SimulationResult run();

private:
  template <typename F> decltype(auto) ask(F &&f) {
    return std::visit(std::forward<F>(f), Scheduler);
  }
  const BenchJob &job(std::size_t n) const { return Work.Jobs[n]; }
  JobRecord &record(std::size_t n) { return Out.Jobs[n]; }

  void schedule(MonoTime at, EventKind kind, std::size_t n = 0,
                std::uint32_t run = 0);
  void handle(const Event &event);
  void arrive(std::size_t n);
  void cancel(std::size_t n);
  void runEnds(std::size_t n);
  void runFailed(std::size_t n);
  void retry(std::size_t n);
  void revoked(std::size_t n);
  void sample();
  void decide();
  void apply(const StartJob &it);
  void apply(const RevokeJob &it);
  void apply(const RefuseJob &it);
  void close(std::size_t n, JobEnd end);
  void stopRun(std::size_t n);
  void violation(std::size_t n, const std::string &what);
  std::vector<BackendServerId> failingOf(const Placement &where) const;
  RunReport reportOf(std::size_t n, bool succeeded) const;

  const Workload &Work;
  AnyScheduler Scheduler;
  SimulationResult Out;
  SlotMap Slots;
  Entitlements Entitled;
  MonoTime Now;
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
  std::unordered_map<JobId, std::size_t> Index;
  std::unordered_map<std::size_t, LiveRun> Running;
  std::set<std::size_t> Waiting;
  std::vector<std::int64_t> RemainingMs;
  std::vector<std::uint32_t> Runs;
  std::vector<std::uint32_t> Failures;
  RetryBudget Retries;
  Random Jitter{1};
};

Simulation::Simulation(const Workload &workload, AnyScheduler scheduler)
    : Work(workload), Scheduler(std::move(scheduler)),
      Entitled(workload.Lists) {
  Out.Jobs.resize(Work.Jobs.size());
  Runs.resize(Work.Jobs.size());
  Failures.resize(Work.Jobs.size());
  ask([&](auto &it) { it.configure(Work.Lists, Now); });
  for (const auto &server : serversOf(Work.Site)) {
    Slots.addServer(server);
    ask([&](auto &it) { it.setServer(server, Now); });
  }
  for (std::size_t n = 0; n < Work.Jobs.size(); ++n) {
    RemainingMs.push_back(job(n).RunMs);
    Index[job(n).Request.Id] = n;
    schedule(job(n).Arrival, EventKind::Arrival, n);
    if (job(n).CancelAt)
      schedule(*job(n).CancelAt, EventKind::Cancel, n);
  }
  schedule(Now, EventKind::Tick);
  schedule(Now, EventKind::Sample);
}

void Simulation::schedule(MonoTime at, EventKind kind, std::size_t n,
                          std::uint32_t run) {
  Events.push({at, NextOrder++, kind, n, run});
}

SimulationResult Simulation::run() {
  while (!Events.empty() && Events.top().At <= Work.Horizon) {
    Now = Events.top().At;
    bool onlySamples = true;
    while (!Events.empty() && Events.top().At == Now) {
      const Event event = Events.top();
      Events.pop();
      onlySamples = onlySamples && event.Kind == EventKind::Sample;
      handle(event);
    }
    if (!onlySamples && !Waiting.empty())
      decide();
  }
  if (Out.Fragments.Samples > 0) {
    Out.Fragments.UnusableShare /= Out.Fragments.Samples;
    Out.Fragments.UnusableOfPod /= Out.Fragments.Samples;
    Out.Fragments.LargestShare /= Out.Fragments.Samples;
  }
  return std::move(Out);
}

void Simulation::handle(const Event &event) {
  const std::size_t n = event.Job;
  const bool stale = event.Run != 0 && event.Run != Runs[n];
  switch (event.Kind) {
  case EventKind::Arrival:
    arrive(n);
    return;
  case EventKind::Cancel:
    cancel(n);
    return;
  case EventKind::RunEnds:
    if (!stale && Running.contains(n))
      runEnds(n);
    return;
  case EventKind::Revoked:
    if (!stale && Running.contains(n))
      revoked(n);
    return;
  case EventKind::Retry:
    retry(n);
    return;
  case EventKind::Tick:
    schedule(Now + TickEvery, EventKind::Tick);
    return;
  case EventKind::Sample:
    sample();
    schedule(Now + SampleEvery, EventKind::Sample);
    return;
  }
}

void Simulation::close(std::size_t n, JobEnd end) {
  record(n).End = end;
  record(n).EndedAt = Now;
  Waiting.erase(n);
  Entitled.leave(job(n).Request);
}

void Simulation::arrive(std::size_t n) {
  record(n).Entitled = Entitled.enter(job(n).Request);
  const auto answer = ask(
      [&](auto &it) { return it.submit(job(n).Request, wallAt(Now), Now); });
  if (std::holds_alternative<NotRun>(answer))
    close(n, JobEnd::NotRun);
  else
    Waiting.insert(n);
}

void Simulation::cancel(std::size_t n) {
  if (record(n).End != JobEnd::Open)
    return;
  const JobId &id = job(n).Request.Id;
  if (Running.contains(n)) {
    const RunReport report = reportOf(n, true);
    stopRun(n);
    ask([&](auto &it) { it.jobEnded(id, report, Now); });
  } else if (Waiting.contains(n) &&
             !ask([&](auto &it) { return it.cancelQueued(id); })) {
    violation(n, "a waiting job could not be cancelled");
  }
  close(n, JobEnd::Cancelled);
}

RunReport Simulation::reportOf(std::size_t n, bool succeeded) const {
  const LiveRun &run = Running.at(n);
  RunReport report{succeeded, (Now - run.Since).count(), {}};
  if (!succeeded)
    report.FailedOn = run.FailingServers.empty()
                          ? std::vector{run.Where.Parts.front().Server}
                          : run.FailingServers;
  return report;
}

void Simulation::stopRun(std::size_t n) {
  Slots.give(Running.at(n).Where);
  Running.erase(n);
}

void Simulation::runEnds(std::size_t n) {
  const bool failed =
      job(n).AlwaysFails || !Running.at(n).FailingServers.empty();
  const RunReport report = reportOf(n, !failed);
  const JobId &id = job(n).Request.Id;
  stopRun(n);
  ask([&](auto &it) { it.jobEnded(id, report, Now); });
  if (failed)
    runFailed(n);
  else
    close(n, JobEnd::Done);
}

/// What the daemon does when the scheduler doesn't queue the job by itself.
void Simulation::runFailed(std::size_t n) {
  const JobRequest &request = job(n).Request;
  if (ask([&](auto &it) { return it.isQueued(request.Id); })) {
    Waiting.insert(n);
    return;
  }
  const RetryVerdict verdict =
      Retries.decide(request, ++Failures[n], wallAt(Now), Now, Jitter);
  if (const auto *at = std::get_if<RetryAt>(&verdict))
    schedule(at->NotBefore, EventKind::Retry, n);
  else
    close(n, JobEnd::Failed);
}

void Simulation::retry(std::size_t n) {
  if (record(n).End != JobEnd::Open)
    return;
  const auto answer = ask(
      [&](auto &it) { return it.submit(job(n).Request, wallAt(Now), Now); });
  if (std::holds_alternative<NotRun>(answer))
    close(n, JobEnd::Failed);
  else
    Waiting.insert(n);
}

void Simulation::revoked(std::size_t n) {
  const std::int64_t ran = (Now - Running.at(n).Since).count();
  const std::uint32_t gang = job(n).Request.Gang.Count;
  if (job(n).Checkpointable)
    RemainingMs[n] = std::max<std::int64_t>(1, RemainingMs[n] - ran);
  else
    record(n).LostMs += static_cast<double>(ran) * gang;
  ++record(n).Revocations;
  stopRun(n);
  ask([&](auto &it) { it.jobRevoked(job(n).Request.Id, Now); });
  Waiting.insert(n);
}

void Simulation::sample() {
  if (Waiting.empty())
    return;
  std::set<std::uint32_t> gangs;
  const Accelerators largest = Slots.largest();
  for (const auto n : Waiting) {
    const Accelerators gang = job(n).Request.Gang;
    gangs.insert(gang.Count);
    const auto passed = SampleEvery.count();
    if (gang > Slots.free())
      record(n).WaitFullMs += passed;
    else if (gang > largest)
      record(n).WaitScatteredMs += passed;
    else
      record(n).WaitHeldMs += passed;
  }
  if (Slots.free().Count == 0)
    return;
  const double free = Slots.free().Count;
  ++Out.Fragments.Samples;
  const double unusable = Slots.unusable(gangs).Count;
  Out.Fragments.UnusableShare += unusable / free;
  Out.Fragments.UnusableOfPod += unusable / Slots.total().Count;
  Out.Fragments.LargestShare += largest.Count / free;
}

void Simulation::decide() {
  const auto decisions =
      ask([&](auto &it) { return it.decide(wallAt(Now), Now); });
  for (const auto &decision : decisions)
    std::visit([&](const auto &it) { apply(it); }, decision);
}

std::vector<BackendServerId>
Simulation::failingOf(const Placement &where) const {
  std::vector<BackendServerId> out;
  for (const auto &part : where.Parts)
    for (const auto &fault : Work.Faults)
      if (fault.Server == part.Server && fault.From <= Now && Now < fault.Until)
        out.push_back(part.Server);
  return out;
}

void Simulation::apply(const StartJob &it) {
  const std::size_t n = Index.at(it.Job.Id);
  if (record(n).End != JobEnd::Open || Running.contains(n))
    return violation(n, "started though it runs or has ended");
  if (record(n).FirstStart && !job(n).Request.Repeatable)
    violation(n, "unrepeatable, started twice");
  if (!Slots.take(it.Where, job(n).Request.Gang)) {
    violation(n, "placed on slots that are not whole, free and adjacent");
    ask([&](auto &to) { to.jobEnded(it.Job.Id, {false, 0, {}}, Now); });
    return close(n, JobEnd::Failed);
  }
  Waiting.erase(n);
  if (!record(n).FirstStart) {
    record(n).FirstStart = Now;
    Retries.recordStart(it.Job.Id.Account, Now);
  }
  LiveRun run{it.Where, Now, failingOf(it.Where), false};
  const bool fails = job(n).AlwaysFails || !run.FailingServers.empty();
  const std::int64_t runMs =
      fails ? std::min(FailureAfterMs, RemainingMs[n]) : RemainingMs[n];
  Running[n] = std::move(run);
  schedule(Now + Millis(runMs), EventKind::RunEnds, n, ++Runs[n]);
}

void Simulation::apply(const RevokeJob &it) {
  const std::size_t n = Index.at(it.Job);
  const auto run = Running.find(n);
  if (run == Running.end())
    return violation(n, "revoked though it does not run");
  if (!job(n).Request.Repeatable)
    violation(n, "unrepeatable, revoked");
  if (run->second.Revoking)
    return;
  run->second.Revoking = true;
  schedule(Now + CheckpointTakes, EventKind::Revoked, n, Runs[n]);
}

void Simulation::apply(const RefuseJob &it) {
  const std::size_t n = Index.at(it.Job);
  if (record(n).FirstStart && !it.MayHaveRun)
    violation(n, "\"not run\" though it ran");
  close(n, it.MayHaveRun ? JobEnd::Failed : JobEnd::NotRun);
}

void Simulation::violation(std::size_t n, const std::string &what) {
  if (Out.Violations++ == 0)
    Out.FirstViolation = fmt::format("{} at {} ms: {}", job(n).Request.Id.str(),
                                     toMillis(Now), what);
}

} // namespace

SimulationResult simulate(const Workload &workload, AnyScheduler scheduler) {
  return Simulation(workload, std::move(scheduler)).run();
}

} // namespace citrongap::bench
