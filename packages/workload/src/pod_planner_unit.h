// Types of the planner's rounds: waiting units and their ranks.
#ifndef CITRONGAP_WORKLOAD_POD_PLANNER_UNIT_H
#define CITRONGAP_WORKLOAD_POD_PLANNER_UNIT_H

#include "citrongap/workload/pod_planner.h"

#include <tuple>

namespace citrongap {

/// The waiting tasks of one step: a whole gang, or tasks that start
/// independently.
struct PodPlanner::Unit {
  WorkId Work;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::vector<std::uint32_t> Indices;
  bool Gang = false;
  std::uint32_t Rank = 0;
  bool ExpectedLate = false;
  /// Time of acceptance of the job, or the due time of the occurrence if that
  /// is later.
  std::int64_t AcceptedAtMs = 0;
  /// Earliest time since which one of the tasks has been waiting.
  MonoTime WaitingSince;
  MonoTime CollectedAt;
  AccessLevel Access = AccessLevel::Any;
  /// Lowest speed that meets the objective; 0 for any.
  double NeededSpeed = 0;
  /// Speed that meets it even on a server that is rated too high.
  double SafeSpeed = 0;
  /// Empty of servers that are fast enough, the unit waits.
  bool WaitsForSpeed = false;
  /// Speeds of the servers to try, in this order.
  std::vector<SpeedRange> Speeds{SpeedRange{}};

  StepName step() const { return {Work, Occurrence, Step}; }

  /// Sort key. Within a rank, jobs that can still meet their objective precede
  /// those that cannot; otherwise one backlog would make all later jobs late.
  auto order() const {
    return std::tuple(Rank, ExpectedLate, AcceptedAtMs, Work, Occurrence, Step);
  }
};

/// Ranks, the most urgent first: priority 0 within the guarantee, priority 0
/// beyond it, then the other priorities in order.
inline constexpr std::uint32_t GuaranteedRank = 0;
inline constexpr std::uint32_t UrgentRank = 1;

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_POD_PLANNER_UNIT_H
