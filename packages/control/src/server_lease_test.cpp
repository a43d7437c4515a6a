// Leases of backend servers that carry orders out late or are cut off: a run
// starts elsewhere only after its lease has ended on the server's clock.
#include "entry_site.h"

using namespace citrongap;
using namespace citrongap::testing;

namespace {

const TopicId Jobs("keyed.jobs");

struct LongLeaseSite : LeaseSite {
  LongLeaseSite() : LeaseSite(Millis(600)) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_lease)

// A new owner's first poll that is carried out late must not extend the lease
// of an inherited run past the time at which the owner starts it elsewhere.
BOOST_FIXTURE_TEST_CASE(late_first_poll_does_not_outlive_the_owners_lease_end,
                        LongLeaseSite) {
  BOOST_TEST(submit("vm-2") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  Fleet.at("i-1").DelayPolls = true;
  kill("vm-1");
  runFor(Millis(450));
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  BOOST_REQUIRE(!Fleet.at("i-1").DelayedPolls.empty());
  Fleet.deliverDelayedPolls("i-1");
  Fleet.at("i-1").Unreachable = true;
  Store.put(Servers, {"i-2", "ready"});
  BOOST_TEST(mostRunsWithin(Millis(900)) == 1U);
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// A start that is sent before the server's first answer and carried out late
// must not begin a lease that outlives the owner's count.
BOOST_FIXTURE_TEST_CASE(late_start_before_the_first_answer_runs_only_once,
                        LeaseSite) {
  Store.put(Servers, {"i-1", std::nullopt});
  Store.put(Servers, {"i-3", "ready"});
  Fleet.at("i-3").DelayPolls = true;
  Fleet.at("i-3").DelayStarts = true;
  runFor(Millis(60));
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(340));
  Fleet.at("i-3").Unreachable = true;
  Fleet.deliverDelayedPolls("i-3");
  Fleet.deliverDelayedStarts("i-3");
  Store.put(Servers, {"i-2", "ready"});
  BOOST_TEST(mostRunsWithin(Millis(400)) == 1U);
  BOOST_TEST(Fleet.started() == 1U);
}

// The reading of a slow server's clock from before a long idle time must not
// make the next lease longer than the owner counts on.
BOOST_FIXTURE_TEST_CASE(lease_after_an_idle_time_allows_for_a_slow_clock,
                        LeaseSite) {
  Fleet.ClockRate = 0.98;
  // Ten seconds of the clock's deviation, 0.2 s, exceed the margins of a lease.
  runFor(Millis(10000));
  sendDelayedStart();
  Fleet.at("i-1").Unreachable = true;
  runFor(Millis(250));
  Fleet.deliverDelayedStarts("i-1");
  BOOST_TEST(mostRunsWithin(Millis(400)) == 1U);
}

// Leases must be renewed while all answers are later than the first one, whose
// reading of the clock stays the best until it is too old.
BOOST_FIXTURE_TEST_CASE(leases_are_renewed_by_answers_later_than_the_first,
                        LeaseSite) {
  MaxClockAge = Millis(500);
  kill("vm-2");
  add("vm-2");
  kill("vm-1");
  runFor(Millis(300));
  BOOST_TEST(submit("vm-2") == "accepted");
  runFor(Millis(30));
  Fleet.PollDelay = Millis(35);
  BOOST_TEST(mostRunsWithin(Millis(1500)) == 1U);
  BOOST_TEST(Fleet.started() == 1U);
  BOOST_TEST(Fleet.running() == 1U);
}

// Guards against owners in turn that each wait for a whole lease from their own
// take-over, though none has been renewed since the server was lost.
BOOST_FIXTURE_TEST_CASE(leases_that_ended_before_a_take_over_are_not_awaited,
                        LeaseSite) {
  loseServerAndOwner();
  BOOST_TEST(mostRunsWithin(Millis(330)) == 1U);
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// The same, beside an entry VM of an earlier build, which may have renewed
// leases meanwhile: they are awaited.
BOOST_FIXTURE_TEST_CASE(leases_are_awaited_beside_an_earlier_build, LeaseSite) {
  Store.put(Jobs, {peerKey(EntryVmId("vm-9")), "10.0.0.1:9"});
  loseServerAndOwner();
  runFor(Millis(330));
  BOOST_TEST(Fleet.at("i-2").Started.empty());
  BOOST_TEST(mostRunsWithin(Millis(900)) == 1U);
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// Guards against a new owner that takes leases for ended that were renewed
// after the server had become reachable again.
BOOST_FIXTURE_TEST_CASE(renewals_after_an_outage_are_awaited, LongLeaseSite) {
  cutOffServer();
  runFor(Millis(400));
  Fleet.at("i-1").Unreachable = false;
  BOOST_TEST(mostRunsWithin(Millis(900)) == 1U);
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  Fleet.at("i-1").Unreachable = true;
  kill("vm-1");
  BOOST_TEST(mostRunsWithin(Millis(1800)) == 1U);
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// Guards against a job that is shown as running for good: the start of its
// second run waited for the server list when its first run turned out done.
BOOST_FIXTURE_TEST_CASE(job_is_completed_by_an_earlier_run_while_a_start_waits,
                        LeaseSite) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.at("i-1").Running.size() == 1U);
  Store.put(Servers, {"i-2", "ready"});
  runFor(Millis(60));
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  Fleet.at("i-1").Silent = true;
  Vms.at("vm-1")->View.Faults.SilentTopics = {Servers};
  runFor(Millis(3000));
  Fleet.at("i-1").Silent = false;
  runFor(Millis(200));
  Vms.at("vm-1")->View.Faults.SilentTopics.clear();
  runFor(Millis(1500));
  BOOST_TEST(state("vm-1") == "completed");
  BOOST_TEST(Fleet.started() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
