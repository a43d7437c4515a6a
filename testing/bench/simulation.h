// Runs one workload under one scheduler on a virtual clock.
#ifndef CITRONGAP_TESTING_BENCH_SIMULATION_H
#define CITRONGAP_TESTING_BENCH_SIMULATION_H

#include "baselines.h"
#include "workload.h"

#include <queue>
#include <set>
#include <unordered_map>
#include <variant>

namespace citrongap::bench {

/// Anything with the interface of PodScheduler.
using AnyScheduler = std::variant<PodScheduler, BaselineScheduler>;

enum class JobEnd : std::uint8_t { Open, Done, Failed, NotRun, Cancelled };

/// What happened to one job.
struct JobRecord {
  JobEnd End = JobEnd::Open;
  std::optional<MonoTime> FirstStart;
  MonoTime EndedAt;
  std::uint32_t Revocations = 0;
  /// Accelerator-milliseconds that were run and had to be run again.
  double LostMs = 0;
  /// It arrived within its account's guaranteed shapes.
  bool Entitled = false;
  /// Milliseconds that it waited: while less than its gang was free; while as
  /// much was free but not adjacent; while it would have fitted.
  std::int64_t WaitFullMs = 0;
  std::int64_t WaitScatteredMs = 0;
  std::int64_t WaitHeldMs = 0;
};

/// Means over the samples at which jobs waited and accelerators were free.
struct Fragmentation {
  /// Of the free accelerators, those that no queued gang could use. A scheduler
  /// that starts whatever fits has 1 here by construction.
  double UnusableShare = 0;
  /// The same accelerators as a share of the pod.
  double UnusableOfPod = 0;
  double LargestShare = 0;
  std::uint32_t Samples = 0;
};

struct SimulationResult {
  /// In the workload's order.
  std::vector<JobRecord> Jobs;
  Fragmentation Fragments;
  /// Placements that were not whole, free and adjacent; "not run" said of a job
  /// that had run; second starts of unrepeatable jobs; starts of ended jobs.
  std::uint32_t Violations = 0;
  std::string FirstViolation;
};

SimulationResult simulate(const Workload &workload, AnyScheduler scheduler);

} // namespace citrongap::bench

#endif // CITRONGAP_TESTING_BENCH_SIMULATION_H
