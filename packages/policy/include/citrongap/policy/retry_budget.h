// When a failed or lost run is tried again, and when no more.
#ifndef CITRONGAP_POLICY_RETRY_BUDGET_H
#define CITRONGAP_POLICY_RETRY_BUDGET_H

#include "citrongap/base/random.h"
#include "citrongap/policy/job.h"
#include "citrongap/policy/token_bucket.h"

#include <string>
#include <unordered_map>
#include <variant>

namespace citrongap {

/// Queue it again, but start nothing before `NotBefore`.
struct RetryAt {
  MonoTime NotBefore;
};

/// It ends with its last outcome.
struct RetryDenied {
  std::string Reason;
};

using RetryVerdict = std::variant<RetryAt, RetryDenied>;

/// Each account's retries are bounded by a share of what it starts, so that
/// work which fails everywhere can't crowd out work which runs.
class RetryBudget {
public:
  /// Every first start earns part of a retry.
  void recordStart(const ClientAccountId &account, MonoTime now);
  /// `attempt` counts the runs so far, from 1. Unrepeatable work is never
  /// retried; the wait doubles with each attempt, is jittered, and never ends
  /// at or past the deadline.
  RetryVerdict decide(const JobRequest &job, std::uint32_t attempt,
                      WallTime wall, MonoTime now, Random &random);
  void removeAccount(const ClientAccountId &account);

private:
  TokenBucket &bucketOf(const ClientAccountId &account, MonoTime now);

  std::unordered_map<ClientAccountId, TokenBucket> Buckets;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_RETRY_BUDGET_H
