// Answers of backend servers that tell only a part of their runs, or that come
// late: a task that has ended or may still run is not started again.
#include "entry_site.h"

using namespace citrongap;
using namespace citrongap::testing;

namespace {

struct AnswerSite : LeaseSite {
  const TaskName Task{Job, 0, 0, 0};

  /// The job runs on "i-1".
  void startJob() {
    BOOST_TEST(submit("vm-1") == "accepted");
    runFor(Millis(60));
    BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_answers, AnswerSite)

// A run whose end did not fit into the answer counted as missing, and its task
// started again although it had ended as done.
BOOST_AUTO_TEST_CASE(run_whose_end_is_beyond_the_listed_ones_is_not_missing) {
  startJob();
  Fleet.MaxListedEnds = 2;
  FakeFleet::Server &server = Fleet.at("i-1");
  const TaskName other{WorkId("6c0e7a21d94b36f8"), 0, 0, 0};
  for (std::uint32_t run = 1; run <= 3; ++run)
    server.Ended.push_back(
        {server.NextEnd++, other, run, RunOutcome::Stopped, ""});
  Fleet.end("i-1", Task, RunOutcome::Done);
  runFor(Millis(300));
  BOOST_TEST(Fleet.started() == 1U);
  BOOST_TEST(state("vm-1") == "completed");
}

BOOST_AUTO_TEST_SUITE_END()
