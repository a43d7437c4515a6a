// Tables, targets and traces of the policy bench.
#ifndef CITRONGAP_TESTING_BENCH_REPORT_H
#define CITRONGAP_TESTING_BENCH_REPORT_H

#include "measures.h"

namespace citrongap::bench {

/// One scheduler on one workload.
struct SchedulerRun {
  std::string Scheduler;
  SimulationResult Result;
  Measures Figures;
  /// With the aggressors and without; unset when the workload has none.
  std::optional<OthersMeasures> Beside;
  std::optional<OthersMeasures> Alone;
  /// Real time that the whole simulation took.
  double Seconds = 0;
};

/// A bound of the project, and what was measured.
struct Target {
  std::string Text;
  double Figure = 0;
  bool Met = false;
};

using Targets = std::vector<Target>;

/// Ours first, then the baselines.
std::vector<SchedulerRun> runAll(const Workload &workload);

void printTable(const Workload &workload,
                const std::vector<SchedulerRun> &runs);
void checkTargets(const Workload &workload,
                  const std::vector<SchedulerRun> &runs, Targets &targets);
void printTargets(const Targets &targets);
/// What the jobs waited for, by account, and the longest waits.
void printTrace(const Workload &workload, const SchedulerRun &run);

} // namespace citrongap::bench

#endif // CITRONGAP_TESTING_BENCH_REPORT_H
