// Draws the jobs and faults, carries out the orders, and judges the rule.
#include "idle_job_mix.h"

#include <algorithm>

namespace citrongap {

namespace {

constexpr Millis Tick{50};
constexpr Seconds TrafficEnd{60};
constexpr Seconds JudgedFrom{85};
constexpr Seconds PlayEnd{205};
/// The platform's bound.
constexpr Seconds LongestIdle{3};
constexpr Millis LongestStop{900};
/// A faulty server fails each run after this time.
constexpr Millis FailTime{300};
constexpr int LabelledShare = 4;

} // namespace

IdleJobMix::IdleJobMix(std::uint64_t seed, MixShape shape)
    : Random(seed), Shape(shape) {
  const std::int64_t perRack = draw(2, 6);
  const std::int64_t servers = draw(8, 24);
  for (std::int64_t n = 0; n < servers; ++n) {
    ServerEntry entry;
    entry.Incarnation = incarnation(static_cast<int>(n));
    entry.Service = "render";
    entry.Rack = RackId(fmt::format("r{}", n / perRack));
    entry.Labels = {"a", entry.Rack.str()};
    if (n % LabelledShare == 0)
      entry.Labels.emplace_back("rare");
    entry.Capacity = {128000, 512000, 8};
    Servers.push_back({entry, MonoTime(), std::nullopt, entry.Capacity});
    Planner.putServer(entry, Now);
  }
  Planner.setGuarantees({{ClientAccountId("quetta"), servers * 2}});
}

std::int64_t IdleJobMix::draw(std::int64_t from, std::int64_t to) {
  return std::uniform_int_distribution<std::int64_t>(from, to)(Random);
}

bool IdleJobMix::chance(double share) {
  return std::bernoulli_distribution(share)(Random);
}

StepSpec IdleJobMix::drawStep(const WorkSpec &spec) {
  StepSpec step;
  step.Gang = !spec.LongRunning && chance(0.4);
  step.Count = static_cast<std::uint32_t>(
      step.Gang ? draw(2, 6) : std::max<std::int64_t>(1, draw(-3, 12)));
  const std::int64_t gpus = step.Gang || chance(0.3) ? 1 << draw(0, 3) : 1;
  step.Requested = {gpus * 6000, gpus * 16000, gpus};
  // Up to five times too low or too high.
  const auto length = Lengths.at(spec.Id).count();
  step.EstimateMs = chance(0.3)   ? length
                    : chance(0.5) ? length / draw(1, 5)
                                  : length * draw(1, 5);
  step.OneRack = step.Gang && chance(0.3);
  step.Checkpoints = chance(0.5);
  if (chance(0.3))
    step.RequiredLabel = "rare";
  else if (chance(Shape.DataRacks))
    step.DataRack =
        Servers[static_cast<std::size_t>(
                    draw(0, static_cast<std::int64_t>(Servers.size()) - 1))]
            .Entry.Rack;
  if (!step.Gang && chance(0.1))
    step.MaxPerServer = 2;
  return step;
}

WorkSpec IdleJobMix::drawJob() {
  WorkSpec spec = job(fmt::format("j{:04}", Lengths.size()), 1, 1, false,
                      static_cast<std::uint32_t>(draw(0, 2)));
  spec.Steps.clear();
  spec.MaxAttempts = 3;
  spec.AcceptedAtMs = WallMs;
  spec.LongRunning = chance(0.02);
  if (chance(0.5))
    spec.Objective = {2, 1000};
  Lengths[spec.Id] = Millis(draw(500, 12000));
  const std::int64_t steps = spec.LongRunning || chance(0.7) ? 1 : draw(2, 3);
  for (std::int64_t n = 0; n < steps; ++n) {
    StepSpec step = drawStep(spec);
    if (n > 0)
      step.DependsOn = {static_cast<std::uint32_t>(n - 1)};
    spec.Steps.push_back(std::move(step));
  }
  return spec;
}

void IdleJobMix::drawFault() {
  Server &it = Servers[static_cast<std::size_t>(
      draw(0, static_cast<std::int64_t>(Servers.size()) - 1))];
  if (it.ReturnsAt)
    return;
  const Millis span(draw(1000, 8000));
  switch (draw(0, 2)) {
  case 0:
    it.FaultyUntil = Now + span;
    return;
  case 1:
    it.Entry.Draining = true;
    it.Entry.DrainRemainingMs = span.count();
    Planner.putServer(it.Entry, Now);
    break;
  default:
    std::erase_if(Runs, [&](const auto &run) {
      return run.second.Order.Server == it.Entry.Incarnation;
    });
    Planner.removeIncarnation(it.Entry.Incarnation, Now);
  }
  it.ReturnsAt = Now + span;
}

void IdleJobMix::returnServers() {
  for (Server &it : Servers) {
    if (!it.ReturnsAt || Now < *it.ReturnsAt)
      continue;
    it.ReturnsAt.reset();
    std::erase_if(Runs, [&](const auto &run) {
      return run.second.Order.Server == it.Entry.Incarnation;
    });
    ++it.Entry.Incarnation.StartedAtMs;
    it.Entry.Draining = false;
    it.Entry.DrainRemainingMs = 0;
    Planner.putServer(it.Entry, Now);
  }
}

void IdleJobMix::endRuns() {
  std::vector<Run> due;
  for (const auto &[task, run] : Runs)
    if (run.EndsAt <= Now)
      due.push_back(run);
  for (const Run &it : due) {
    Runs.erase(it.Order.Task);
    end(it.Order, it.Outcome);
  }
}

void IdleJobMix::reportProgress() {
  for (const auto &[task, run] : Runs) {
    const Millis ran = Now - run.StartedAt;
    const bool lasts = Planner.find(task.Work)->Spec.LongRunning;
    const auto percent =
        lasts ? 100
              : std::min<std::int64_t>(99, ran * 100 / Lengths.at(task.Work));
    Planner.recordProgress(task, run.Order.Run, run.Order.Server,
                           static_cast<int>(percent), Now);
  }
}

void IdleJobMix::carryOut(const PlannedRound &round) {
  for (const StartOrder &it : round.Starts) {
    const auto server =
        std::find_if(Servers.begin(), Servers.end(), [&](const Server &other) {
          return other.Entry.Incarnation == it.Server;
        });
    Run run{it, Now, Now + Lengths.at(it.Task.Work), RunOutcome::Done};
    if (Planner.find(it.Task.Work)->Spec.LongRunning)
      run.EndsAt = MonoTime::max();
    if (Now < server->FaultyUntil) {
      run.EndsAt = Now + FailTime;
      run.Outcome = RunOutcome::Failed;
    }
    Runs.insert_or_assign(it.Task, run);
    Planner.recordStart(it.Task, it.Run, it.Server, Now);
  }
  for (const StopOrder &it : round.Stops)
    if (const auto run = Runs.find(it.Task); run != Runs.end()) {
      run->second.EndsAt = Now + LongestStop;
      run->second.Outcome = RunOutcome::Stopped;
    }
}

std::optional<TaskName> IdleJobMix::idleStep(const WorkId &id) const {
  const PlannedWork *work = Planner.find(id);
  if (!work || ended(work->Record.Phase) || work->Record.anyPlaced() ||
      work->Record.Occurrences.empty())
    return std::nullopt;
  const auto &steps = work->Record.Occurrences[0].Steps;
  for (std::uint32_t s = 0; s < steps.size(); ++s) {
    const auto &needed = work->Spec.Steps[s].DependsOn;
    if (!steps[s].done() &&
        std::all_of(needed.begin(), needed.end(),
                    [&](std::uint32_t it) { return steps[it].done(); }))
      return TaskName{id, 0, s, 0};
  }
  return std::nullopt;
}

void IdleJobMix::updateFree() {
  std::map<ServerIncarnation, Resources> used;
  for (const auto &[task, run] : Runs)
    used[run.Order.Server] +=
        Planner.find(task.Work)->Spec.Steps[task.Step].allocation();
  for (Server &it : Servers) {
    it.Free = it.Entry.Capacity;
    it.Free -= used[it.Entry.Incarnation];
  }
}

bool IdleJobMix::underHalfInUse() const {
  Resources free;
  Resources all;
  for (const Server &it : Servers) {
    free += it.Free;
    all += it.Entry.Capacity;
  }
  return free.GpuCount * 2 > all.GpuCount && free.CpuMillis * 2 > all.CpuMillis;
}

bool IdleJobMix::hasRoomTwice(const TaskName &step) const {
  const StepSpec &spec = Planner.find(step.Work)->Spec.Steps[step.Step];
  const std::uint32_t wanted = 2 * (spec.Gang ? spec.Count : 1);
  std::uint32_t found = 0;
  for (const Server &it : Servers) {
    const auto &labels = it.Entry.Labels;
    if (!spec.RequiredLabel.empty() &&
        std::find(labels.begin(), labels.end(), spec.RequiredLabel) ==
            labels.end())
      continue;
    Resources free = it.Free;
    for (std::uint32_t here = 0;
         spec.allocation().fitsIn(free) &&
         (!spec.MaxPerServer || here < spec.MaxPerServer);
         ++here, ++found)
      free -= spec.allocation();
  }
  return found >= wanted;
}

void IdleJobMix::judge(std::vector<std::string> &broken) {
  updateFree();
  const bool quiet = underHalfInUse();
  for (const auto &[id, length] : Lengths) {
    const auto step = quiet ? idleStep(id) : std::nullopt;
    if (!step || !hasRoomTwice(*step)) {
      IdleSince.erase(id);
      continue;
    }
    const MonoTime since = IdleSince.try_emplace(id, Now).first->second;
    if (Now - since < LongestIdle || !Broken.insert(id).second)
      continue;
    const WorkSpec &spec = Planner.find(id)->Spec;
    const StepSpec &it = spec.Steps[step->Step];
    std::string reasons;
    for (const IdleStep &waiting : Planner.idleSteps())
      for (std::size_t n = 0; n < PassedOverReasons; ++n)
        if (waiting.Task.Work == id && waiting.Servers[n] > 0)
          reasons += fmt::format(", {} {}", waiting.Servers[n],
                                 describe(static_cast<PassedOver>(n)));
    broken.push_back(fmt::format(
        "{} at {} ms: priority {}, {} {} of {} accelerators, label '{}', rack "
        "'{}', {} a server; servers with room{}",
        id.str(), (Now - MonoTime(Millis(1000000))).count(), spec.Priority,
        it.Count, it.Gang ? "in a gang" : "tasks", it.Requested.GpuCount,
        it.RequiredLabel, it.DataRack.str(), it.MaxPerServer, reasons));
  }
}

std::vector<std::string> IdleJobMix::play() {
  std::vector<std::string> broken;
  const MonoTime start = Now;
  const std::int64_t jobsPerMinute =
      static_cast<std::int64_t>(Servers.size()) * draw(2, 8);
  const double jobsPerTick = static_cast<double>(jobsPerMinute * Tick.count()) /
                             static_cast<double>(Millis(TrafficEnd).count());
  const double faultsPerTick = static_cast<double>(Tick.count()) /
                               static_cast<double>(draw(1500, 20000));
  for (; Now - start < PlayEnd; Now += Tick, WallMs += Tick.count()) {
    if (Now - start < TrafficEnd) {
      if (chance(jobsPerTick))
        submit(drawJob());
      if (chance(faultsPerTick))
        drawFault();
    }
    returnServers();
    endRuns();
    reportProgress();
    carryOut(plan());
    if (Now - start >= JudgedFrom)
      judge(broken);
  }
  return broken;
}

} // namespace citrongap
