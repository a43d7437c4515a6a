// What callers are told of jobs that are placed on servers that do not answer.
#include "entry_site.h"

#include <optional>

using namespace citrongap;
using namespace citrongap::testing;

namespace {

struct WaitingSite : LeaseSite {
  void checkWaiting(std::size_t jobs, const std::string &jobState) {
    for (const char *vm : {"vm-1", "vm-2"}) {
      BOOST_TEST(waiting(vm).value_or(99) == jobs);
      BOOST_TEST(state(vm) == jobState);
    }
  }
  /// Waiting jobs of the queue; empty without an answer.
  std::optional<std::size_t> waiting(const std::string &vm) {
    auto count = std::make_shared<std::optional<std::size_t>>();
    CallerRequest request;
    request.Verb = CallerVerb::Query;
    request.Host = "host:80";
    request.Path = "/q/";
    request.ApiKey = Key;
    request.Deadline = monoNow() + Millis(150);
    Vms.at(vm)->Node.handle(request, [count](const CallerAnswer &it) {
      if (const auto *known = std::get_if<AnswerQueueLength>(&it))
        *count = known->QueuedJobs;
    });
    runFor(Millis(10));
    return *count;
  }
};

/// The owner does not record before the job's end that it has begun.
struct LateRecordSite : EntrySite {
  LateRecordSite() : EntrySite(Millis(300), Millis(60000)) {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(waiting_jobs, WaitingSite)

// Guards against a server that does not answer a start: the job was said to run
// and was not counted as waiting.
BOOST_AUTO_TEST_CASE(job_without_an_answered_start_is_waiting) {
  Fleet.at("i-1").DelayStarts = true;
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(!Fleet.at("i-1").DelayedStarts.empty());
  checkWaiting(1, "queued");
  Fleet.at("i-1").DelayStarts = false;
  runFor(Millis(100));
  BOOST_REQUIRE(Fleet.running() == 1U);
  checkWaiting(0, "running");
}

// Guards against a server that is cut off: its job did not count as waiting
// until the leases that were asked for had expired.
BOOST_AUTO_TEST_CASE(job_on_a_server_that_is_cut_off_is_waiting) {
  Fleet.at("i-1").Silent = true;
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  checkWaiting(1, "queued");
  Store.put(Servers, {"i-2", "ready"});
  // A poll was in flight, so the silence shows after two seconds.
  for (int n = 0; n < 100 && Fleet.running() == 0; ++n) {
    BOOST_TEST(waiting("vm-2").value_or(99) == 1U);
    runFor(Millis(50));
  }
  BOOST_REQUIRE(Fleet.running() == 1U);
  runFor(Millis(60));
  checkWaiting(0, "running");
}

// Guards against a job whose start was returned: it was said to run while
// nothing was placed.
BOOST_AUTO_TEST_CASE(job_whose_start_was_refused_is_waiting) {
  Fleet.at("i-1").NoRoom = true;
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  checkWaiting(1, "queued");
}

// Guards against an owner that dies before it has recorded that a job has
// begun: the next one learns it from the server.
BOOST_AUTO_TEST_CASE(job_that_has_begun_is_not_waiting_after_a_take_over) {
  Fleet.at("i-1").LoseAnswers = true;
  BOOST_TEST(submit("vm-2") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.running() == 1U);
  BOOST_TEST(waiting("vm-2").value_or(99) == 1U);
  kill("vm-1");
  Fleet.at("i-1").LoseAnswers = false;
  runFor(Millis(250));
  BOOST_REQUIRE(Fleet.started() == 1U);
  BOOST_TEST(waiting("vm-2").value_or(99) == 0U);
  BOOST_TEST(state("vm-2") == "running");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a job that ends before it is recorded that it has begun: a
// caller that asked at the end was told at once that it is queued.
BOOST_FIXTURE_TEST_CASE(query_at_the_end_of_an_unrecorded_run_waits_for_it,
                        LateRecordSite) {
  BOOST_TEST(submit("vm-2") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.running() == 1U);
  BOOST_REQUIRE(state("vm-2") == "queued");
  // The server has the end, but the owner has neither received nor recorded it.
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  BOOST_TEST(state("vm-2") == "completed");
}
