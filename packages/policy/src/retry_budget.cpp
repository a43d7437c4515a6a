// Exponential backoff with jitter: the delay is random between half and all of
// the backoff. A token bucket per account bounds the retries.
#include "citrongap/policy/retry_budget.h"

#include <algorithm>

namespace citrongap {

namespace {

constexpr double BucketCapacity = 50;
constexpr double TokensPerStart = 0.2;
constexpr double TokensPerMs = 1.0 / 60000;
constexpr std::int64_t InitialBackoffMs = 500;
constexpr std::int64_t MaxBackoffMs = 60000;
constexpr std::uint32_t MaxDoublings = 7;

/// Backoff before jitter.
std::int64_t backoffMs(std::uint32_t attempt) {
  const std::uint32_t doublings =
      std::min(attempt > 0 ? attempt - 1 : 0, MaxDoublings);
  return std::min(InitialBackoffMs << doublings, MaxBackoffMs);
}

} // namespace

TokenBucket &RetryBudget::bucketOf(const ClientAccountId &account,
                                   MonoTime now) {
  return Buckets.try_emplace(account, BucketCapacity, TokensPerMs, now)
      .first->second;
}

void RetryBudget::recordStart(const ClientAccountId &account, MonoTime now) {
  bucketOf(account, now).put(TokensPerStart);
}

RetryVerdict RetryBudget::decide(const JobRequest &job, std::uint32_t attempt,
                                 WallTime wall, MonoTime now, Random &random) {
  if (!job.Repeatable)
    return RetryDenied{"it is not repeatable"};
  const auto maxDelay = static_cast<std::uint64_t>(backoffMs(attempt));
  const Millis delay(
      static_cast<std::int64_t>(random.between(maxDelay / 2, maxDelay)));
  if (wall + delay >= job.Deadline)
    return RetryDenied{"its deadline comes before the next attempt"};
  if (!bucketOf(job.Id.Account, now).take(now))
    return RetryDenied{"the account's retry budget is spent"};
  return RetryAt{now + delay};
}

void RetryBudget::removeAccount(const ClientAccountId &account) {
  Buckets.erase(account);
}

} // namespace citrongap
