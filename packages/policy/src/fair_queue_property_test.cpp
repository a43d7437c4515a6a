// Property tests of the fair queue over generated operation sequences.
#include "citrongap/policy/fair_walk.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <rapidcheck.h>

using namespace citrongap;

namespace {

ClientAccountId account(std::uint32_t n) {
  return ClientAccountId("a" + std::to_string(n));
}

QueuedJob job(std::uint32_t accountIndex, std::uint32_t key, std::uint32_t gang,
              std::int64_t estimateMs) {
  QueuedJob it;
  it.Job.Id = {account(accountIndex), RequestKey(std::to_string(key))};
  it.Job.Gang.Count = gang;
  it.Job.Deadline = wallFromMillis(1 + key % 50);
  it.Class = static_cast<ServiceClass>(key % 3);
  it.EstimateMs = estimateMs;
  return it;
}

struct Operation {
  std::uint32_t Action = 0;
  std::uint32_t AccountIndex = 0;
  std::uint32_t Key = 0;
  std::int64_t Ms = 0;
};

rc::Gen<Operation> anyOperation() {
  return rc::gen::build<Operation>(
      rc::gen::set(&Operation::Action, rc::gen::inRange(0U, 6U)),
      rc::gen::set(&Operation::AccountIndex, rc::gen::inRange(0U, 3U)),
      rc::gen::set(&Operation::Key, rc::gen::inRange(0U, 40U)),
      rc::gen::set(&Operation::Ms, rc::gen::inRange<std::int64_t>(0, 5000)));
}

void apply(FairQueue &queue, const Operation &operation) {
  const QueuedJob it = job(operation.AccountIndex, operation.Key,
                           1 + operation.Key % 8, operation.Ms);
  switch (operation.Action) {
  case 0:
  case 1:
    queue.push(it);
    return;
  case 2:
    queue.erase(it.Job.Id);
    return;
  case 3:
    queue.start(it.Job.Id);
    return;
  case 4:
    queue.finish(it.Job.Id, operation.Ms);
    return;
  default:
    if (auto taken = queue.start(it.Job.Id))
      queue.requeue(*taken);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(tags_are_never_negative_and_new_jobs_respect_the_bound) {
  BOOST_TEST(rc::check("any history", [] {
    FairQueue queue;
    for (std::uint32_t i = 0; i < 3; ++i)
      queue.setAccount(account(i), {i + 1, 5});
    const auto operations =
        *rc::gen::container<std::vector<Operation>>(anyOperation());
    std::uint32_t requeued = 0;
    for (const auto &operation : operations) {
      requeued += operation.Action == 5 ? 1 : 0;
      apply(queue, operation);
      std::uint32_t total = 0;
      for (std::uint32_t i = 0; i < 3; ++i)
        RC_ASSERT(queue.tagOf(account(i)) >= 0);
      for (const auto &[id, length] : queue.lengths()) {
        RC_ASSERT(length <= 5 + requeued);
        total += length;
      }
      RC_ASSERT(total == queue.size());
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_walk_returns_every_startable_job_once) {
  BOOST_TEST(rc::check("any history", [] {
    FairQueue queue;
    for (std::uint32_t i = 0; i < 3; ++i)
      queue.setAccount(account(i), {i + 1, 50});
    for (const auto &operation :
         *rc::gen::container<std::vector<Operation>>(anyOperation()))
      apply(queue, operation);
    const std::size_t waiting = queue.size();
    const auto startsEvery = *rc::gen::inRange(1, 4);
    std::set<JobId> seen;
    std::size_t starts = 0;
    FairWalk walk(queue, monoFromMillis(0), 1000);
    while (const QueuedJob *it = walk.next()) {
      const JobId id = it->Job.Id;
      RC_ASSERT(seen.insert(id).second);
      if (seen.size() % static_cast<std::size_t>(startsEvery) == 0)
        starts += queue.start(id).has_value() ? 1 : 0;
    }
    RC_ASSERT(seen.size() == waiting);
    RC_ASSERT(queue.size() == waiting - starts);
  }));
}

BOOST_AUTO_TEST_CASE(service_of_waiting_accounts_follows_the_weights) {
  BOOST_TEST(rc::check("weights and sizes", [] {
    const auto weights = *rc::gen::container<std::vector<std::uint32_t>>(
        3, rc::gen::inRange(1U, 10U));
    FairQueue queue;
    std::array<double, 3> served{};
    double largest = 0;
    for (std::uint32_t i = 0; i < 3; ++i) {
      queue.setAccount(account(i), {weights[i], 1000});
      for (std::uint32_t key = 0; key < 60; ++key) {
        QueuedJob it = job(i, key, *rc::gen::inRange(1U, 129U),
                           *rc::gen::inRange<std::int64_t>(1, 10000));
        it.Class = ServiceClass::Standard;
        largest = std::max(largest, static_cast<double>(it.EstimateMs) *
                                        it.Job.Gang.Count / weights[i]);
        queue.push(it);
      }
    }
    while (queue.lengths().size() == 3) {
      FairWalk walk(queue, monoFromMillis(0), 1);
      const QueuedJob next = *walk.next();
      queue.start(next.Job.Id);
      const auto accountIndex = static_cast<std::size_t>(
          std::stoul(next.Job.Id.Account.str().substr(1)));
      served.at(accountIndex) += static_cast<double>(next.EstimateMs) *
                                 next.Job.Gang.Count / weights[accountIndex];
      for (const double lhs : served)
        for (const double rhs : served)
          RC_ASSERT(std::abs(lhs - rhs) <= 2 * largest + 1e-3);
    }
  }));
}
