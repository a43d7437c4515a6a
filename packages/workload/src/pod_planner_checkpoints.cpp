// Keeps the latest checkpoint of each run. Checkpoints are opaque, so which of
// two is newer follows from the progress at which they were reported.
#include "citrongap/workload/pod_planner.h"
#include "citrongap/workload/state_room.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citrongap {

TaskRecord &PodPlanner::savingTask(const TaskName &task) {
  StepRecord &step = stepOf(task);
  return specOf(task).Gang ? step.Tasks.front() : step.Tasks[task.Index];
}

void PodPlanner::keepListedCheckpoint(const TaskName &task, TaskRecord &record,
                                      int percent,
                                      const std::string &checkpoint) {
  if (checkpoint.empty())
    return;
  // A member that goes on listing its checkpoint must not replace a newer one
  // of another member.
  const std::size_t hash = std::hash<std::string>()(checkpoint);
  if (std::exchange(record.ListedCheckpoint, hash) == hash)
    return;
  TaskRecord &saving = savingTask(task);
  const bool older = specOf(task).Gang ? percent <= saving.SavedPercent
                                       : percent < saving.SavedPercent;
  if (older || checkpoint == saving.Checkpoint ||
      (checkpoint.size() > UsualCheckpointBytes &&
       checkpoint.size() > maxCheckpointBytes(Works.at(task.Work).Record)))
    return;
  saving.Checkpoint = checkpoint;
  saving.SavedPercent = percent;
  // It is of unknown age, but newer than the last list.
  saving.SavedAt = std::max(saving.SavedAt, record.ListedAt);
}

void PodPlanner::keepLastCheckpoint(const TaskName &task, TaskRecord &record,
                                    RunOutcome outcome,
                                    const std::string &checkpoint,
                                    MonoTime now) {
  TaskRecord &saving = savingTask(task);
  if (checkpoint.empty() || checkpoint == saving.Checkpoint)
    return;
  // A stop makes a checkpoint; another end reports one of unknown age, which
  // for a gang may be older than the listed one of another member.
  const bool stopped = outcome == RunOutcome::Stopped;
  if (!stopped && specOf(task).Gang &&
      (std::hash<std::string>()(checkpoint) == record.ListedCheckpoint ||
       record.Percent < saving.SavedPercent))
    return;
  saving.Checkpoint = checkpoint;
  saving.SavedAt = stopped ? now : std::max(saving.SavedAt, record.ListedAt);
}

} // namespace citrongap
