// Expected run times of tasks, and expected ends of runs.
#include "pod_planner_unit.h"

#include <algorithm>

namespace citrongap {

Millis PodPlanner::expectedRunTime(const PlannedWork &work,
                                   const StepSpec &step) const {
  // Callers' estimates are wrong by several times, while tasks of one queue are
  // similar.
  constexpr double Median = 0.5;
  return Millis(
      RunTimes.estimateMs({}, work.Spec.Queue.str(), step.EstimateMs, Median));
}

const Releases &PodPlanner::expectedReleases(MonoTime now) {
  if (!ExpectedReleases.empty() &&
      now - ReleasesComputedAt < Options.ReleasesMaxAge)
    return ExpectedReleases;
  // Extrapolation from less progress is too inaccurate.
  constexpr int MinPercent = 3;
  ReleasesComputedAt = now;
  ExpectedReleases.clear();
  for (const auto &[incarnation, tasks] : Placed) {
    auto &ends = ExpectedReleases[incarnation.Id];
    for (const TaskName &name : tasks) {
      const TaskRecord &task = *findTask(name);
      const PlannedWork &work = Works.at(name.Work);
      const StepSpec &spec = specOf(name);
      // Lasting work ends when it is stopped only, whatever its progress.
      if (work.Spec.LongRunning && !task.StopRequested)
        continue;
      const Millis ran = now - task.PlacedAt;
      Millis left = Options.MaxStopTime;
      if (!task.StopRequested && task.Percent >= MinPercent)
        left = ran * (100 - task.Percent) / task.Percent;
      else if (!task.StopRequested)
        left = std::max(expectedRunTime(work, spec) - ran, ran / 2);
      ends.emplace_back(now + left, spec.allocation());
    }
    std::sort(ends.begin(), ends.end(), [](const auto &lhs, const auto &rhs) {
      return lhs.first < rhs.first;
    });
  }
  return ExpectedReleases;
}

void PodPlanner::expectRelease(const TaskName &name, MonoTime now) {
  const PlannedWork &work = Works.at(name.Work);
  if (ExpectedReleases.empty() || work.Spec.LongRunning)
    return;
  const StepSpec &spec = specOf(name);
  auto &ends = ExpectedReleases[findTask(name)->Server.Id];
  const MonoTime end = now + expectedRunTime(work, spec);
  ends.emplace(std::upper_bound(ends.begin(), ends.end(), end,
                                [](MonoTime lhs, const auto &rhs) {
                                  return lhs < rhs.first;
                                }),
               end, spec.allocation());
}

} // namespace citrongap
