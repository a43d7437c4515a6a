// Test fixture of the planner: a small pod of servers with eight accelerators,
// two to a rack, and helpers that submit jobs and end runs.
#ifndef CITRONGAP_WORKLOAD_PLANNER_FIXTURE_H
#define CITRONGAP_WORKLOAD_PLANNER_FIXTURE_H

#include "citrongap/workload/pod_planner.h"

#include <fmt/format.h>
#include <string>

namespace citrongap {

struct PlannerFixture {
  PodPlanner Planner{PlannerOptions{}};
  MonoTime Now{Millis(1000000)};
  std::int64_t WallMs = 1700000000000;

  static ServerIncarnation incarnation(int n, std::int64_t startedAtMs = 1) {
    return {BackendServerId(fmt::format("i-{}", n)), startedAtMs};
  }

  void addServers(int count, std::int64_t startedAtMs = 1) {
    for (int n = 0; n < count; ++n) {
      ServerEntry entry;
      entry.Incarnation = incarnation(n, startedAtMs);
      entry.Service = "render";
      entry.Rack = RackId(fmt::format("r{}", n / 2));
      entry.Labels = {"a", entry.Rack.str()};
      entry.Capacity = {128000, 512000, 8};
      Planner.putServer(entry, Now);
    }
  }

  static WorkSpec job(const std::string &id, std::uint32_t tasks,
                      std::int64_t gpus, bool gang,
                      std::uint32_t priority = 1) {
    WorkSpec spec;
    spec.Id = WorkId(id);
    spec.Queue = QueueId("q");
    spec.Account = ClientAccountId("quetta");
    spec.Service = "render";
    spec.Priority = priority;
    spec.MaxAttempts = 2;
    StepSpec &step = spec.Steps.emplace_back();
    step.Count = tasks;
    step.Requested = {10000, 20000, gpus};
    step.EstimateMs = 2000;
    step.Gang = gang;
    return spec;
  }

  void submit(const WorkSpec &spec) { Planner.addWork(spec, {}, Now); }

  PlannedRound plan() { return Planner.plan(Now, WallMs); }

  PlannedRound planAfter(Millis wait) {
    Now += wait;
    WallMs += wait.count();
    return plan();
  }

  void confirm(const PlannedRound &round) {
    for (const StartOrder &it : round.Starts)
      Planner.recordStart(it.Task, it.Run, it.Server, Now);
  }

  void end(const StartOrder &run, RunOutcome outcome,
           const std::string &checkpoint = "") {
    Planner.recordRunEnd(run.Task, run.Run, run.Server, outcome, checkpoint,
                         Now, WallMs);
  }

  WorkPhase phase(const std::string &id) const {
    return Planner.find(WorkId(id))->Record.Phase;
  }
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_PLANNER_FIXTURE_H
