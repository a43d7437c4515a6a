// Time of a round of the planner of a pod, with servers nearly full and jobs
// waiting, without I/O.
#include "measure.h"

#include "citrongap/workload/pod_planner.h"

#include <algorithm>

namespace citrongap {

namespace {

constexpr std::size_t ServersPerRack = 20;
constexpr int Rounds = 20;

/// One step of tasks, as the callers of the large deployment submit them.
WorkSpec sampleWork(std::size_t n, std::uint32_t count, std::int64_t cpuMillis,
                    std::int64_t gpus, std::uint32_t priority, bool gang) {
  WorkSpec spec;
  spec.Id = WorkId(fmt::format("{:016x}", n));
  spec.Queue = QueueId("q");
  spec.Account = ClientAccountId(fmt::format("account-{}", n % 24));
  spec.Service = "batcher";
  spec.Priority = priority;
  spec.MaxAttempts = 3;
  spec.AcceptedAtMs = 1'700'000'000'000 + static_cast<std::int64_t>(n);
  StepSpec &step = spec.Steps.emplace_back();
  step.Count = count;
  step.Requested = {cpuMillis, 30000, gpus};
  step.EstimateMs = 6000;
  step.Gang = gang;
  step.OneRack = gang;
  return spec;
}

/// A pod with `servers` servers, filled by running jobs, and with a backlog in
/// proportion.
struct LoadedPod {
  explicit LoadedPod(std::size_t servers) {
    for (std::size_t n = 0; n < servers; ++n) {
      ServerEntry entry;
      entry.Incarnation = {BackendServerId(fmt::format("i-{:010x}", n)), 1};
      entry.Service = "batcher";
      entry.Rack = RackId(fmt::format("r{}", n / ServersPerRack));
      entry.Labels = {"a", entry.Rack.str()};
      entry.Capacity = {128000, 262144, 8};
      Planner.putServer(entry, Now);
    }
    for (std::size_t n = 0; n < servers / 4; ++n)
      Planner.addWork(sampleWork(Jobs++, 38, 11000, 1, 2, false), {}, Now);
    advance();
    for (std::size_t n = 0; n < servers / 20; ++n)
      Planner.addWork(sampleWork(Jobs++, 13, 52000, 4, 1, true), {}, Now);
  }

  void advance() {
    Now += Millis(10);
    WallMs += 10;
    const PlannedRound round = Planner.plan(Now, WallMs);
    for (const StartOrder &it : round.Starts) {
      Planner.recordStart(it.Task, it.Run, it.Server, Now);
      Running.push_back(it);
    }
    Planner.takeChangedWork();
  }

  /// Ends some runs and submits an urgent job, as between two rounds.
  void change() {
    for (int n = 0; n < 3 && !Running.empty(); ++n) {
      const StartOrder run = Running.back();
      Running.pop_back();
      Planner.recordRunEnd(run.Task, run.Run, run.Server, RunOutcome::Done, "",
                           Now, WallMs);
    }
    Planner.addWork(sampleWork(Jobs++, 5, 15000, 2, 0, true), {}, Now);
  }

  PodPlanner Planner{PlannerOptions{}};
  MonoTime Now = monoFromMillis(1'000'000);
  std::int64_t WallMs = 1'700'000'000'000;
  std::size_t Jobs = 0;
  std::vector<StartOrder> Running;
};

} // namespace

void measurePlanner() {
  std::vector<Point> points;
  for (const std::size_t servers : {300U, 1000U, 3000U}) {
    LoadedPod pod(servers);
    double micros = 0;
    for (int n = 0; n < Rounds; ++n) {
      pod.change();
      const double before = cpuMicros();
      pod.advance();
      micros += cpuMicros() - before;
    }
    points.push_back({static_cast<double>(servers), micros / Rounds});
  }
  printRow("time of a round of the planner, servers full and jobs waiting",
           points, "us per server");
}

} // namespace citrongap
