// What became of a job so far, task by task. The part that is serialized is
// the record in the store; the rest is the owner's memory.
#ifndef CITRONGAP_WORKLOAD_WORK_STATE_H
#define CITRONGAP_WORKLOAD_WORK_STATE_H

#include "citrongap/base/time.h"
#include "citrongap/workload/work_spec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace citrongap {

enum class WorkPhase : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

inline bool ended(WorkPhase phase) { return phase >= WorkPhase::Completed; }
const char *describe(WorkPhase phase);

/// One process life of a backend server.
struct ServerIncarnation {
  BackendServerId Id;
  /// Wall-clock milliseconds of its start, as it says.
  std::int64_t StartedAtMs = 0;

  auto operator<=>(const ServerIncarnation &) const = default;
};

enum class TaskStage : std::uint8_t {
  Waiting,
  /// Its current run was given to `Server`, and has not been seen to end.
  Placed,
  Done
};

struct TaskRecord {
  TaskStage Stage = TaskStage::Waiting;
  /// Number of the current or last run; rises with each start.
  std::uint32_t Run = 0;
  std::uint32_t Failures = 0;
  /// Of the current or last run.
  ServerIncarnation Server;
  /// Latest saved progress; empty for none.
  std::string Checkpoint;

  /// Owner's memory: the start was answered, or the run was listed.
  bool Confirmed = false;
  /// Owner's memory: the run is to be stopped.
  bool StopWanted = false;
  MonoTime PlacedAt;
  MonoTime WaitingSince;
  /// Last progress listed by the server, when it last rose, and when it was
  /// last listed.
  int Percent = 0;
  MonoTime ProgressAt;
  MonoTime ListedAt;
  /// Runs that were stopped because they made no progress.
  std::uint32_t Stalls = 0;
};

struct StepRecord {
  std::vector<TaskRecord> Tasks;
  /// Of a gang: runs that ended in a failure of a member.
  std::uint32_t GangFailures = 0;
  /// The run whose failure was counted last.
  std::uint32_t LastFailedRun = 0;

  bool done() const;
  bool anyPlaced() const;
};

/// One repetition of all steps.
struct Occurrence {
  std::vector<StepRecord> Steps;

  bool done() const;
};

/// The first fields of a WorkRecord, which can be read without the rest.
struct WorkSummary {
  WorkPhase Phase = WorkPhase::Queued;
  std::int64_t EndedAtMs = 0;
};

struct WorkRecord {
  WorkPhase Phase = WorkPhase::Queued;
  /// Wall-clock milliseconds at which it ended; 0 before.
  std::int64_t EndedAtMs = 0;
  /// Occurrences that became due so far. Empty once all runs have ended.
  std::vector<Occurrence> Occurrences;

  /// No run of it is on any server, as far as is known.
  bool anyPlaced() const;
};

/// A task by its place in a job.
struct TaskName {
  WorkId Work;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;

  /// "ID.OCCURRENCE.STEP.INDEX".
  std::string str() const;
  auto operator<=>(const TaskName &) const = default;
};

/// Reads `TaskName::str()`; a finding when it is malformed.
Checked<TaskName> parseTaskName(const std::string &text);

std::string encode(const WorkSpec &spec);
std::string encode(const WorkRecord &record);
/// A finding when the bytes are not a whole record.
Checked<WorkSpec> decodeWorkSpec(const std::string &bytes);
Checked<WorkRecord> decodeWorkRecord(const std::string &bytes);
Checked<WorkSummary> decodeWorkSummary(const std::string &bytes);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_WORK_STATE_H
