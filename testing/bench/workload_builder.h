// Helpers that the workloads are put together with.
#ifndef CITRONGAP_TESTING_BENCH_WORKLOAD_BUILDER_H
#define CITRONGAP_TESTING_BENCH_WORKLOAD_BUILDER_H

#include "citrongap/base/random.h"
#include "workload.h"

namespace citrongap::bench {

/// Jobs of one account and kind.
struct JobFamily {
  std::string Account;
  std::string Kind;
  ServiceClass Class = ServiceClass::Standard;
  /// Drawn evenly; repeat a size to make it more frequent.
  std::vector<std::uint32_t> Gangs{1};
  double MedianMinutes = 10;
  /// Standard deviation of the logarithm of the run time.
  double Spread = 0.4;
  /// The declared time is off by up to this factor, either way.
  double DeclaredError = 8;
  bool Repeatable = true;
  double CheckpointableShare = 0.7;
};

class WorkloadBuilder {
public:
  WorkloadBuilder(std::string name, DataCentreEntry site, std::uint64_t seed);

  WorkloadBuilder &account(const std::string &name, const PlanEntry &plan);
  /// `count` jobs that arrive evenly at random between the hours.
  WorkloadBuilder &jobs(const JobFamily &family, std::size_t count,
                        double fromHour, double untilHour);
  /// Jobs until they make up `load` of the pod's capacity over these hours.
  WorkloadBuilder &load(const JobFamily &family, double load, double fromHour,
                        double untilHour);
  /// Cancels a share of an account's jobs `afterMinutes` past each full hour.
  WorkloadBuilder &cancelWaves(const std::string &account, double share,
                               double afterMinutes);
  WorkloadBuilder &faultyJobs(double share);
  WorkloadBuilder &impossibleJobs(double share);
  WorkloadBuilder &faultyServers(std::uint32_t count, double fromHour,
                                 double untilHour);
  WorkloadBuilder &aggressor(const std::string &account);
  /// Sorts the jobs and sets their deadlines to the morning.
  Workload build(double morningHour, double horizonHour);

  Random &random() { return Seeded; }

private:
  BenchJob draw(const JobFamily &family, double fromHour, double untilHour);

  Workload Out;
  Random Seeded;
  std::size_t Next = 0;
};

MonoTime hour(double hours);

} // namespace citrongap::bench

#endif // CITRONGAP_TESTING_BENCH_WORKLOAD_BUILDER_H
