// State of a job and of each of its tasks. The serialized fields make up the
// record in the store; the others exist only in the owner's memory.
#ifndef CITRONGAP_WORKLOAD_WORK_STATE_H
#define CITRONGAP_WORKLOAD_WORK_STATE_H

#include "citrongap/base/time.h"
#include "citrongap/workload/lost_work.h"
#include "citrongap/workload/work_spec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace citrongap {

enum class WorkPhase : std::uint8_t {
  /// No server is known to have started a run of the job, though runs may be
  /// placed.
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

inline bool ended(WorkPhase phase) { return phase >= WorkPhase::Completed; }
const char *describe(WorkPhase phase);

/// One process incarnation of a backend server.
struct ServerIncarnation {
  BackendServerId Id;
  /// Wall-clock time in milliseconds of its start, as reported by the server.
  std::int64_t StartedAtMs = 0;

  auto operator<=>(const ServerIncarnation &) const = default;
};

enum class TaskStage : std::uint8_t {
  Waiting,
  /// The current run is assigned to `Server`; its end has not been reported.
  Placed,
  Done
};

struct TaskRecord {
  TaskStage Stage = TaskStage::Waiting;
  /// Number of the current or last run; increases with each start.
  std::uint32_t Run = 0;
  std::uint32_t Failures = 0;
  /// Server of the current or last run.
  ServerIncarnation Server;
  /// Latest checkpoint; empty for none. That of a gang is kept in its first
  /// task.
  std::string Checkpoint;
  /// An earlier run has ended as done while `Run` was placed. Invariant: the
  /// stage is not Waiting, and a stop of a placed run is requested.
  bool EarlierRunDone = false;

  // Not serialized.
  /// The server accepted the start or listed the run.
  bool Confirmed = false;
  /// A stop of the run is requested.
  bool StopRequested = false;
  /// Why; empty for members of a gang, which stop together.
  std::optional<LossCause> StopCause;
  /// When the current run last saved its work in a checkpoint, or before its
  /// start. For a gang, that of the first task applies.
  MonoTime SavedAt;
  /// Progress of the current run at which its latest listed checkpoint was
  /// reported, -1 for none; kept in the same place.
  int SavedPercent = -1;
  /// Hash of the checkpoint that the server of the current run listed last, or
  /// with which the run started.
  std::size_t ListedCheckpoint = 0;
  MonoTime PlacedAt;
  MonoTime WaitingSince;
  /// Progress last reported by the server, the time at which it last changed,
  /// and the time of the last report.
  int Percent = 0;
  MonoTime ProgressAt;
  MonoTime ListedAt;
  /// Progress from which the pace of the run is measured, and the time of that
  /// report; the pace was measured.
  int PaceFromPercent = -1;
  MonoTime PaceFrom;
  bool PaceMeasured = false;
  /// The current run probes a server in quarantine.
  bool Probe = false;
  /// Runs stopped because they reported no progress.
  std::uint32_t StallStops = 0;
};

struct StepRecord {
  std::vector<TaskRecord> Tasks;
  /// Gang steps: runs in which a member failed.
  std::uint32_t GangFailures = 0;
  /// Highest run whose failure has been counted.
  std::uint32_t LastFailedRun = 0;

  bool done() const;
  bool anyPlaced() const;
};

/// One repetition of all steps.
struct Occurrence {
  /// May be empty once all are done.
  std::vector<StepRecord> Steps;

  bool done() const;
  /// Whether a run of any of its tasks was ever placed, or all are done.
  bool begun() const;
};

/// The leading fields of a WorkRecord, which can be decoded without the rest.
struct WorkSummary {
  WorkPhase Phase = WorkPhase::Queued;
  std::int64_t EndedAtMs = 0;
  /// Unless the job has ended: a run of it has been placed.
  bool WasPlaced = false;
};

struct WorkRecord {
  WorkPhase Phase = WorkPhase::Queued;
  /// Wall-clock time in milliseconds at which the job ended; 0 before.
  std::int64_t EndedAtMs = 0;
  /// Occurrences that have become due. Empty once all runs of an ended job have
  /// ended.
  std::vector<Occurrence> Occurrences;

  /// Whether any run of the job is placed on a server.
  bool anyPlaced() const;
};

/// Identifies a task by its position in a job.
struct TaskName {
  WorkId Work;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::uint32_t Index = 0;

  /// "ID.OCCURRENCE.STEP.INDEX".
  std::string str() const;
  auto operator<=>(const TaskName &) const = default;
};

/// A run: a task and the number of its start.
using RunId = std::pair<TaskName, std::uint32_t>;

/// Parses the format of `TaskName::str()`; a finding when it is malformed.
Checked<TaskName> parseTaskName(const std::string &text);

std::string encode(const WorkSpec &spec);
std::string encode(const WorkRecord &record);
/// Return a finding when the bytes are not a complete record.
Checked<WorkSpec> decodeWorkSpec(const std::string &bytes);
Checked<WorkRecord> decodeWorkRecord(const std::string &bytes);
Checked<WorkSummary> decodeWorkSummary(const std::string &bytes);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_WORK_STATE_H
