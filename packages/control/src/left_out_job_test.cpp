// Runs of a job whose state an owner can't read. Listed in KNOWN-RED.txt.
#include "entry_site.h"

using namespace citrongap;
using namespace citrongap::testing;

// Guards against an owner that can't read a job's state and stops its runs, or
// takes note of their ends: a later owner that can read it starts them again.
BOOST_FIXTURE_TEST_CASE(runs_of_a_job_that_is_left_out_are_left_alone,
                        EntrySite) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.running() == 1U);
  const std::string laterFormat = "\x7f";
  Store.put(TopicId("keyed.jobs"), {stateKey(Job), laterFormat});
  add("vm-3");
  runFor(Millis(300));
  const TaskName task = Fleet.anyRun().second;
  kill("vm-1");
  kill("vm-2");
  runFor(Millis(600));
  BOOST_TEST(Fleet.running() == 1U);
  Fleet.end("i-1", task, RunOutcome::Done);
  runFor(Millis(2500));
  BOOST_TEST(Fleet.at("i-1").Ended.size() == 1U);
}
