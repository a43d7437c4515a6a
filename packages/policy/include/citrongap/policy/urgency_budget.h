// Budget of urgent jobs per account, set by its plan. Urgent jobs beyond the
// budget are downgraded to standard, so a flood of urgent jobs affects only the
// account that submits them.
#ifndef CITRONGAP_POLICY_URGENCY_BUDGET_H
#define CITRONGAP_POLICY_URGENCY_BUDGET_H

#include "citrongap/base/ids.h"
#include "citrongap/policy/job.h"
#include "citrongap/policy/token_bucket.h"

#include <unordered_map>

namespace citrongap {

class UrgencyBudget {
public:
  /// Adds an account or changes its budget. The bucket holds one hour's jobs,
  /// so that the budget may be spent in one burst.
  void setAccount(const ClientAccountId &account, std::uint32_t urgentPerHour,
                  MonoTime now);
  void removeAccount(const ClientAccountId &account);

  /// The class under which the job is queued. An urgent job takes a token and
  /// becomes standard if there is none; unknown accounts have none.
  ServiceClass classify(const ClientAccountId &account, ServiceClass asked,
                        MonoTime now);
  /// Returns the token of an urgent job that was refused, or cancelled before
  /// it ran.
  void refund(const ClientAccountId &account);

private:
  std::unordered_map<ClientAccountId, TokenBucket> Buckets;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_URGENCY_BUDGET_H
