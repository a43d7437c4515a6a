// What callers are told of the cancellation of a job that another entry VM has
// accepted.
#include "entry_site.h"

using namespace citrongap;
using namespace citrongap::testing;

namespace {

const TopicId Jobs("keyed.jobs");

struct CancellationSite : EntrySite {
  std::string cancel(const std::string &vm, const WorkId &id,
                     Millis limit = Millis(150)) {
    return call(vm, CallerVerb::Cancel, id, "", Key, limit);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cancellation, CancellationSite)

// Guards against "no such job" for a job that was accepted since the jobs were
// last read: its caller asked no more, and the job ran.
BOOST_AUTO_TEST_CASE(job_accepted_since_the_last_read_is_not_called_unknown) {
  Vms.at("vm-2")->View.Faults.SilentTopics = {Jobs};
  runFor(Millis(60));
  BOOST_TEST(submit("vm-1") == "accepted");
  BOOST_TEST(cancel("vm-2", Job) == "not_run");
  Vms.at("vm-2")->View.Faults.SilentTopics.clear();
  runFor(Millis(60));
  BOOST_TEST(cancel("vm-2", Job) == "cancelled");
}

// The same, while the read that will show it takes long.
BOOST_AUTO_TEST_CASE(cancellation_waits_for_a_read_that_follows_it) {
  Vms.at("vm-2")->View.Faults.SilentTopics = {Jobs};
  runFor(Millis(60));
  BOOST_TEST(submit("vm-1") == "accepted");
  const Timer recovery = Loop.at(monoNow() + Millis(60), [this] {
    Vms.at("vm-2")->View.Faults.SilentTopics.clear();
  });
  BOOST_TEST(cancel("vm-2", Job, Millis(500)) == "cancelled");
}

// Guards against a cancellation of a job that does not exist and is never
// answered as such.
BOOST_AUTO_TEST_CASE(unknown_job_is_called_unknown_after_a_read) {
  for (const char *vm : {"vm-1", "vm-2"})
    BOOST_TEST(cancel(vm, WorkId("00000000000000aa")) == "no_job");
}

// Guards against a submission that its entry VM stores after its caller was
// told "unknown" and another entry VM called its cancellation "no such job":
// the job ran.
BOOST_AUTO_TEST_CASE(submission_stored_after_its_cancellation_never_runs) {
  Vms.at("vm-2")->View.Faults.Silent = true;
  BOOST_TEST(submit("vm-2") == "unknown");
  BOOST_TEST(cancel("vm-1", Job) == "no_job");
  Vms.at("vm-2")->View.Faults.Silent = false;
  runFor(Millis(200));
  BOOST_TEST(Fleet.started() == 0U);
  for (const char *vm : {"vm-1", "vm-2"})
    BOOST_TEST(state(vm) == "cancelled");
}

// The same, under an owner that has loaded the cancellation from the store.
BOOST_AUTO_TEST_CASE(next_owner_knows_of_the_cancellation) {
  Vms.at("vm-2")->View.Faults.Silent = true;
  BOOST_TEST(submit("vm-2") == "unknown");
  BOOST_TEST(cancel("vm-1", Job) == "no_job");
  Store.compact(Jobs);
  add("vm-3");
  runFor(Millis(200));
  kill("vm-1");
  Vms.at("vm-2")->View.Faults.Silent = false;
  runFor(Millis(500));
  BOOST_TEST(Fleet.started() == 0U);
  BOOST_TEST(state("vm-3") == "cancelled");
}

BOOST_AUTO_TEST_CASE(cancelled_id_is_not_accepted_again) {
  BOOST_TEST(cancel("vm-1", Job) == "no_job");
  runFor(Millis(60));
  for (const char *vm : {"vm-1", "vm-2"})
    BOOST_TEST(submit(vm) == "invalid");
}

// Guards against a client account that cancels another one's job before that is
// known.
BOOST_AUTO_TEST_CASE(early_cancellation_by_another_account_has_no_effect) {
  BOOST_TEST(call("vm-1", CallerVerb::Cancel, Job, "", "key-2") == "no_job");
  runFor(Millis(60));
  BOOST_TEST(submit("vm-2") == "accepted");
  runFor(Millis(60));
  BOOST_TEST(state("vm-1") == "running");
}

// Guards against cancellations without a submission that gather in the store.
BOOST_AUTO_TEST_CASE(early_cancellations_are_removed) {
  kill("vm-1");
  kill("vm-2");
  CleanupInterval = Millis(100);
  EarlyCancellationRetention = Millis(300);
  add("vm-3");
  runFor(Millis(400));
  BOOST_TEST(cancel("vm-3", Job) == "no_job");
  BOOST_TEST(submit("vm-3") == "invalid");
  runFor(Millis(600));
  BOOST_TEST(submit("vm-3") == "accepted");
  runFor(Millis(60));
  BOOST_TEST(state("vm-3") == "running");
}

BOOST_AUTO_TEST_SUITE_END()
