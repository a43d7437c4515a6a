// Admission control: refuses requests and jobs as `NotRun` before they queue.
#ifndef CITRONGAP_POLICY_ADMISSION_H
#define CITRONGAP_POLICY_ADMISSION_H

#include "citrongap/base/outcome.h"
#include "citrongap/policy/configuration.h"
#include "citrongap/policy/job.h"
#include "citrongap/policy/token_bucket.h"

#include <optional>
#include <unordered_map>

namespace citrongap {

/// Limits the requests per second of each account at one entry VM.
class RequestRateLimiter {
public:
  /// Adds an account or changes its rate; a change does not refill its tokens.
  void setAccount(const ClientAccountId &account, std::uint32_t perSecond,
                  MonoTime now);
  void removeAccount(const ClientAccountId &account);

  /// Counts the request and returns nothing if it is within the rate. Otherwise
  /// returns the refusal, with the milliseconds after which to retry.
  std::optional<NotRun> admit(const ClientAccountId &account, MonoTime now);

private:
  std::unordered_map<ClientAccountId, TokenBucket> Buckets;
};

/// Refuses a job that can never run: the account has no plan (`plan` is null),
/// the job requests no accelerators, its gang exceeds the limit of the plan or
/// of the pod, or its deadline has passed. `largest` is the largest gang that
/// the pod's servers could hold together.
std::optional<NotRun> refuseImpossible(const JobRequest &job,
                                       const PlanEntry *plan,
                                       Accelerators largest, WallTime wall);

/// Refuses a job that would start only after its deadline. `waitMs` is the
/// estimated wait behind the account's own queue. The job is refused only if
/// half of the estimate exceeds the remaining time.
std::optional<NotRun> refuseTooLate(const JobRequest &job, WallTime wall,
                                    std::int64_t waitMs);

} // namespace citrongap

#endif // CITRONGAP_POLICY_ADMISSION_H
