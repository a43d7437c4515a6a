// Sizes of job states.
#include "citrongap/workload/state_room.h"

#include <algorithm>
#include <fmt/format.h>

namespace citrongap {

namespace {

/// Version, phase, time of the end, and the numbers of servers and occurrences.
constexpr std::size_t HeadBytes = 32;
/// The number of steps.
constexpr std::size_t OccurrenceBytes = 2;
/// The same, of an occurrence without steps.
constexpr std::size_t EmptyOccurrenceBytes = 1;
/// Failures, the last failed run and the number of tasks.
constexpr std::size_t StepBytes = 16;

/// Tasks of the largest step that starts as a whole.
std::size_t largestStart(const WorkSpec &spec) {
  std::size_t most = 1;
  for (const StepSpec &it : spec.Steps)
    if (it.Gang)
      most = std::max<std::size_t>(most, it.Count);
  return most;
}

/// Tasks of the job that must run at the same time.
std::size_t tasksTogether(const WorkSpec &spec) {
  std::size_t all = 0;
  for (const StepSpec &it : spec.Steps)
    all += it.Count;
  return spec.LongRunning ? all : largestStart(spec);
}

} // namespace

std::size_t unstartedOccurrenceBytes(const WorkSpec &spec) {
  std::size_t bytes = OccurrenceBytes;
  for (const StepSpec &it : spec.Steps)
    bytes += StepBytes + it.Count;
  return bytes;
}

std::size_t unstartedBytes(const WorkSpec &spec) {
  const std::size_t others = spec.occurrences() - 1;
  return HeadBytes + others * EmptyOccurrenceBytes +
         unstartedOccurrenceBytes(spec);
}

std::size_t unstartedBytes(const WorkRecord &record) {
  std::size_t bytes = HeadBytes;
  for (const Occurrence &occurrence : record.Occurrences) {
    bytes += occurrence.Steps.empty() ? EmptyOccurrenceBytes : OccurrenceBytes;
    for (const StepRecord &it : occurrence.Steps)
      bytes += StepBytes + it.Tasks.size();
  }
  return bytes;
}

Findings checkStateRoom(const WorkSpec &spec) {
  Findings findings;
  if (unstartedBytes(spec) > MaxUnstartedBytes)
    findings.add("/steps",
                 fmt::format("and repetitions need a state of {} bytes, more "
                             "than {}",
                             unstartedBytes(spec), MaxUnstartedBytes));
  if (tasksTogether(spec) > MaxTasksTogether)
    findings.add("/steps", fmt::format("need {} tasks at the same time, more "
                                       "than {}",
                                       tasksTogether(spec), MaxTasksTogether));
  return findings;
}

bool canRunWithinState(const WorkSpec &spec) {
  return unstartedBytes(spec) + largestStart(spec) * StartedTaskBytes <=
         MaxEncodedBytes;
}

std::size_t firstStartsWithinState(const WorkRecord &record) {
  std::size_t bytes = unstartedBytes(record);
  for (const Occurrence &occurrence : record.Occurrences)
    for (const StepRecord &step : occurrence.Steps)
      for (const TaskRecord &it : step.Tasks)
        if (it.Run > 0 && it.Stage != TaskStage::Done)
          bytes += StartedTaskBytes;
  return bytes < MaxEncodedBytes ? (MaxEncodedBytes - bytes) / StartedTaskBytes
                                 : 0;
}

std::size_t maxCheckpointBytes(const WorkRecord &record) {
  std::size_t tasks = 0;
  for (const Occurrence &occurrence : record.Occurrences)
    for (const StepRecord &it : occurrence.Steps)
      tasks += it.Tasks.size();
  const std::size_t used = unstartedBytes(record) + tasks * StartedTaskBytes;
  if (tasks == 0 || used >= MaxEncodedBytes)
    return UsualCheckpointBytes;
  return UsualCheckpointBytes + (MaxEncodedBytes - used) / tasks;
}

bool makeStateRoom(const WorkSpec &spec, WorkRecord &record) {
  const std::size_t added = unstartedOccurrenceBytes(spec);
  if (unstartedBytes(record) + added <= MaxUnstartedBytes)
    return true;
  for (Occurrence &it : record.Occurrences)
    if (it.done())
      it.Steps.clear();
  // A job that was accepted without these bounds may need more for one.
  const bool anyOpen =
      std::any_of(record.Occurrences.begin(), record.Occurrences.end(),
                  [](const Occurrence &it) { return !it.done(); });
  return !anyOpen || unstartedBytes(record) + added <= MaxUnstartedBytes;
}

} // namespace citrongap
