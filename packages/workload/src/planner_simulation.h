// Simulated pod for load tests of the planner, in virtual time: it carries out
// the orders, and its servers may differ in speed.
#ifndef CITRONGAP_WORKLOAD_PLANNER_SIMULATION_H
#define CITRONGAP_WORKLOAD_PLANNER_SIMULATION_H

#include "citrongap/base/hash.h"
#include "planner_fixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citrongap {

struct LoadResult {
  Millis LongestUrgentWait{0};
  double UrgentInTime = 0;
  double LostCoreSeconds = 0;
  std::size_t Completed = 0;
};

/// Runs end after their run time, or 0.9 s after a stop.
class Simulation : public PlannerFixture {
public:
  Simulation(const PlannerOptions &options, int servers) {
    Planner = PodPlanner(options);
    addServers(servers);
    Planner.setGuarantees({{ClientAccountId("quetta"), 8 * servers}});
  }

  /// `work` is the run time of a task at speed 1.
  void add(const WorkSpec &spec, Millis work) {
    Work[spec.Id] = work;
    Submitted[spec.Id] = Now;
    submit(spec);
  }

  void run(Millis span) {
    for (const MonoTime end = Now + span; Now < end;
         Now += Tick, WallMs += Tick.count()) {
      finishDue();
      for (const auto &[task, run] : Runs)
        if (reportsNow(run.Order.Server.Id))
          Planner.recordProgress(task, run.Order.Run, run.Order.Server,
                                 percent(run), Now);
      const PlannedRound round = plan();
      for (const StartOrder &it : round.Starts)
        begin(it, paceOf(it, round));
      for (const StopOrder &it : round.Stops)
        if (const auto run = Runs.find(it.Task); run != Runs.end())
          stop(run->second);
      if (OnRound)
        OnRound(round);
    }
  }

  /// Time from the submission of a job to its first start.
  Millis startDelay(const WorkId &id) const {
    return StartedAt.at(id) - Submitted.at(id);
  }
  MonoTime submittedAt(const WorkId &id) const { return Submitted.at(id); }
  /// Time from the submission of a job to its completion; empty before.
  std::optional<Millis> latency(const WorkId &id) const {
    const auto it = CompletedAt.find(id);
    if (it == CompletedAt.end())
      return std::nullopt;
    return it->second - Submitted.at(id);
  }

  LoadResult Result;
  std::size_t UrgentCount = 0;
  /// Servers on which every run fails after FailTime.
  std::set<BackendServerId> FaultyServers;
  /// Speeds other than 1. A gang runs at that of its slowest member.
  std::map<BackendServerId, double> Speeds;
  /// The run times of the tasks of a step differ by up to this share.
  double Spread = 0;
  /// A server reports the progress of its runs once in this time.
  Millis ReportInterval = Tick;
  /// Called with the orders of each round.
  std::function<void(const PlannedRound &)> OnRound;

private:
  static constexpr Millis Tick{50};
  static constexpr Millis StopTime{900};
  static constexpr Millis FailTime{50};
  static constexpr double CoresPerGpu = 8;

  struct Run {
    StartOrder Order;
    MonoTime StartedAt;
    /// Time of its end if it is not stopped and does not fail.
    MonoTime CompleteAt;
    MonoTime EndsAt;
    bool Stopped = false;
    bool Fails = false;
  };

  /// The servers report one after the other.
  bool reportsNow(const BackendServerId &server) const {
    const auto ticks = static_cast<std::uint64_t>(ReportInterval / Tick);
    const auto now = static_cast<std::uint64_t>(Now.time_since_epoch() / Tick);
    return (now + stableHash(server.str())) % ticks == 0;
  }

  int percent(const Run &run) const {
    return static_cast<int>(100 * (Now - run.StartedAt) /
                            (run.CompleteAt - run.StartedAt));
  }

  double speedOf(const BackendServerId &server) const {
    const auto it = Speeds.find(server);
    return it == Speeds.end() ? 1 : it->second;
  }

  /// Speed of the run, in which the work of its task is included.
  double paceOf(const StartOrder &order, const PlannedRound &round) const {
    const StepSpec &step =
        Planner.find(order.Task.Work)->Spec.Steps[order.Task.Step];
    if (!step.Gang) {
      constexpr std::uint64_t Steps = 1001;
      const auto random =
          static_cast<double>(stableHash(order.Task.str()) % Steps);
      return speedOf(order.Server.Id) *
             (1 + Spread * (2 * random / (Steps - 1) - 1));
    }
    double slowest = speedOf(order.Server.Id);
    for (const StartOrder &it : round.Starts)
      if (it.Task.Work == order.Task.Work)
        slowest = std::min(slowest, speedOf(it.Server.Id));
    return slowest;
  }

  void begin(const StartOrder &order, double pace) {
    StartedAt.try_emplace(order.Task.Work, Now);
    const bool fails = FaultyServers.contains(order.Server.Id);
    const Millis work = Work.at(order.Task.Work);
    const Millis length(
        static_cast<std::int64_t>(static_cast<double>(work.count()) / pace));
    Runs[order.Task] = {order,        Now,
                        Now + length, Now + (fails ? FailTime : length),
                        false,        fails};
    Planner.recordStart(order.Task, order.Run, order.Server, Now);
    const WorkSpec &spec = Planner.find(order.Task.Work)->Spec;
    if (spec.Priority > 0 || order.Task.Index > 0)
      return;
    const Millis wait = Now - Submitted.at(order.Task.Work);
    Result.LongestUrgentWait = std::max(Result.LongestUrgentWait, wait);
    ++UrgentCount;
    // In time: done within 1.5 times its run time. The allowance for submitting
    // is not counted.
    if (wait <= work / 2)
      Result.UrgentInTime += 1;
  }

  void stop(Run &run) {
    run.Stopped = true;
    run.EndsAt = Now + StopTime;
  }

  void finishDue() {
    std::vector<Run> due;
    for (const auto &[task, run] : Runs)
      if (run.EndsAt <= Now)
        due.push_back(run);
    for (const Run &it : due) {
      Runs.erase(it.Order.Task);
      if (it.Stopped)
        Result.LostCoreSeconds += lost(it);
      else if (!it.Fails)
        ++Result.Completed;
      end(it.Order, it.Stopped ? RunOutcome::Stopped
                    : it.Fails ? RunOutcome::Failed
                               : RunOutcome::Done);
      const WorkId &id = it.Order.Task.Work;
      if (Planner.find(id)->Record.Phase == WorkPhase::Completed)
        CompletedAt.try_emplace(id, Now);
    }
  }

  double lost(const Run &run) const {
    const PlannedWork *work = Planner.find(run.Order.Task.Work);
    const Resources &it = work->Spec.Steps[0].Requested;
    return (static_cast<double>(it.CpuMillis) / 1000 +
            CoresPerGpu * static_cast<double>(it.GpuCount)) *
           static_cast<double>((Now - run.StartedAt).count()) / 1000;
  }

  std::map<TaskName, Run> Runs;
  std::map<WorkId, Millis> Work;
  std::map<WorkId, MonoTime> Submitted;
  std::map<WorkId, MonoTime> StartedAt;
  std::map<WorkId, MonoTime> CompletedAt;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_PLANNER_SIMULATION_H
