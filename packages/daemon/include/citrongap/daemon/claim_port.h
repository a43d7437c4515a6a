// Port to the durable side of jobs: claims of unrepeatable ones, the record of
// accepted ones and of outcomes. The ledger in the platform's log is behind it.
#ifndef CITRONGAP_DAEMON_CLAIM_PORT_H
#define CITRONGAP_DAEMON_CLAIM_PORT_H

#include "citrongap/base/outcome.h"
#include "citrongap/policy/job.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citrongap {

/// This pod may start the job, once, until `StartBy`.
struct ClaimGranted {
  std::string Claim;
  WallTime StartBy;
};

/// It may not; what to tell the caller.
struct ClaimDenied {
  Outcome Answer;
};

/// Not decided yet: ask again later; the job may have been started before.
struct ClaimDeferred {
  std::string Reason;
};

/// Whether the log has a record.
enum class Recorded : std::uint8_t {
  Yes,
  /// It was never sent.
  No,
  /// It may stand there, or land later.
  Unclear
};

/// What the owner knows when it asks for a claim.
struct ClaimCircumstances {
  /// Every server of the pod obeys this holder and none knows the job, so that
  /// nothing of an earlier holder can start any more.
  bool Fenced = false;
  /// No other owner ever had the job: when nothing reached the log either, it
  /// has not run.
  bool Fresh = false;
};

using ClaimAnswer = std::variant<ClaimGranted, ClaimDenied, ClaimDeferred>;

class ClaimPort {
public:
  virtual ~ClaimPort() = default;

  /// This entry VM holds the pod now; `letGo` ends it.
  virtual void takeOver(const PodId &pod) = 0;
  virtual void letGo() = 0;

  /// Claims an unrepeatable job right before its start. Every callback of this
  /// port comes once, possibly before returning.
  virtual void claim(const JobRequest &job, ClaimCircumstances circumstances,
                     std::function<void(const ClaimAnswer &)> callback) = 0;
  /// Gives a claim back under which nothing ran; false when that can't be
  /// confirmed.
  virtual void release(const JobRequest &job, const std::string &claim,
                       std::function<void(bool)> callback) = 0;
  /// Records that an accepted job is owed an outcome.
  virtual void accepted(const JobRequest &job,
                        std::function<void(Recorded)> callback) = 0;
  /// Records an outcome, under the job's claim when there is one.
  virtual void ended(const JobRequest &job,
                     const std::optional<std::string> &claim,
                     const Outcome &outcome,
                     std::function<void(Recorded)> callback) = 0;
  /// The log's last word on a job, as far as it was read here.
  virtual std::optional<Outcome> outcomeOf(const JobId &job) const = 0;
  /// The log names the job, so that it may be owed an outcome.
  virtual bool names(const JobRequest &job) const = 0;
  /// The log was read to the take-over of the pod and names this entry VM.
  virtual bool holds() const = 0;
  /// Accepted jobs without an outcome; none unless it holds the pod.
  virtual std::vector<JobRequest> owed() const = 0;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_CLAIM_PORT_H
