// What a workload of the policy bench consists of.
#ifndef CITRONGAP_TESTING_BENCH_WORKLOAD_H
#define CITRONGAP_TESTING_BENCH_WORKLOAD_H

#include "citrongap/policy/configuration.h"
#include "citrongap/policy/job.h"
#include "citrongap/policy/pod_scheduler.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citrongap::bench {

/// A job with what the scheduler can't know of it.
struct BenchJob {
  JobRequest Request;
  MonoTime Arrival;
  std::int64_t RunMs = 0;
  std::optional<MonoTime> CancelAt;
  /// Fails on every server.
  bool AlwaysFails = false;
  /// Larger than the pod or the plan: never runs.
  bool Impossible = false;
  /// Keeps its progress when it is revoked.
  bool Checkpointable = true;

  /// It could be done: neither cancelled, faulty nor impossible.
  bool runnable() const { return !CancelAt && !AlwaysFails && !Impossible; }
};

/// A server that fails all that it starts for a while.
struct ServerFault {
  BackendServerId Server;
  MonoTime From;
  MonoTime Until;
};

struct Workload {
  std::string Name;
  Configuration Lists;
  DataCentreEntry Site;
  /// By arrival.
  std::vector<BenchJob> Jobs;
  std::vector<ServerFault> Faults;
  /// Accounts whose effect on the others is measured: the workload is run with
  /// and without their jobs.
  std::set<ClientAccountId> Aggressors;
  /// When work must be done.
  MonoTime Morning;
  /// When the simulation stops.
  MonoTime Horizon;
};

std::vector<ServerDescription> serversOf(const DataCentreEntry &site);

/// All workloads, generated from one seed.
std::vector<Workload> allWorkloads(std::uint64_t seed);

/// Arrivals at virtual time zero; the wall clock runs beside it.
inline WallTime wallAt(MonoTime at) {
  return wallFromMillis(toMillis(at) + 1000000);
}

} // namespace citrongap::bench

#endif // CITRONGAP_TESTING_BENCH_WORKLOAD_H
