// Jobs and rounds that are larger than what the store takes in one record or
// one call.
#include "citrongap/store/memory_store.h"
#include "entry_site.h"

using namespace citrongap;
using namespace citrongap::testing;

namespace {

const TopicId Jobs("keyed.jobs");

struct LargeJobSite : EntrySite {
  /// A job in the store, as accepted by an earlier build: one task, then
  /// `steps` steps of `tasks` tasks.
  WorkId store(const std::string &id, std::uint32_t steps,
               std::uint32_t tasks) {
    WorkSpec spec;
    spec.Id = WorkId(id);
    spec.Queue = QueueId("q");
    spec.Account = ClientAccountId("quetta");
    spec.Service = "render";
    spec.MaxAttempts = 2;
    spec.Steps.resize(1 + steps);
    for (std::uint32_t n = 0; n <= steps; ++n) {
      StepSpec &step = spec.Steps[n];
      step.Requested = {1000, 1000, 0};
      if (n > 0) {
        step.Count = tasks;
        step.DependsOn = {n - 1};
      }
    }
    Store.put(Jobs, {specKey(spec.Id), encode(spec)});
    return spec.Id;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(large_job, LargeJobSite)

// Guards against a job whose state the store refuses, so that owners step down
// in turn and no job of any account runs.
BOOST_AUTO_TEST_CASE(unstorable_job_does_not_stop_the_others) {
  const WorkId large = store("00000000000000aa", 27, 10000);
  runFor(Millis(60));
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(300));
  BOOST_TEST(Fleet.running() == 1U);
  BOOST_TEST(state("vm-1") == "running");
  BOOST_TEST(call("vm-2", CallerVerb::Query, large) == "failed");
}

// Guards against a submission that the store refuses, and with it those that
// are appended in the same call.
BOOST_AUTO_TEST_CASE(unstorable_submission_is_invalid) {
  const std::string body = "label=" + std::string(262000, 'x');
  BOOST_TEST(call("vm-1", CallerVerb::Submit, WorkId("00000000000000aa"),
                  body) == "invalid");
  BOOST_TEST(submit("vm-1") == "accepted");
}

// Guards against a round whose records are more than the store takes in one
// call.
BOOST_AUTO_TEST_CASE(round_above_one_call_is_recorded) {
  Store.MaxCallBytes = 4096;
  MaxBatchBytes = 2048;
  kill("vm-2");
  add("vm-2");
  kill("vm-1");
  runFor(Millis(300));
  for (int n = 10; n < 40; ++n)
    store("00000000000000" + std::to_string(n), 1, 200);
  runFor(Millis(300));
  BOOST_TEST(Fleet.running() == 30U);
}

BOOST_AUTO_TEST_SUITE_END()
