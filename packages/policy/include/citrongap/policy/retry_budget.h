// Decides whether and when a failed or lost run is retried.
#ifndef CITRONGAP_POLICY_RETRY_BUDGET_H
#define CITRONGAP_POLICY_RETRY_BUDGET_H

#include "citrongap/base/random.h"
#include "citrongap/policy/job.h"
#include "citrongap/policy/token_bucket.h"

#include <string>
#include <unordered_map>
#include <variant>

namespace citrongap {

/// The job is queued again and starts no earlier than `NotBefore`.
struct RetryAt {
  MonoTime NotBefore;
};

/// The job ends with its last outcome.
struct RetryDenied {
  std::string Reason;
};

using RetryVerdict = std::variant<RetryAt, RetryDenied>;

/// Bounds each account's retries to a share of its starts, so that jobs that
/// fail on every server cannot crowd out jobs that succeed.
class RetryBudget {
public:
  /// Adds a fraction of a retry to the account's budget for a first start.
  void recordStart(const ClientAccountId &account, MonoTime now);
  /// `attempt` is the number of runs so far, at least 1. Unrepeatable jobs are
  /// never retried. The backoff doubles with each attempt and is jittered; a
  /// retry that would start at or after the deadline is denied.
  RetryVerdict decide(const JobRequest &job, std::uint32_t attempt,
                      WallTime wall, MonoTime now, Random &random);
  void removeAccount(const ClientAccountId &account);

private:
  TokenBucket &bucketOf(const ClientAccountId &account, MonoTime now);

  std::unordered_map<ClientAccountId, TokenBucket> Buckets;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_RETRY_BUDGET_H
