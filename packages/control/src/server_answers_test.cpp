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
  /// Run 1 has ended on "i-1"; the start of run 2 was sent there and has no
  /// answer.
  void sendSecondRun() {
    startJob();
    Fleet.at("i-1").DelayStarts = true;
    Fleet.end("i-1", Task, RunOutcome::Stopped);
    for (int n = 0; n < 100 && Fleet.at("i-1").DelayedStarts.empty(); ++n)
      runFor(Millis(2));
    BOOST_REQUIRE(!Fleet.at("i-1").DelayedStarts.empty());
    BOOST_REQUIRE(Fleet.at("i-1").DelayedStarts.front().Order.Run == 2U);
  }
  /// Answers list run 1 for a while.
  void listFirstRun() {
    Fleet.at("i-1").AlsoListed = {{Task, 1, "", 1}};
    runFor(Millis(30));
    Fleet.at("i-1").AlsoListed.clear();
  }
  /// "i-1" starts anew and registers.
  void restart() {
    Fleet.restart("i-1", 5);
    Store.put(Servers, {"i-1", "ready 5"});
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

// A late answer that still listed an earlier run made the owner forget the
// unanswered start of the current one, which was not sent again.
BOOST_AUTO_TEST_CASE(start_is_sent_again_although_an_earlier_run_is_listed) {
  sendSecondRun();
  listFirstRun();
  Fleet.at("i-1").DelayStarts = false;
  runFor(Millis(150));
  BOOST_TEST(Fleet.at("i-1").Running[Task] == 2U);
}

// The same, and the next life of the server carried the forgotten start out
// beside the run that had replaced it.
BOOST_AUTO_TEST_CASE(late_start_after_an_earlier_run_is_listed_runs_alone) {
  sendSecondRun();
  listFirstRun();
  Store.put(Servers, {"i-2", "ready"});
  restart();
  runFor(Millis(100));
  Fleet.deliverDelayedStarts("i-1");
  BOOST_TEST(mostRunsWithin(Millis(300)) == 1U);
}

// Guards against an answer that was overtaken by the one that told of the run's
// end, and still lists the run.
BOOST_AUTO_TEST_CASE(overtaken_answer_starts_no_task_that_is_done) {
  startJob();
  Fleet.at("i-1").AlsoListed = {{Task, 1, "", 1}};
  Fleet.end("i-1", Task, RunOutcome::Done);
  runFor(Millis(80));
  Fleet.at("i-1").AlsoListed.clear();
  runFor(Millis(200));
  BOOST_TEST(Fleet.started() == 1U);
  BOOST_TEST(state("vm-1") == "completed");
}

// Guards against a task that stays placed for good: its starts get no answer,
// while the server's lists, without its run, do.
BOOST_AUTO_TEST_CASE(start_without_an_answer_is_given_up_beside_lists) {
  sendDelayedStart();
  runFor(Millis(6000));
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
