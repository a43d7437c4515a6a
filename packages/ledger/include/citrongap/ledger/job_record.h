// Records of the stream "jobs": accepted jobs, claims of unrepeatable ones,
// holders of pods, and outcomes.
#ifndef CITRONGAP_LEDGER_JOB_RECORD_H
#define CITRONGAP_LEDGER_JOB_RECORD_H

#include "citrongap/base/ids.h"
#include "citrongap/base/outcome.h"
#include "citrongap/base/time.h"

#include <optional>
#include <string>
#include <variant>

namespace citrongap {

/// Unique; the id of the record that made the claim.
using ClaimId = TextId<struct ClaimIdTag>;
/// Rises with each take-over of a pod, and is at most the offset of the
/// take-over's record: so it rises even when earlier records are gone. It
/// orders holders in the log as fencing tokens do at a backend server.
using PodTerm = NumberId<struct PodTermTag>;

/// A claim may be acted on at most this long after it was written.
inline constexpr Millis MaxClaimLife{60 * 1000};

/// Who may start the jobs that a pod holds.
struct PodHolding {
  EntryVmId Holder;
  PodTerm Term;

  bool operator==(const PodHolding &) const = default;
};

/// The job was taken and must not get lost.
struct JobAccepted {
  JobId Job;
  WallTime Deadline;
  /// The serialized job.
  std::string Body;
};

/// The pod's holder wants to start the job; the first claim of a job wins.
struct JobClaim {
  ClaimId Id;
  JobId Job;
  PodId Pod;
  PodHolding By;
  /// Nothing starts under the claim past it; at most `MaxClaimLife` after the
  /// record was written.
  WallTime StartBy;
  WallTime Deadline;
};

/// Makes a claim void, whether it stands before or after: the job has not
/// been started under it and won't be.
struct ClaimVoid {
  ClaimId Claim;
  JobId Job;
  PodId Pod;
  /// Of the writer: an earlier holder can't give back what its successor has.
  PodTerm Term;
  WallTime Deadline;
  /// Where the claim won; null when its writer has not read it.
  std::optional<LogOffset> Order;
};

/// `By` holds the pod and all its claims from here on.
struct PodTakeOver {
  PodId Pod;
  PodHolding By;
};

/// The claim under which a job ended, and the pod's term then.
struct EndedClaim {
  ClaimId Claim;
  PodId Pod;
  PodTerm Term;
  /// Where the claim won.
  LogOffset Order;
};

/// The job has its final outcome.
struct JobEnded {
  JobId Job;
  /// Null for a repeatable job.
  std::optional<EndedClaim> Under;
  WallTime Deadline;
  Outcome Result;
};

/// The claim that holds a job.
struct ClaimHolding {
  ClaimId Id;
  PodId Pod;
  PodTerm Term;
  WallTime StartBy;
  /// The offset where the claim won.
  LogOffset Order;

  bool operator==(const ClaimHolding &) const = default;
};

/// All that the log says of one job.
struct JobEntry {
  JobId Job;
  WallTime Deadline;
  /// The serialized job, once accepted and until it has its outcome.
  std::optional<std::string> Accepted;
  std::optional<ClaimHolding> Claim;
  std::optional<Outcome> Result;
  /// No record that gives the entry was written before it.
  WallTime Kept;

  bool operator==(const JobEntry &) const = default;
};

/// An entry written again before retention drops its records.
struct JobKept {
  JobEntry Entry;
};

using JobRecordBody = std::variant<JobAccepted, JobClaim, ClaimVoid,
                                   PodTakeOver, JobEnded, JobKept>;

struct JobRecord {
  /// Unique; copies of one record carry the same id.
  std::string Id;
  /// When it was written, by the writer's clock.
  WallTime At;
  JobRecordBody Body;
};

std::string encodeJobRecord(const JobRecord &record);
/// Null when the text is no record of a known kind.
std::optional<JobRecord> decodeJobRecord(const std::string &body);

} // namespace citrongap

#endif // CITRONGAP_LEDGER_JOB_RECORD_H
