// The figures of one run, and the bound that no scheduler can beat.
#ifndef CITRONGAP_TESTING_BENCH_MEASURES_H
#define CITRONGAP_TESTING_BENCH_MEASURES_H

#include "simulation.h"

namespace citrongap::bench {

/// Times are in minutes. Completion counts from arrival, over the jobs that
/// could be done; one that was not done counts until the horizon.
struct Measures {
  double MeanCompletion = 0;
  double P95Completion = 0;
  double DoneByMorning = 0;
  double DoneShare = 0;
  double UnusableShare = 0;
  double UnusableOfPod = 0;
  double LargestShare = 0;
  /// Mean slowdown of the account that has it worst, over the best.
  double SlowdownRatio = 0;
  /// Jain's index over the accounts' mean slowdowns.
  double Jain = 0;
  /// Waits of the jobs within their account's guarantee, in seconds.
  double ReclaimP99 = 0;
  double ReclaimMax = 0;
  /// Longest wait for a first start, by gang size.
  double LongestWait = 0;
  double LongestWaitLargeGang = 0;
  std::uint32_t Revocations = 0;
  /// Accelerator-hours run and thrown away.
  double LostHours = 0;
  /// Jobs that could be done and were ended as failed.
  std::uint32_t WronglyFailed = 0;
  std::uint32_t NotRun = 0;
  std::uint32_t Violations = 0;
};

Measures measure(const Workload &workload, const SimulationResult &result);

/// Gangs from this size on count as large.
inline constexpr Accelerators LargeGang{32};

/// What the accounts that are no aggressors got.
struct OthersMeasures {
  /// Accelerator-hours of their jobs that were done by the last arrival of an
  /// aggressor's job.
  double DoneHours = 0;
  /// Seconds to the first start of jobs that arrived in that time; a job that
  /// never started counts until the horizon.
  double P99Start = 0;
  double MeanStart = 0;
  /// Minutes, of the same jobs.
  double MeanCompletion = 0;
};

/// `from` and `until` bound the time in which the aggressors send.
OthersMeasures measureOthers(const Workload &workload,
                             const SimulationResult &result, MonoTime from,
                             MonoTime until);

/// Mean completion, in minutes, that no scheduler can beat: perfect packing, no
/// waiting for decisions, known run times. The mean busy date relaxation: the
/// pod is one server of its whole speed that does the least work first,
/// preemptively; half of each job's own run time follows its mean busy date.
double boundMeanCompletion(const Workload &workload);

/// The workload without the jobs of its aggressors.
Workload withoutAggressors(const Workload &workload);

/// Value at `q` of [0, 1]; 0 when there are none.
double quantileOf(std::vector<double> values, double q);

} // namespace citrongap::bench

#endif // CITRONGAP_TESTING_BENCH_MEASURES_H
