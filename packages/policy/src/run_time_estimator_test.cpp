// Unit tests of the run time estimates, from the declared time to the learned
// quantile.
#include "citrongap/policy/run_time_estimator.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <rapidcheck.h>

using namespace citrongap;

namespace {

JobRequest job(std::int64_t declaredMs, const std::string &kind = "mix") {
  JobRequest it;
  it.Id.Account = ClientAccountId("a");
  it.Kind = kind;
  it.DeclaredRunMs = declaredMs;
  return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_declared_time_is_used_until_runs_are_recorded) {
  RunTimeEstimator estimator;
  BOOST_TEST(estimator.estimateMs(job(5000), 0.9) == 5000);
  for (int i = 0; i < 20; ++i)
    estimator.addSample(ClientAccountId("a"), "mix", 600000);
  const auto learned = estimator.estimateMs(job(5000), 0.5);
  BOOST_TEST(learned > 400000);
  BOOST_TEST(learned < 900000);
  BOOST_TEST(estimator.estimateMs(job(5000, "other"), 0.5) == 5000);
}

BOOST_AUTO_TEST_CASE(estimates_follow_a_kind_whose_run_time_changes) {
  RunTimeEstimator estimator;
  for (int i = 0; i < 1000; ++i)
    estimator.addSample(ClientAccountId("a"), "mix", 1000);
  for (int i = 0; i < 300; ++i)
    estimator.addSample(ClientAccountId("a"), "mix", 60000);
  BOOST_TEST(estimator.estimateMs(job(1000), 0.5) > 40000);
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_by_the_number_of_kinds) {
  RunTimeEstimator estimator(10);
  for (int i = 0; i < 1000; ++i)
    estimator.addSample(ClientAccountId("a"), std::to_string(i), 1000);
  BOOST_TEST(estimator.kinds() == 10U);
}

BOOST_AUTO_TEST_CASE(quantiles_rise_and_stay_within_a_bucket_of_the_samples) {
  BOOST_TEST(rc::check("samples", [] {
    const auto samples =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
            rc::gen::inRange<std::int64_t>(1, 100000000)));
    RunTimeHistogram histogram;
    for (const auto it : samples)
      histogram.add(it);
    const auto declared = samples.front();
    const auto [low, high] =
        std::minmax_element(samples.begin(), samples.end());
    std::int64_t last = 0;
    for (const double q : {0.01, 0.25, 0.5, 0.75, 0.99}) {
      const auto at = histogram.quantile(q, declared);
      RC_ASSERT(at >= last);
      RC_ASSERT(static_cast<double>(at) >=
                std::floor(static_cast<double>(*low) / std::sqrt(2)));
      RC_ASSERT(static_cast<double>(at) <=
                std::ceil(static_cast<double>(*high) * std::sqrt(2)));
      last = at;
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_default_is_not_an_informed_estimate) {
  RunTimeEstimator times;
  JobRequest job;
  job.Id.Account = ClientAccountId("a");
  BOOST_TEST(!times.informed(job));
  times.addSample(job.Id.Account, job.Kind, 100);
  BOOST_TEST(times.informed(job));
  JobRequest declared;
  declared.DeclaredRunMs = 5;
  BOOST_TEST(times.informed(declared));
}
