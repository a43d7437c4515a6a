// Unit tests of admission, the urgency budget and the retry budget.
#include "citrongap/policy/admission.h"
#include "citrongap/policy/retry_budget.h"
#include "citrongap/policy/urgency_budget.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const MonoTime Start = monoFromMillis(0);
const WallTime Now = wallFromMillis(1000000);
const ClientAccountId Account("a");

JobRequest job() {
  JobRequest it;
  it.Id = {Account, RequestKey("k")};
  it.Deadline = Now + Millis(10000);
  return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_beyond_the_rate_are_refused_with_a_retry_delay) {
  RequestRateLimiter rate;
  rate.setAccount(Account, 2, Start);
  BOOST_TEST(!rate.admit(Account, Start).has_value());
  BOOST_TEST(!rate.admit(Account, Start).has_value());
  const auto refused = rate.admit(Account, Start);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(refused->RetryAfterMs == 500);
  BOOST_TEST(!rate.admit(Account, Start + Millis(500)).has_value());
}

BOOST_AUTO_TEST_CASE(
    jobs_that_can_never_run_are_refused_without_a_retry_delay) {
  PlanEntry plan;
  plan.LargestGang.Count = 16;
  JobRequest it = job();
  BOOST_TEST(!refuseImpossible(it, &plan, {64}, Now).has_value());
  BOOST_TEST(refuseImpossible(it, nullptr, {64}, Now)->RetryAfterMs == 0);
  it.Gang.Count = 17;
  BOOST_TEST(refuseImpossible(it, &plan, {64}, Now).has_value());
  it.Gang.Count = 16;
  BOOST_TEST(refuseImpossible(it, &plan, {8}, Now).has_value());
  it.Gang.Count = 0;
  BOOST_TEST(refuseImpossible(it, &plan, {64}, Now).has_value());
}

BOOST_AUTO_TEST_CASE(jobs_behind_a_long_queue_are_refused_on_submission) {
  BOOST_TEST(!refuseTooLate(job(), Now, 20000).has_value());
  const auto refused = refuseTooLate(job(), Now, 30000);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(refused->RetryAfterMs == 20000);
}

BOOST_AUTO_TEST_CASE(urgent_jobs_beyond_the_budget_become_standard) {
  UrgencyBudget budget;
  budget.setAccount(Account, 2, Start);
  const auto classifyUrgent = [&](MonoTime now) {
    return budget.classify(Account, ServiceClass::Urgent, now);
  };
  BOOST_CHECK(classifyUrgent(Start) == ServiceClass::Urgent);
  BOOST_CHECK(classifyUrgent(Start) == ServiceClass::Urgent);
  BOOST_CHECK(classifyUrgent(Start) == ServiceClass::Standard);
  BOOST_CHECK(classifyUrgent(Start + Seconds(1800)) == ServiceClass::Urgent);
  BOOST_CHECK(classifyUrgent(Start + Seconds(1800)) == ServiceClass::Standard);
  BOOST_CHECK(budget.classify(Account, ServiceClass::Background, Start) ==
              ServiceClass::Background);
}

BOOST_AUTO_TEST_CASE(a_changed_budget_does_not_return_spent_tokens) {
  UrgencyBudget budget;
  budget.setAccount(Account, 1, Start);
  budget.classify(Account, ServiceClass::Urgent, Start);
  budget.setAccount(Account, 1, Start);
  BOOST_CHECK(budget.classify(Account, ServiceClass::Urgent, Start) ==
              ServiceClass::Standard);
}

BOOST_AUTO_TEST_CASE(retries_need_a_repeatable_job_within_its_deadline) {
  RetryBudget budget;
  Random random(1);
  JobRequest it = job();
  const auto verdict = budget.decide(it, 1, Now, Start, random);
  BOOST_REQUIRE(std::holds_alternative<RetryAt>(verdict));
  BOOST_CHECK(std::get<RetryAt>(verdict).NotBefore > Start);
  const auto denied = [&](std::uint32_t attempt, WallTime wall) {
    return std::holds_alternative<RetryDenied>(
        budget.decide(it, attempt, wall, Start, random));
  };
  BOOST_TEST(denied(8, Now));
  BOOST_TEST(denied(1, it.Deadline));
  it.Repeatable = false;
  BOOST_TEST(denied(1, Now));
}

BOOST_AUTO_TEST_CASE(retries_are_a_bounded_share_of_the_account_s_starts) {
  RetryBudget budget;
  Random random(1);
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.recordStart(Account, Start);
    granted += std::holds_alternative<RetryAt>(
                   budget.decide(job(), 1, Now, Start, random))
                   ? 1
                   : 0;
  }
  BOOST_TEST(granted <= 250);
  BOOST_TEST(granted >= 200);
}
