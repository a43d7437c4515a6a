// Early refusals with a retry delay; a delay of 0 means that a retry is futile.
#include "citrongap/policy/admission.h"

#include <algorithm>
#include <fmt/format.h>

namespace citrongap {

namespace {

constexpr double MsPerSecond = 1000;
/// Factor by which a wait estimate may be too long without a false refusal.
constexpr std::int64_t WaitTolerance = 2;

} // namespace

void RequestRateLimiter::setAccount(const ClientAccountId &account,
                                    std::uint32_t perSecond, MonoTime now) {
  const double perMs = perSecond / MsPerSecond;
  const auto [it, added] = Buckets.try_emplace(account, perSecond, perMs, now);
  if (!added)
    it->second.resize(perSecond, perMs, now);
}

void RequestRateLimiter::removeAccount(const ClientAccountId &account) {
  Buckets.erase(account);
}

std::optional<NotRun> RequestRateLimiter::admit(const ClientAccountId &account,
                                                MonoTime now) {
  const auto it = Buckets.find(account);
  if (it == Buckets.end())
    return NotRun{"the account has no plan", 0};
  if (it->second.take(now))
    return std::nullopt;
  return NotRun{"the account's request rate is exceeded",
                std::max<std::int64_t>(it->second.msUntilAvailable(now), 1)};
}

std::optional<NotRun> refuseImpossible(const JobRequest &job,
                                       const PlanEntry *plan,
                                       Accelerators largest, WallTime wall) {
  if (!plan)
    return NotRun{
        fmt::format("the account '{}' has no plan", job.Id.Account.str()), 0};
  if (job.Gang.Count == 0)
    return NotRun{"it asks for no accelerators", 0};
  if (job.Gang > plan->LargestGang)
    return NotRun{fmt::format("the plan allows gangs of at most {}",
                              plan->LargestGang.Count),
                  0};
  if (job.Gang > largest)
    return NotRun{
        fmt::format("the pod holds gangs of at most {}", largest.Count), 0};
  if (job.Deadline <= wall)
    return NotRun{"its deadline has passed", 0};
  return std::nullopt;
}

std::optional<NotRun> refuseTooLate(const JobRequest &job, WallTime wall,
                                    std::int64_t waitMs) {
  const std::int64_t left = (job.Deadline - wall).count();
  if (waitMs / WaitTolerance <= left)
    return std::nullopt;
  return NotRun{"it would start only after its deadline", waitMs - left};
}

} // namespace citrongap
