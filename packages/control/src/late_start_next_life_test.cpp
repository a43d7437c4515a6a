// A start without an answer is carried out by the server's next life before the
// owner has reached that one.
#include "entry_site.h"

using namespace citrongap;
using namespace citrongap::testing;

namespace {

struct ShortLeaseSite : LeaseSite {
  ShortLeaseSite() : LeaseSite(Millis(100)) {}
};

} // namespace

// Guards against two runs at once: the leases on the life before have ended,
// and the task has been started elsewhere.
BOOST_FIXTURE_TEST_CASE(late_start_at_the_next_life_runs_beside_no_other,
                        ShortLeaseSite) {
  sendDelayedStart();
  const MonoTime sentAt = monoNow();
  Fleet.at("i-1").Unreachable = true;
  // Long after the end of the leases.
  Loop.runUntil(sentAt + Millis(330));
  Fleet.at("i-1").Unreachable = false;
  Fleet.restart("i-1", 2);
  // Orders may be carried out later than this.
  BOOST_REQUIRE((monoNow() - sentAt < Millis(380)));
  Fleet.deliverDelayedStarts("i-1");
  BOOST_TEST(Fleet.running() == 1U);
  BOOST_TEST(mostRunsWithin(Millis(600)) == 1U);
  BOOST_TEST(Fleet.running() == 1U);
}

// Guards against a task that waits for good for a server that doesn't return.
BOOST_FIXTURE_TEST_CASE(task_starts_elsewhere_once_its_start_can_not_be_late,
                        ShortLeaseSite) {
  sendDelayedStart();
  const MonoTime sentAt = monoNow();
  Fleet.at("i-1").Unreachable = true;
  Loop.runUntil(sentAt + Millis(400));
  BOOST_TEST(Fleet.started() == 0U);
  Loop.runUntil(sentAt + Millis(800));
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// Guards against a task that waits for good for a lost server that confirmed
// its start and has not listed the run.
BOOST_FIXTURE_TEST_CASE(confirmed_start_waits_no_longer_than_its_lease,
                        ShortLeaseSite) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.running() == 1U);
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(60));
  Fleet.at("i-1").DelayPolls = true;
  const WorkId next("00000000000000aa");
  BOOST_TEST(call("vm-1", CallerVerb::Submit, next) == "accepted");
  for (int n = 0; n < 50 && Fleet.running() == 0; ++n)
    runFor(Millis(2));
  BOOST_REQUIRE(Fleet.running() == 1U);
  runFor(Millis(10));
  Store.put(Servers, {"i-2", "ready"});
  Fleet.at("i-1").Unreachable = true;
  // The poll that is in flight ends without an answer after 2 s.
  runFor(LinkOptions().LongPollWait + Millis(500));
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}
