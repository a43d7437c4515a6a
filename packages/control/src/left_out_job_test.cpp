// Runs of a job whose state an owner can't read, as after a return to an
// earlier build.
#include "entry_site.h"

#include "citrongap/control/stored_run_ends.h"

using namespace citrongap;
using namespace citrongap::testing;

namespace {

const TopicId Jobs("keyed.jobs");

/// The job runs on "i-1" of 8 GPUs, all of which it uses. "vm-3" owns the pod
/// and can't read the state of the job.
struct LeftOutSite : LeaseSite {
  LeftOutSite() {
    BOOST_TEST(submit("vm-1") == "accepted");
    runFor(Millis(60));
    BOOST_REQUIRE(Fleet.running() == 1U);
    Task = Fleet.anyRun().second;
    for (const KeyedRecord &it : Store.records(Jobs))
      if (it.Key == stateKey(Job))
        ReadableState = *it.Value;
    const std::string laterFormat = "\x7f";
    Store.put(Jobs, {stateKey(Job), laterFormat});
    takeOverBy("vm-3");
  }
  void takeOverBy(const std::string &vm) {
    add(vm);
    runFor(Millis(300));
    for (const auto &[id, it] : std::exchange(Others, {{vm, true}}))
      kill(id);
    runFor(Millis(600));
  }
  /// The same, and it can read the state of the job.
  void takeOverAndRead(const std::string &vm) {
    Store.put(Jobs, {stateKey(Job), ReadableState});
    takeOverBy(vm);
  }

  TaskName Task;
  std::string ReadableState;
  std::map<std::string, bool> Others{{"vm-1", true}, {"vm-2", true}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(left_out_jobs)

// Guards against an owner that stops the runs of a job whose state it can't
// read, or lets their leases lapse.
BOOST_FIXTURE_TEST_CASE(runs_of_a_job_that_is_left_out_are_left_alone,
                        LeftOutSite) {
  BOOST_TEST(mostRunsWithin(Millis(1500)) == 1U);
  BOOST_TEST(Fleet.running() == 1U);
  BOOST_TEST(Fleet.at("i-1").Ended.empty());
}

// Guards against a later owner that can read the state and starts a run again
// whose end an owner without the state has acknowledged.
BOOST_FIXTURE_TEST_CASE(done_run_of_a_job_that_was_left_out_starts_only_once,
                        LeftOutSite) {
  Fleet.end("i-1", Task, RunOutcome::Done);
  runFor(Millis(600));
  BOOST_TEST(Fleet.at("i-1").Ended.empty());
  takeOverAndRead("vm-4");
  runFor(Millis(2500));
  BOOST_TEST(state("vm-4") == "completed");
  BOOST_TEST(Fleet.started() == 1U);
}

// The same, while the end was acknowledged by no one: the owner was lost before
// it had stored the end.
BOOST_FIXTURE_TEST_CASE(unstored_end_of_a_left_out_run_is_not_acknowledged,
                        LeftOutSite) {
  Vms.at("vm-3")->View.Faults.Silent = true;
  Fleet.end("i-1", Task, RunOutcome::Done);
  runFor(Millis(60));
  BOOST_TEST(Fleet.at("i-1").Ended.size() == 1U);
  takeOverAndRead("vm-4");
  runFor(Millis(2500));
  BOOST_TEST(state("vm-4") == "completed");
  BOOST_TEST(Fleet.started() == 1U);
}

// Guards against a failed run that counts as none once the job can be read.
BOOST_FIXTURE_TEST_CASE(failures_of_a_job_that_was_left_out_are_counted,
                        LeftOutSite) {
  Fleet.end("i-1", Task, RunOutcome::Failed);
  runFor(Millis(600));
  takeOverAndRead("vm-4");
  runFor(Millis(2500));
  BOOST_REQUIRE(Fleet.running() == 1U);
  Fleet.end("i-1", Task, RunOutcome::Failed);
  runFor(Millis(600));
  BOOST_TEST(state("vm-4") == "failed");
  BOOST_TEST(Fleet.started() == 2U);
}

// A run of a later build's record of ends must not start again either.
BOOST_FIXTURE_TEST_CASE(job_with_an_unreadable_end_of_a_run_is_left_out,
                        LeftOutSite) {
  Fleet.end("i-1", Task, RunOutcome::Done);
  runFor(Millis(600));
  RunEndReport end;
  end.Task = Task;
  end.Run = 1;
  const std::string laterFormat = "\x7f";
  Store.put(Jobs, {storedRunEnd({}, end).Key, laterFormat});
  takeOverAndRead("vm-4");
  runFor(Millis(2500));
  BOOST_TEST(Fleet.started() == 1U);
}

// Guards against starts beside a run that the planner doesn't have, on servers
// that start all they are told to.
BOOST_FIXTURE_TEST_CASE(left_out_run_keeps_its_room, LeftOutSite) {
  const WorkId other("5c0e7a21d94b36f9");
  BOOST_TEST(call("vm-3", CallerVerb::Submit, other) == "accepted");
  runFor(Millis(1000));
  BOOST_TEST(Fleet.started() == 1U);
  Fleet.end("i-1", Task, RunOutcome::Done);
  runFor(Millis(1000));
  BOOST_TEST(Fleet.started() == 2U);
}

// The same of starts that were placed before the server's first answer.
BOOST_FIXTURE_TEST_CASE(waiting_job_is_not_started_beside_a_left_out_run,
                        LeftOutSite) {
  const WorkId other("5c0e7a21d94b36f9");
  BOOST_TEST(call("vm-3", CallerVerb::Submit, other) == "accepted");
  runFor(Millis(300));
  takeOverBy("vm-4");
  runFor(Millis(1000));
  BOOST_TEST(Fleet.started() == 1U);
}

// Guards against a cancelled job that runs on since its state can't be read.
BOOST_FIXTURE_TEST_CASE(cancelled_job_that_is_left_out_is_stopped,
                        LeftOutSite) {
  BOOST_TEST(call("vm-3", CallerVerb::Cancel, Job) == "cancelled");
  runFor(Millis(300));
  BOOST_TEST(Fleet.running() == 0U);
  takeOverAndRead("vm-4");
  runFor(Millis(1000));
  BOOST_TEST(Fleet.started() == 1U);
  BOOST_TEST(state("vm-4") == "cancelled");
}

BOOST_AUTO_TEST_SUITE_END()
