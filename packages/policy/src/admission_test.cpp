// Early refusals, the urgency budget and the retry budget.
#include "citrongap/policy/admission.h"
#include "citrongap/policy/retry_budget.h"
#include "citrongap/policy/urgency_budget.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const MonoTime Start = monoFromMillis(0);
const WallTime Noon = wallFromMillis(1000000);
const ClientAccountId Account("a");

JobRequest job() {
  JobRequest it;
  it.Id = {Account, RequestKey("k")};
  it.Deadline = Noon + Millis(10000);
  return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_beyond_the_rate_are_told_when_to_retry) {
  RequestRate rate;
  rate.setAccount(Account, 2, Start);
  BOOST_TEST(!rate.admit(Account, Start).has_value());
  BOOST_TEST(!rate.admit(Account, Start).has_value());
  const auto refused = rate.admit(Account, Start);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(refused->RetryAfterMs == 500);
  BOOST_TEST(!rate.admit(Account, Start + Millis(500)).has_value());
}

BOOST_AUTO_TEST_CASE(jobs_that_can_never_run_are_refused_for_good) {
  PlanEntry plan;
  plan.LargestGang.Count = 16;
  JobRequest it = job();
  BOOST_TEST(!refuseImpossible(it, &plan, {64}, Noon).has_value());
  BOOST_TEST(refuseImpossible(it, nullptr, {64}, Noon)->RetryAfterMs == 0);
  it.Gang.Count = 17;
  BOOST_TEST(refuseImpossible(it, &plan, {64}, Noon).has_value());
  it.Gang.Count = 16;
  BOOST_TEST(refuseImpossible(it, &plan, {8}, Noon).has_value());
  it.Gang.Count = 0;
  BOOST_TEST(refuseImpossible(it, &plan, {64}, Noon).has_value());
}

BOOST_AUTO_TEST_CASE(work_behind_a_long_queue_is_refused_before_it_waits) {
  BOOST_TEST(!refuseTooLate(job(), Noon, 20000).has_value());
  const auto refused = refuseTooLate(job(), Noon, 30000);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(refused->RetryAfterMs == 20000);
}

BOOST_AUTO_TEST_CASE(urgent_work_beyond_the_budget_counts_as_standard) {
  UrgencyBudget budget;
  budget.setAccount(Account, 2, Start);
  const auto ask = [&](MonoTime now) {
    return budget.classify(Account, ServiceClass::Urgent, now);
  };
  BOOST_CHECK(ask(Start) == ServiceClass::Urgent);
  BOOST_CHECK(ask(Start) == ServiceClass::Urgent);
  BOOST_CHECK(ask(Start) == ServiceClass::Standard);
  BOOST_CHECK(ask(Start + Seconds(1800)) == ServiceClass::Urgent);
  BOOST_CHECK(ask(Start + Seconds(1800)) == ServiceClass::Standard);
  BOOST_CHECK(budget.classify(Account, ServiceClass::Background, Start) ==
              ServiceClass::Background);
}

BOOST_AUTO_TEST_CASE(a_changed_budget_does_not_refill_what_was_spent) {
  UrgencyBudget budget;
  budget.setAccount(Account, 1, Start);
  budget.classify(Account, ServiceClass::Urgent, Start);
  budget.setAccount(Account, 1, Start);
  BOOST_CHECK(budget.classify(Account, ServiceClass::Urgent, Start) ==
              ServiceClass::Standard);
}

BOOST_AUTO_TEST_CASE(retries_are_for_repeatable_work_within_its_deadline) {
  RetryBudget budget;
  Random random(1);
  JobRequest it = job();
  const auto verdict = budget.decide(it, 1, Noon, Start, random);
  BOOST_REQUIRE(std::holds_alternative<RetryAt>(verdict));
  BOOST_CHECK(std::get<RetryAt>(verdict).NotBefore > Start);
  const auto denied = [&](std::uint32_t attempt, WallTime wall) {
    return std::holds_alternative<RetryDenied>(
        budget.decide(it, attempt, wall, Start, random));
  };
  BOOST_TEST(denied(8, Noon));
  BOOST_TEST(denied(1, it.Deadline));
  it.Repeatable = false;
  BOOST_TEST(denied(1, Noon));
}

BOOST_AUTO_TEST_CASE(retries_are_a_bounded_share_of_the_account_s_starts) {
  RetryBudget budget;
  Random random(1);
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.recordStart(Account, Start);
    granted += std::holds_alternative<RetryAt>(
                   budget.decide(job(), 1, Noon, Start, random))
                   ? 1
                   : 0;
  }
  BOOST_TEST(granted <= 250);
  BOOST_TEST(granted >= 200);
}
