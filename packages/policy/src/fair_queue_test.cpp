// Unit tests of the fair queue: order, bounds, cancellation and expiry.
#include "citrongap/policy/fair_walk.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const MonoTime Start = monoFromMillis(0);
const ClientAccountId Large("large");
const ClientAccountId Small("small");

QueuedJob job(const ClientAccountId &account, const std::string &key,
              ServiceClass cls = ServiceClass::Standard,
              std::uint32_t gang = 1) {
  QueuedJob it;
  it.Job.Id = {account, RequestKey(key)};
  it.Job.Gang.Count = gang;
  it.Job.Deadline = wallFromMillis(1000000);
  it.Class = cls;
  it.EstimateMs = 1000;
  return it;
}

FairQueue twoAccounts(std::uint32_t maxQueued = 1000) {
  FairQueue queue;
  queue.setAccount(Large, {1, maxQueued});
  queue.setAccount(Small, {1, maxQueued});
  return queue;
}

/// Starts the next `count` jobs and returns their keys, each with a space.
std::string startNext(FairQueue &queue, std::size_t count) {
  std::string keys;
  FairWalk walk(queue, Start, 1);
  while (count-- > 0) {
    const QueuedJob *it = walk.next();
    if (!it)
      break;
    keys += it->Job.Id.Key.str() + " ";
    queue.start(JobId(it->Job.Id));
  }
  return keys;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_small_account_is_next_however_much_a_large_one_queues) {
  FairQueue queue = twoAccounts();
  for (int i = 0; i < 500; ++i)
    queue.push(job(Large, "l" + std::to_string(i)));
  startNext(queue, 100);
  queue.push(job(Small, "s"));
  BOOST_TEST(startNext(queue, 2).find("s ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_idle_account_keeps_no_credit) {
  FairQueue queue = twoAccounts();
  for (int i = 0; i < 200; ++i)
    queue.push(job(Large, "l" + std::to_string(i)));
  startNext(queue, 100);
  for (int i = 0; i < 10; ++i)
    queue.push(job(Small, "s" + std::to_string(i)));
  const std::string keys = startNext(queue, 10);
  BOOST_TEST(std::count(keys.begin(), keys.end(), 's') <= 6);
}

BOOST_AUTO_TEST_CASE(urgent_jobs_go_first_then_classes_within_the_account) {
  FairQueue queue = twoAccounts();
  queue.push(job(Large, "b", ServiceClass::Background));
  queue.push(job(Large, "s", ServiceClass::Standard));
  queue.push(job(Small, "t", ServiceClass::Standard));
  queue.push(job(Large, "u", ServiceClass::Urgent));
  BOOST_TEST(startNext(queue, 4) == "u t s b ");
}

BOOST_AUTO_TEST_CASE(a_passed_over_job_yields_the_next_one_of_its_account) {
  FairQueue queue = twoAccounts();
  queue.push(job(Large, "big", ServiceClass::Standard, 128));
  queue.push(job(Large, "fits"));
  queue.push(job(Large, "third"));
  FairWalk walk(queue, Start, 2);
  BOOST_TEST(walk.next()->Job.Id.Key.str() == "big");
  BOOST_TEST(walk.next()->Job.Id.Key.str() == "fits");
  BOOST_TEST(walk.next() == nullptr);
}

BOOST_AUTO_TEST_CASE(a_full_queue_refuses_the_latest_job_of_the_lowest_class) {
  FairQueue queue = twoAccounts(2);
  queue.push(job(Large, "b1", ServiceClass::Background));
  queue.push(job(Large, "b2", ServiceClass::Background));
  const auto displaced = queue.push(job(Large, "s"));
  BOOST_REQUIRE(std::holds_alternative<Displaced>(displaced));
  BOOST_TEST(std::get<Displaced>(displaced).Job.Key.str() == "b2");
  BOOST_TEST(std::get<Displaced>(displaced).Why.RetryAfterMs > 0);
  const auto refused = queue.push(job(Large, "b3", ServiceClass::Background));
  BOOST_TEST(std::holds_alternative<NotRun>(refused));
  BOOST_TEST(std::holds_alternative<Queued>(queue.push(job(Small, "x"))));
}

BOOST_AUTO_TEST_CASE(a_job_that_may_have_run_is_never_refused_as_not_run) {
  FairQueue queue = twoAccounts(1);
  QueuedJob revoked = job(Large, "ran", ServiceClass::Background);
  revoked.MayHaveRun = true;
  queue.requeue(revoked);
  BOOST_TEST(std::holds_alternative<NotRun>(queue.push(job(Large, "s"))));
  BOOST_TEST(queue.contains(revoked.Job.Id));
}

BOOST_AUTO_TEST_CASE(a_wrong_estimate_is_corrected_when_the_run_ends) {
  FairQueue queue = twoAccounts();
  queue.push(job(Large, "l"));
  startNext(queue, 1);
  BOOST_TEST(queue.tagOf(Large) == 1000.0);
  queue.finish(job(Large, "l").Job.Id, 5000);
  BOOST_TEST(queue.tagOf(Large) == 5000.0);
  queue.finish(job(Large, "l").Job.Id, 0);
  BOOST_TEST(queue.tagOf(Large) == 5000.0);
}

BOOST_AUTO_TEST_CASE(expired_jobs_are_returned_once_and_cancelled_ones_never) {
  FairQueue queue = twoAccounts();
  for (int i = 0; i < 300; ++i)
    queue.push(job(Large, std::to_string(i)));
  for (int i = 0; i < 299; ++i)
    BOOST_TEST(queue.erase(job(Large, std::to_string(i)).Job.Id).has_value());
  BOOST_TEST(queue.takeExpired(wallFromMillis(999999)).empty());
  BOOST_TEST(queue.takeExpired(wallFromMillis(1000000)).size() == 1U);
  BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(the_estimated_wait_counts_the_account_s_own_queue_only) {
  FairQueue queue = twoAccounts();
  queue.setCapacity({4});
  for (int i = 0; i < 8; ++i)
    queue.push(job(Large, std::to_string(i)));
  BOOST_TEST(queue.waitMs(Large, ServiceClass::Standard) == 2000);
  BOOST_TEST(queue.waitMs(Large, ServiceClass::Urgent) == 0);
  BOOST_TEST(queue.waitMs(Small, ServiceClass::Standard) == 0);
}
