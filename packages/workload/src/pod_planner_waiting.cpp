// Which steps wait for a start in a round, and in which order: due occurrences
// are added, and ranks, demand and objectives decide.
#include "citrongap/workload/state_room.h"
#include "pod_planner_unit.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace citrongap {

std::uint32_t PodPlanner::rankOf(const PlannedWork &work) const {
  if (work.Spec.Priority > 0)
    return UrgentRank + work.Spec.Priority;
  const auto guaranteed = Guarantees.find(work.Spec.Account);
  const auto demand = UrgentDemand.find(work.Spec.Account);
  const bool within = guaranteed != Guarantees.end() &&
                      demand != UrgentDemand.end() &&
                      demand->second <= guaranteed->second;
  return within ? GuaranteedRank : UrgentRank;
}

void PodPlanner::updateUrgentDemand(std::int64_t wallMs) {
  UrgentDemand.clear();
  for (const auto &[id, work] : Works) {
    if (work.Spec.Priority > 0 || ended(work.Record.Phase))
      continue;
    const auto &occurrences = work.Record.Occurrences;
    std::int64_t gpus = 0;
    for (std::size_t k = work.FirstOpen; k < occurrences.size(); ++k)
      for (std::size_t s = 0; s < occurrences[k].Steps.size(); ++s)
        if (!occurrences[k].Steps[s].done())
          gpus +=
              work.Spec.Steps[s].Requested.GpuCount * work.Spec.Steps[s].Count;
    const std::size_t due = work.Spec.dueBy(wallMs);
    std::int64_t gpusOfEach = 0;
    for (const StepSpec &it : work.Spec.Steps)
      gpusOfEach += it.Requested.GpuCount * it.Count;
    if (due > occurrences.size())
      gpus += gpusOfEach * static_cast<std::int64_t>(due - occurrences.size());
    UrgentDemand[work.Spec.Account] += gpus;
  }
}

void PodPlanner::passDoneOccurrences(PlannedWork &work) {
  auto &occurrences = work.Record.Occurrences;
  // Only the steps of the others are needed to tell whether the job is done.
  for (; work.FirstOpen < occurrences.size() &&
         occurrences[work.FirstOpen].done();
       ++work.FirstOpen)
    if (work.Spec.Repetitions > 0)
      std::vector<StepRecord>().swap(occurrences[work.FirstOpen].Steps);
}

void PodPlanner::addDueOccurrences(PlannedWork &work, std::int64_t wallMs,
                                   MonoTime now) {
  auto &occurrences = work.Record.Occurrences;
  const std::size_t due = work.Spec.dueBy(wallMs);
  if (occurrences.size() >= due)
    return;
  auto unbegun = std::count_if(
      occurrences.begin() + static_cast<std::ptrdiff_t>(work.FirstOpen),
      occurrences.end(), [](const Occurrence &it) { return !it.begun(); });
  for (; occurrences.size() < due && unbegun < Options.MaxUnbegunOccurrences &&
         makeStateRoom(work.Spec, work.Record);
       ++unbegun) {
    Occurrence &added = occurrences.emplace_back();
    for (const StepSpec &it : work.Spec.Steps) {
      StepRecord &step = added.Steps.emplace_back();
      step.Tasks.resize(it.Count);
      for (TaskRecord &task : step.Tasks)
        task.WaitingSince = now;
    }
  }
}

std::size_t PodPlanner::dueNotAdded(std::int64_t wallMs) const {
  std::size_t count = 0;
  for (const auto &[id, work] : Works) {
    const std::size_t due = work.Spec.dueBy(wallMs);
    const std::size_t added = work.Record.Occurrences.size();
    if (!ended(work.Record.Phase) && due > added)
      count += due - added;
  }
  return count;
}

std::vector<PodPlanner::Unit> PodPlanner::collectWaiting(MonoTime now,
                                                         std::int64_t wallMs) {
  for (auto &[id, work] : Works)
    if (!ended(work.Record.Phase)) {
      work.InRound = {};
      passDoneOccurrences(work);
      addDueOccurrences(work, wallMs, now);
    }
  updateUrgentDemand(wallMs);
  updateSpeedUse(now);
  std::vector<Unit> units;
  for (auto &[id, work] : Works) {
    if (ended(work.Record.Phase))
      continue;
    const auto &occurrences = work.Record.Occurrences;
    // An earlier build may have stored more that have not begun.
    std::uint32_t unbegun = 0;
    for (std::size_t k = work.FirstOpen; k < occurrences.size(); ++k) {
      if (work.Spec.Repetitions > 0 && !occurrences[k].begun() &&
          ++unbegun > Options.MaxUnbegunOccurrences)
        continue;
      for (std::uint32_t s = 0; s < occurrences[k].Steps.size(); ++s)
        collectStep(id, work, static_cast<std::uint32_t>(k), s, now, wallMs,
                    units);
    }
  }
  std::sort(units.begin(), units.end(), [](const Unit &lhs, const Unit &rhs) {
    return lhs.order() < rhs.order();
  });
  return units;
}

void PodPlanner::collectStep(const WorkId &id, PlannedWork &work,
                             std::uint32_t k, std::uint32_t step, MonoTime now,
                             std::int64_t wallMs, std::vector<Unit> &out) {
  const StepSpec &spec = work.Spec.Steps[step];
  Occurrence &occurrence = work.Record.Occurrences[k];
  const auto &tasks = occurrence.Steps[step].Tasks;
  Unit unit;
  unit.Work = id;
  unit.Occurrence = k;
  unit.Step = step;
  unit.Gang = spec.Gang;
  unit.WaitingSince = now;
  unit.CollectedAt = now;
  for (std::uint32_t n = 0; n < tasks.size(); ++n) {
    if (tasks[n].Stage != TaskStage::Waiting)
      continue;
    unit.Indices.push_back(n);
    unit.WaitingSince = std::min(unit.WaitingSince, tasks[n].WaitingSince);
  }
  if (unit.Indices.empty() || (spec.Gang && unit.Indices.size() < tasks.size()))
    return;
  for (const std::uint32_t it : spec.DependsOn)
    if (!occurrence.Steps[it].done())
      return;
  unit.Rank = rankOf(work);
  const Millis maxWait = std::clamp(
      Millis(spec.EstimateMs), Options.MinReserveWait, Options.MaxReserveWait);
  if (unit.Rank <= UrgentRank)
    unit.Access = AccessLevel::Urgent;
  else if (now - unit.WaitingSince >= maxWait)
    unit.Access = AccessLevel::LongWaiting;
  unit.AcceptedAtMs = std::max(work.Spec.AcceptedAtMs, work.Spec.dueAtMs(k));
  judgeObjective(work, unit, wallMs);
  out.push_back(std::move(unit));
}

void PodPlanner::limitToStateRoom(Unit &unit) {
  PlannedWork &work = Works.at(unit.Work);
  const WorkRecord &record = work.Record;
  std::optional<std::size_t> &most = work.InRound.FirstStarts;
  // The job has at most as many tasks as bytes.
  if (!most)
    most = unstartedBytes(record) <= MaxTasksTogether
               ? std::numeric_limits<std::size_t>::max()
               : firstStartsWithinState(record);
  if (*most >= unit.Indices.size())
    return;
  const auto &tasks =
      record.Occurrences[unit.Occurrence].Steps[unit.Step].Tasks;
  const auto firstNew = std::stable_partition(
      unit.Indices.begin(), unit.Indices.end(),
      [&](std::uint32_t it) { return tasks[it].Run > 0; });
  const auto added =
      static_cast<std::size_t>(std::distance(firstNew, unit.Indices.end()));
  if (added <= *most)
    return;
  if (unit.Gang)
    unit.Indices.clear();
  else
    unit.Indices.resize(unit.Indices.size() - (added - *most));
}

} // namespace citrongap
