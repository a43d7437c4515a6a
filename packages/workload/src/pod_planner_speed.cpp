// Placement by the speed of the servers, where they differ so much that the
// slowest cannot meet an objective.
#include "pod_planner_unit.h"

#include <algorithm>

namespace citrongap {

namespace {

/// Factor on the speed that meets an objective by a start at once, below which
/// slow machines call for the use of speeds: a start takes some time.
constexpr double UseMargin = 1.1;
/// Servers rated at just the needed speed are often slower ones that are rated
/// a class or more too high.
constexpr double SafetyFactor = 1.25;

} // namespace

void PodPlanner::updateSpeedUse(MonoTime now) {
  if (now - SpeedsUpdatedAt >= Options.SpeedUpdateInterval) {
    SpeedsUpdatedAt = now;
    Speeds.update();
  }
  SpeedsInUse = false;
  UrgentSpeed = 0;
  if (!Speeds.uneven())
    return;
  const double slow = Speeds.slowSpeed();
  const double fastest = Speeds.speeds().back();
  for (const auto &[id, work] : Works) {
    const LatencyObjective &objective = work.Spec.Objective;
    if (ended(work.Record.Phase) || !objective.isSet() || work.Spec.LongRunning)
      continue;
    if (slow < UseMargin / objective.Stretch)
      SpeedsInUse = true;
    const double needed = Options.SpeedMargin / objective.Stretch;
    if (work.Spec.Priority == 0)
      UrgentSpeed = std::max(UrgentSpeed, std::min(needed, fastest));
  }
}

std::optional<ObjectiveOutlook>
PodPlanner::outlookOf(const PlannedWork &work, const Unit &unit,
                      std::int64_t wallMs) const {
  if (!work.Spec.Objective.isSet() || work.Spec.LongRunning)
    return std::nullopt;
  std::vector<Millis> runs;
  runs.reserve(work.Spec.Steps.size());
  for (const StepSpec &it : work.Spec.Steps)
    runs.push_back(expectedRunTime(work, it));
  const std::vector<Millis> paths =
      remainingCriticalPaths(work.Spec.Steps, runs);
  const Millis criticalPath = *std::max_element(paths.begin(), paths.end());
  const Millis passed(wallMs - unit.AcceptedAtMs);
  return ObjectiveOutlook{paths[unit.Step],
                          work.Spec.Objective.latencyBound(criticalPath) -
                              passed};
}

void PodPlanner::judgeObjective(const PlannedWork &work, Unit &unit,
                                std::int64_t wallMs) const {
  const bool guaranteed = unit.Rank == GuaranteedRank;
  if (guaranteed && !SpeedsInUse)
    return;
  const auto outlook = outlookOf(work, unit, wallMs);
  if (!outlook)
    return;
  const double fastest = SpeedsInUse ? Speeds.speeds().back() : 1;
  // Guaranteed work stays in order of acceptance.
  unit.ExpectedLate = !guaranteed && outlook->missedAt(fastest);
  if (!SpeedsInUse)
    return;
  const double needed = neededSpeed(*outlook, Options.SpeedMargin, fastest);
  unit.NeededSpeed = lowestSufficient(Speeds.speeds(), needed);
  unit.SafeSpeed = needed * SafetyFactor;
}

void PodPlanner::chooseSpeeds(Unit &unit,
                              const std::vector<PackingServer> &view,
                              MonoTime now) {
  const PlannedWork &work = Works.at(unit.Work);
  if (!SpeedsInUse || !work.Spec.Objective.isSet() || work.Spec.LongRunning)
    return;
  // Work that the slowest servers are fast enough for waits for none.
  if (unit.NeededSpeed > Speeds.speeds().front() &&
      now - unit.WaitingSince < Options.MaxSpeedWait) {
    // A gang may need more servers than are fast enough.
    PackingRequest request = requestOf(unit, view, true);
    request.Speeds.Min = unit.NeededSpeed;
    unit.WaitsForSpeed = wouldFitEmpty(view, request);
  }
  unit.Speeds = speedsToTry(Speeds.speeds(), unit.NeededSpeed, unit.SafeSpeed,
                            unit.WaitsForSpeed);
}

void PodPlanner::noteSpeedWait(const Unit &unit, MonoTime now) {
  if (!unit.WaitsForSpeed)
    return;
  SpeedWaits.try_emplace(unit.step(), SpeedWait{now, now}).first->second.Until =
      now;
}

std::optional<Millis> PodPlanner::speedWaitOf(const Unit &unit,
                                              MonoTime now) const {
  const auto it = SpeedWaits.find(unit.step());
  if (it == SpeedWaits.end())
    return std::nullopt;
  const MonoTime until = unit.WaitsForSpeed ? now : it->second.Until;
  return until - it->second.Since;
}

std::optional<std::vector<std::size_t>>
PodPlanner::tryPackBySpeed(const Unit &unit, std::vector<PackingServer> &view,
                           const PackingRequest &request) {
  PackingRequest within = request;
  for (const SpeedRange &it : unit.Speeds) {
    within.Speeds = it;
    if (auto found = tryPack(view, within))
      return found;
  }
  return std::nullopt;
}

} // namespace citrongap
