// Run times: how long tasks are expected to take, and which jobs can still be
// in time.
#include "pod_planner_unit.h"

#include <algorithm>

namespace citrongap {

Millis PodPlanner::usualRun(const PlannedWork &work,
                            const StepSpec &step) const {
  // Callers' estimates are off by several times; tasks of one queue are alike.
  constexpr double Median = 0.5;
  return Millis(
      RunTimes.estimateMs({}, work.Spec.Queue.str(), step.EstimateMs, Median));
}

bool PodPlanner::lateAnyway(const PlannedWork &work, const Unit &unit,
                            std::int64_t wallMs) const {
  // A guarantee is kept in order of acceptance, whatever else waits.
  if (!work.Spec.Objective.isSet() || work.Spec.LongRunning ||
      unit.Rank == GuaranteedRank)
    return false;
  std::vector<Millis> runs;
  runs.reserve(work.Spec.Steps.size());
  for (const StepSpec &it : work.Spec.Steps)
    runs.push_back(usualRun(work, it));
  const std::vector<Millis> chains = chainsToEnd(work.Spec.Steps, runs);
  const Millis whole = *std::max_element(chains.begin(), chains.end());
  const Millis passed(wallMs - unit.AcceptedAtMs);
  return passed + chains[unit.Step] > work.Spec.Objective.latencyBound(whole);
}

const Releases &PodPlanner::expectedReleases(MonoTime now) {
  if (!ExpectedReleases.empty() && now - ReleasesAt < Terms.ReleasesUsable)
    return ExpectedReleases;
  // Below this, progress says little of the whole.
  constexpr int MinPercent = 3;
  ReleasesAt = now;
  ExpectedReleases.clear();
  for (const auto &[life, tasks] : Placed) {
    auto &ends = ExpectedReleases[life.Id];
    for (const TaskName &name : tasks) {
      const TaskRecord &task = *taskOf(name);
      const StepSpec &spec = specOf(name);
      const Millis ran = now - task.PlacedAt;
      Millis left = Terms.StopWithin;
      if (!task.StopWanted && task.Percent >= MinPercent)
        left = ran * (100 - task.Percent) / task.Percent;
      else if (!task.StopWanted)
        left = std::max(usualRun(Works.at(name.Work), spec) - ran, ran / 2);
      ends.emplace_back(now + left, spec.taken());
    }
    std::sort(ends.begin(), ends.end(), [](const auto &lhs, const auto &rhs) {
      return lhs.first < rhs.first;
    });
  }
  return ExpectedReleases;
}

} // namespace citrongap
