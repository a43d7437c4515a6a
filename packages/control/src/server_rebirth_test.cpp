// Servers that start again under their id: a start that was sent to one life
// may be carried out by the next, and the task must not run elsewhere
// meanwhile.
#include "entry_site.h"

using namespace citrongap;
using namespace citrongap::testing;

namespace {

struct RebirthSite : LeaseSite {
  using LeaseSite::LeaseSite;
  /// "i-1" starts anew and registers.
  void restart(int startedAt = 5) {
    Fleet.restart("i-1", startedAt);
    Store.put(Servers, {"i-1", "ready " + std::to_string(startedAt)});
  }
  /// A poll of "i-1" with a lease is carried out by its next life, which is cut
  /// off by then.
  void checkLatePollAtTheNextLife(int startedAt) {
    BOOST_TEST(submit("vm-1") == "accepted");
    runFor(Millis(60));
    Fleet.at("i-1").DelayPolls = true;
    runFor(Millis(30));
    BOOST_REQUIRE(!Fleet.at("i-1").DelayedPolls.empty());
    restart(startedAt);
    Fleet.at("i-1").DelayPolls = false;
    runFor(Millis(100));
    BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
    Fleet.at("i-1").Unreachable = true;
    Store.put(Servers, {"i-2", "ready"});
    runFor(Millis(250));
    Fleet.deliverDelayedPolls("i-1");
    BOOST_TEST(mostRunsWithin(Millis(900)) == 1U);
    BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
  }
};

struct ShortLeaseRebirth : RebirthSite {
  ShortLeaseRebirth() : RebirthSite(Millis(100)) {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_rebirth, RebirthSite)

// Guards against a task that starts elsewhere before the server's next life
// carries out the unanswered start that was sent to the life before.
BOOST_AUTO_TEST_CASE(late_start_at_the_next_life_runs_beside_no_other) {
  sendDelayedStart();
  restart();
  Fleet.at("i-1").DelayStarts = false;
  runFor(Millis(100));
  Fleet.deliverDelayedStarts("i-1");
  BOOST_TEST(mostRunsWithin(Millis(300)) == 1U);
  BOOST_TEST(Fleet.started() == 1U);
}

// The same, with a start that the next life carries out and answers before the
// owner has learned of it.
BOOST_AUTO_TEST_CASE(start_answered_by_the_next_life_runs_beside_no_other) {
  Store.put(Servers, {"i-2", "draining"});
  runFor(Millis(60));
  Fleet.restart("i-1", 5);
  BOOST_TEST(submit("vm-1") == "accepted");
  for (int n = 0; n < 50 && Fleet.started() == 0; ++n)
    runFor(Millis(2));
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  Store.put(Servers, {"i-2", "ready"});
  BOOST_TEST(mostRunsWithin(Millis(100)) == 1U);
  Store.put(Servers, {"i-1", "ready 5"});
  BOOST_TEST(mostRunsWithin(Millis(300)) == 1U);
}

// The same, with a retry that the life before had answered.
BOOST_AUTO_TEST_CASE(late_first_attempt_of_a_listed_run_runs_beside_no_other) {
  sendDelayedStart();
  Fleet.at("i-1").DelayStarts = false;
  runFor(Millis(120));
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  restart();
  runFor(Millis(100));
  Fleet.deliverDelayedStarts("i-1");
  BOOST_TEST(mostRunsWithin(Millis(300)) == 1U);
}

// The same, with a new owner that learns of the run from the store.
BOOST_AUTO_TEST_CASE(new_owner_bars_the_late_start_at_the_next_life) {
  sendDelayedStart();
  kill("vm-1");
  restart();
  Fleet.at("i-1").Silent = true;
  Fleet.at("i-1").DelayStarts = false;
  runFor(Millis(500));
  Fleet.deliverDelayedStarts("i-1");
  Fleet.at("i-1").Silent = false;
  BOOST_TEST(mostRunsWithin(Millis(300)) == 1U);
}

// Guards against a task that waits forever for a next life that is cut off.
BOOST_AUTO_TEST_CASE(task_starts_elsewhere_once_no_late_start_can_run) {
  sendDelayedStart();
  restart();
  Fleet.at("i-1").Silent = true;
  runFor(Millis(400));
  Fleet.at("i-1").DelayStarts = false;
  Fleet.deliverDelayedStarts("i-1");
  BOOST_TEST(mostRunsWithin(Millis(700)) == 1U);
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// Guards against a poll for the life before that the next life carries out
// late: its lease outlives the end that the owner counts on.
BOOST_AUTO_TEST_CASE(late_poll_at_the_next_life_does_not_outlive_the_lease) {
  checkLatePollAtTheNextLife(5);
}

// The same, with a next life whose token is that of the life before, since the
// server has started again more often than this owner has tokens.
BOOST_AUTO_TEST_CASE(
    late_poll_under_the_last_token_does_not_outlive_the_lease) {
  for (int n = 0; n < 20; ++n) {
    restart(10 + n);
    runFor(Millis(60));
  }
  checkLatePollAtTheNextLife(50);
}

// Guards against a task that stays idle after its lease has ended, because its
// lost server had started again before.
BOOST_AUTO_TEST_CASE(
    task_of_a_lost_next_life_starts_elsewhere_after_its_lease) {
  runFor(Millis(60));
  restart();
  runFor(Millis(60));
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  Store.put(Servers, {"i-2", "ready"});
  Fleet.at("i-1").Unreachable = true;
  BOOST_TEST(mostRunsWithin(Millis(450)) == 1U);
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// A run that its server had listed ended with that life of the server.
BOOST_AUTO_TEST_CASE(listed_run_starts_elsewhere_at_once) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  Store.put(Servers, {"i-2", "ready"});
  restart();
  Fleet.at("i-1").Silent = true;
  runFor(Millis(100));
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// Guards against an unanswered attempt to start a run that has ended as done
// since: the next life carried it out.
BOOST_AUTO_TEST_CASE(late_start_of_an_ended_run_is_refused_by_the_next_life) {
  sendDelayedStart();
  Fleet.at("i-1").DelayStarts = false;
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  Fleet.end("i-1", {Job, 0, 0, 0}, RunOutcome::Done);
  runFor(Millis(60));
  BOOST_TEST(state("vm-1") == "completed");
  restart();
  runFor(Millis(60));
  Fleet.deliverDelayedStarts("i-1");
  BOOST_TEST(Fleet.started() == 1U);
}

// The same, with a run whose lease had ended before the server started anew.
BOOST_FIXTURE_TEST_CASE(late_start_of_a_lapsed_run_runs_beside_no_other,
                        ShortLeaseRebirth) {
  sendDelayedStart();
  Fleet.at("i-1").Unreachable = true;
  for (int n = 0; n < 150 && Fleet.started() == 0; ++n)
    runFor(Millis(2));
  BOOST_REQUIRE(Fleet.at("i-2").Running.size() == 1U);
  restart();
  Fleet.at("i-1").DelayStarts = false;
  runFor(Millis(60));
  Fleet.deliverDelayedStarts("i-1");
  BOOST_TEST(mostRunsWithin(Millis(100)) == 1U);
}

// Guards against a late poll for the life before whose acknowledgement makes
// the next life forget an end that the owner has not received: its task started
// again.
BOOST_AUTO_TEST_CASE(late_acknowledgement_at_the_next_life_loses_no_end) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  Fleet.end("i-1", {Job, 0, 0, 0}, RunOutcome::Done);
  runFor(Millis(100));
  Job = WorkId("6c0e7a21d94b36f8");
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  Fleet.at("i-1").DelayPolls = true;
  runFor(Millis(30));
  BOOST_REQUIRE(!Fleet.at("i-1").DelayedPolls.empty());
  restart();
  Fleet.at("i-1").DelayPolls = false;
  runFor(Millis(100));
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  Fleet.end("i-1", {Job, 0, 0, 0}, RunOutcome::Done);
  Fleet.deliverDelayedPolls("i-1");
  runFor(Millis(200));
  BOOST_TEST(Fleet.started() == 3U);
  BOOST_TEST(state("vm-1") == "completed");
}

// The same, with a poll that no answered one has preceded in acknowledging the
// ends.
BOOST_AUTO_TEST_CASE(late_first_acknowledgement_at_the_next_life_loses_no_end) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  Fleet.at("i-1").DelayAcknowledgements = true;
  Fleet.end("i-1", {Job, 0, 0, 0}, RunOutcome::Done);
  runFor(Millis(60));
  BOOST_REQUIRE(!Fleet.at("i-1").DelayedPolls.empty());
  restart();
  runFor(Millis(60));
  Job = WorkId("6c0e7a21d94b36f8");
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  Fleet.end("i-1", {Job, 0, 0, 0}, RunOutcome::Done);
  Fleet.deliverDelayedPolls("i-1");
  runFor(Millis(200));
  BOOST_TEST(Fleet.started() == 2U);
  BOOST_TEST(state("vm-1") == "completed");
}

BOOST_AUTO_TEST_SUITE_END()
