// What is refused as "not run" before it is queued.
#ifndef CITRONGAP_POLICY_ADMISSION_H
#define CITRONGAP_POLICY_ADMISSION_H

#include "citrongap/base/outcome.h"
#include "citrongap/policy/configuration.h"
#include "citrongap/policy/job.h"
#include "citrongap/policy/token_bucket.h"

#include <optional>
#include <unordered_map>

namespace citrongap {

/// Requests per second of each account at one entry VM.
class RequestRate {
public:
  void setAccount(const ClientAccountId &account, std::uint32_t perSecond,
                  MonoTime now);
  void removeAccount(const ClientAccountId &account);

  /// Nothing when the request may pass, and it is then counted.
  std::optional<NotRun> admit(const ClientAccountId &account, MonoTime now);

private:
  std::unordered_map<ClientAccountId, TokenBucket> Buckets;
};

/// Refuses what can never run: no plan, no accelerators, larger than the plan
/// or the whole pod allows, or already past its deadline. `plan` may be null;
/// `largest` is the largest gang that all the pod's servers could hold.
std::optional<NotRun> refuseImpossible(const JobRequest &job,
                                       const PlanEntry *plan,
                                       Accelerators largest, WallTime wall);

/// Refuses what would start only after its deadline. `waitMs` is the expected
/// wait behind the account's own queue; the estimate may be twice too long
/// before it refuses anything.
std::optional<NotRun> refuseTooLate(const JobRequest &job, WallTime wall,
                                    std::int64_t waitMs);

} // namespace citrongap

#endif // CITRONGAP_POLICY_ADMISSION_H
