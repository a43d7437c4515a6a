// Port to the claims of unrepeatable jobs and the durable record of accepted
// ones; the ledger in the platform's log stands behind it.
#ifndef CITRONGAP_DAEMON_CLAIM_PORT_H
#define CITRONGAP_DAEMON_CLAIM_PORT_H

#include "citrongap/base/outcome.h"
#include "citrongap/policy/job.h"

#include <functional>
#include <variant>

namespace citrongap {

/// This pod may start the job, once.
struct ClaimGranted {};

/// It may not; what to tell the caller.
struct ClaimDenied {
  Outcome Answer;
};

using ClaimAnswer = std::variant<ClaimGranted, ClaimDenied>;

class ClaimPort {
public:
  virtual ~ClaimPort() = default;

  /// Calls back once, possibly before returning.
  virtual void claim(const PodId &pod, const JobRequest &job,
                     std::function<void(ClaimAnswer)> callback) = 0;
  /// Records that an accepted job is owed an outcome.
  virtual void accepted(const PodId &pod, const JobRequest &job) = 0;
  /// Records the outcome; calls back once it is in the log or can't be.
  virtual void ended(const PodId &pod, const JobRequest &job,
                     const Outcome &outcome,
                     std::function<void()> callback) = 0;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_CLAIM_PORT_H
