// What the planner's rounds work on: waiting units and work that may be
// stopped.
#ifndef CITRONGAP_WORKLOAD_POD_PLANNER_UNIT_H
#define CITRONGAP_WORKLOAD_POD_PLANNER_UNIT_H

#include "citrongap/workload/pod_planner.h"

#include <tuple>

namespace citrongap {

/// The waiting tasks of one step: a whole gang, or tasks that start alone.
struct PodPlanner::Unit {
  WorkId Work;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::vector<std::uint32_t> Indices;
  bool Gang = false;
  std::uint32_t Rank = 0;
  bool Late = false;
  std::int64_t AcceptedAtMs = 0;
  MonoTime WaitingSince;
  MonoTime CollectedAt;
  Standing MayUse = Standing::Any;

  /// Within a rank, jobs that can still be in time go before those that can't:
  /// otherwise one backlog makes every later job late as well.
  auto order() const {
    return std::tuple(Rank, Late, AcceptedAtMs, Work, Occurrence, Step);
  }
};

/// Placed work that may be stopped for a unit of higher rank.
struct PodPlanner::Victims {
  VictimGroup Group;
  /// One of its tasks.
  TaskName Any;
};

/// Ranks: priority 0 within the guarantee, priority 0 beyond it, then the
/// other priorities.
inline constexpr std::uint32_t GuaranteedRank = 0;
inline constexpr std::uint32_t UrgentRank = 1;

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_POD_PLANNER_UNIT_H
