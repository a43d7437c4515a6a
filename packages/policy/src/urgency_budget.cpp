// One token bucket per account.
#include "citrongap/policy/urgency_budget.h"

namespace citrongap {

namespace {
constexpr double MsPerHour = 3600.0 * 1000;
} // namespace

void UrgencyBudget::setAccount(const ClientAccountId &account,
                               std::uint32_t urgentPerHour, MonoTime now) {
  const double perMs = urgentPerHour / MsPerHour;
  const auto [it, added] =
      Buckets.try_emplace(account, urgentPerHour, perMs, now);
  if (!added)
    it->second.resize(urgentPerHour, perMs, now);
}

void UrgencyBudget::removeAccount(const ClientAccountId &account) {
  Buckets.erase(account);
}

ServiceClass UrgencyBudget::classify(const ClientAccountId &account,
                                     ServiceClass asked, MonoTime now) {
  if (asked != ServiceClass::Urgent)
    return asked;
  const auto it = Buckets.find(account);
  const bool granted = it != Buckets.end() && it->second.take(now);
  return granted ? ServiceClass::Urgent : ServiceClass::Standard;
}

void UrgencyBudget::refund(const ClientAccountId &account) {
  const auto it = Buckets.find(account);
  if (it != Buckets.end())
    it->second.put(1);
}

} // namespace citrongap
