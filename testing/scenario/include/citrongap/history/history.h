// The history of a run as values: what callers asked and got, what ran on the
// backend servers, what nodes held in force, and what the scenario did. The
// file format is in docs/TESTING.md. All times are of one monotonic clock.
#ifndef CITRONGAP_HISTORY_HISTORY_H
#define CITRONGAP_HISTORY_HISTORY_H

#include "citrongap/base/findings.h"
#include "citrongap/base/ids.h"
#include "citrongap/base/time.h"
#include "citrongap/base/units.h"
#include "citrongap/platform/backend_port.h"

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citrongap::history {

/// What a caller got for one call: an outcome, a promise to go on, or (the last
/// three) no answer at all.
enum class AnswerKind : std::uint8_t {
  Done,
  Failed,
  NotRun,
  Unknown,
  /// The job is held and its outcome can be asked for.
  Accepted,
  /// A refused connection; the request never left the caller.
  NotSent,
  /// The connection was closed before the whole answer.
  Cut,
  TimedOut
};

/// True for the four outcomes.
inline bool isOutcome(AnswerKind it) { return it < AnswerKind::Accepted; }
const char *toString(AnswerKind it);

/// Only a submission may start the job.
enum class CallKind : std::uint8_t { Submit, Query, Cancel };

/// What one part of a job said in a whole answer.
struct PartResult {
  TaskId Task;
  std::uint32_t Part = 0;
  std::string Text;

  auto operator<=>(const PartResult &) const = default;
};

struct Answer {
  MonoTime At;
  AnswerKind Kind = AnswerKind::TimedOut;
  /// In the order of the answer; only for `Done`.
  std::vector<PartResult> Results;
};

/// One call of a caller; a retry is another one with the same job.
struct Ask {
  std::string Id;
  MonoTime At;
  JobId Job;
  bool Repeatable = true;
  CallKind Kind = CallKind::Submit;
  Accelerators Gang;
  EntryVmId Node;
  /// What each part's result must be.
  std::string Expected;
  /// Null when the history ends without one.
  std::optional<Answer> Got;
};

/// One task on one backend server.
struct Run {
  BackendServerId Server;
  TaskId Task;
  JobId Job;
  std::uint32_t Part = 0;
  std::uint32_t Parts = 1;
  Accelerators Slots;
  std::optional<MonoTime> PreparedAt;
  /// Set once it ran.
  std::optional<MonoTime> ReleasedAt;
  std::optional<MonoTime> EndedAt;
  /// Of an ended one.
  TaskStatus Status = TaskStatus::Prepared;
  std::string Result;
};

/// A node says which revision is in force on it.
struct InForce {
  MonoTime At;
  EntryVmId Node;
  Revision Number;
  /// Hash of the lists; empty when not told.
  std::string Digest;
};

/// Each of `Nodes` must hold `Number` or a later one by `By`.
struct MustConverge {
  MonoTime By;
  Revision Number;
  std::vector<EntryVmId> Nodes;
};

/// The list of VMs shows a server as leaving from `SeenAt` on.
struct Leaving {
  BackendServerId Server;
  MonoTime SeenAt;
};

/// A death, a freeze or a cut; an empty `Node` stands for any of them.
struct Fault {
  MonoTime At;
  EntryVmId Node;
  std::string What;
};

struct History {
  std::vector<Ask> Asks;
  std::vector<Run> Runs;
  /// In the order of the file.
  std::vector<InForce> Configurations;
  std::vector<MustConverge> Convergences;
  std::vector<Leaving> LeavingServers;
  std::vector<Fault> Faults;
  /// Planned stops, which excuse nothing.
  std::size_t PlannedStops = 0;
  /// The latest time in the history.
  MonoTime End = MonoTime::min();

  std::map<JobId, std::vector<const Ask *>> asksByJob() const;
  std::map<JobId, std::vector<const Run *>> runsByJob() const;
};

/// Adds lines to a history; a malformed line becomes a finding.
class HistoryReader {
public:
  void read(const std::string &name, std::istream &lines, Findings &findings);
  const History &history() const { return Out; }

private:
  friend struct LineReader;
  History Out;
  std::map<std::string, std::size_t> AskById;
  std::map<std::pair<BackendServerId, TaskId>, std::size_t> RunByTask;
};

} // namespace citrongap::history

#endif // CITRONGAP_HISTORY_HISTORY_H
