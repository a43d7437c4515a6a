// Measures the pace of runs from their progress, for the speeds of the
// machines.
#include "pod_planner_unit.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace citrongap {

namespace {

/// Percentages are whole numbers, and reports are late by some milliseconds, so
/// a shorter part of a run says little.
constexpr int MinPacePercent = 20;
constexpr Millis MinPaceTime{300};
/// Runs of the jobs of a queue differ much more than those of one step.
constexpr double OtherJobsWeight = 0.25;

} // namespace

void PodPlanner::measurePace(const TaskName &task, TaskRecord &record,
                             int percent, MonoTime now) {
  if (record.PaceMeasured || record.StopRequested || percent <= 0)
    return;
  // Progress that goes back belongs to another start of the work.
  if (record.PaceFromPercent < 0 || percent < record.PaceFromPercent) {
    record.PaceFromPercent = percent;
    record.PaceFrom = now;
    return;
  }
  const int progress = percent - record.PaceFromPercent;
  const Millis took = now - record.PaceFrom;
  if (progress < MinPacePercent || took < MinPaceTime)
    return;
  record.PaceMeasured = true;
  samplePace(task, record, took * 100 / progress, now);
}

void PodPlanner::samplePace(const TaskName &task, const TaskRecord &record,
                            Millis runTime, MonoTime now) {
  const std::string machine = paceMachine(task, record);
  const PlannedWork &work = Works.at(task.Work);
  if (machine.empty() || work.Spec.LongRunning)
    return;
  SpeedSample sample;
  sample.Machine = machine;
  sample.RunTimeMs =
      static_cast<double>(runTime.count()) / slowdownOf(task, record);
  sample.Work = task.Work;
  sample.At = now;
  if (specOf(task).Gang) {
    sample.Group = work.Spec.Queue.str();
    sample.Weight = OtherJobsWeight;
  } else {
    sample.Group =
        fmt::format("{}.{}.{}", task.Work.str(), task.Occurrence, task.Step);
  }
  Speeds.addSample(sample);
}

double PodPlanner::slowdownOf(const TaskName &task,
                              const TaskRecord &record) const {
  const StepSpec &spec = specOf(task);
  const auto rackOf = [this](const TaskRecord &it) {
    const ServerSlot *slot = Servers.find(it.Server.Id);
    return slot ? slot->Entry.Rack : RackId();
  };
  const RackId rack = rackOf(record);
  bool remote = !spec.DataRack.empty() && rack != spec.DataRack;
  if (spec.Gang && spec.OneRack)
    for (const TaskRecord &it : Works.at(task.Work)
                                    .Record.Occurrences[task.Occurrence]
                                    .Steps[task.Step]
                                    .Tasks)
      remote = remote || rackOf(it) != rack;
  return remote ? Options.RemoteSlowdown : 1;
}

std::string PodPlanner::paceMachine(const TaskName &task,
                                    const TaskRecord &record) const {
  const auto machineOf = [this](const TaskRecord &it) {
    const ServerSlot *slot = Servers.find(it.Server.Id);
    return slot ? slot->Entry.Machine : std::string();
  };
  if (!specOf(task).Gang)
    return machineOf(record);
  // The members of a gang report the same pace.
  if (task.Index != 0)
    return {};
  std::set<std::string> machines;
  for (const TaskRecord &it : Works.at(task.Work)
                                  .Record.Occurrences[task.Occurrence]
                                  .Steps[task.Step]
                                  .Tasks)
    machines.insert(machineOf(it));
  std::string slowest;
  bool unique = false;
  for (const std::string &it : machines) {
    // An unrated member may be the slowest.
    if (machines.size() > 1 && !Speeds.rated(it))
      return {};
    if (slowest.empty() || Speeds.speedOf(it) < Speeds.speedOf(slowest)) {
      slowest = it;
      unique = true;
    } else if (Speeds.speedOf(it) == Speeds.speedOf(slowest)) {
      unique = false;
    }
  }
  return unique ? slowest : std::string();
}

Millis PodPlanner::runTimeAtSpeedOne(const TaskName &task,
                                     const TaskRecord &record,
                                     Millis ran) const {
  if (!SpeedsInUse)
    return ran;
  double speed = 1;
  const auto speedOf = [this](const TaskRecord &it) {
    const ServerSlot *slot = Servers.find(it.Server.Id);
    return slot ? Speeds.speedOf(slot->Entry.Machine) : 1;
  };
  speed = speedOf(record);
  if (specOf(task).Gang)
    for (const TaskRecord &it : Works.at(task.Work)
                                    .Record.Occurrences[task.Occurrence]
                                    .Steps[task.Step]
                                    .Tasks)
      speed = std::min(speed, speedOf(it));
  return Millis(
      static_cast<std::int64_t>(static_cast<double>(ran.count()) * speed));
}

} // namespace citrongap
