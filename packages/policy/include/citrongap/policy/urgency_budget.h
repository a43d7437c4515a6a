// Urgency as a budget of the plan: a flood of urgent work hurts its sender
// only, because what exceeds the budget counts as standard work.
#ifndef CITRONGAP_POLICY_URGENCY_BUDGET_H
#define CITRONGAP_POLICY_URGENCY_BUDGET_H

#include "citrongap/base/ids.h"
#include "citrongap/policy/job.h"
#include "citrongap/policy/token_bucket.h"

#include <unordered_map>

namespace citrongap {

class UrgencyBudget {
public:
  /// The bucket holds one hour's jobs, so that a budget may be spent at once.
  void setAccount(const ClientAccountId &account, std::uint32_t urgentPerHour,
                  MonoTime now);
  void removeAccount(const ClientAccountId &account);

  /// The class that the job is queued under; urgent work spends a token, and
  /// an unknown account has none.
  ServiceClass classify(const ClientAccountId &account, ServiceClass asked,
                        MonoTime now);
  /// The urgent job was refused or cancelled before it ran.
  void refund(const ClientAccountId &account);

private:
  std::unordered_map<ClientAccountId, TokenBucket> Buckets;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_URGENCY_BUDGET_H
