// An entry VM that loads the jobs while they start and end knows each of them
// as the store does.
#include "entry_site.h"

using namespace citrongap;
using namespace citrongap::testing;

namespace {

const TopicId Jobs("keyed.jobs");

/// The first page of the jobs is long on its way, so that later pages are newer
/// than the end at which reading in order goes on.
struct LoadSite : EntrySite {
  static constexpr std::size_t PageBytes = 3000;
  static constexpr std::size_t LinkBytesPerSecond = 6000;

  LoadSite() {
    // Between the keys of submissions and those of states.
    for (const char *key : {"k1", "k2", "k3"})
      Store.put(Jobs, {key, std::string(PageBytes / 3, 'x')});
  }

  void startLoad(const std::string &id) {
    add(id);
    Vms.at(id)->View.LinkBytesPerSecond = LinkBytesPerSecond;
    runFor(Millis(40));
  }
  /// Waits until the store has sent as many bytes of latest values.
  void awaitBytes(const std::string &id, std::size_t n) {
    const MemoryStoreView &view = Vms.at(id)->View;
    for (int left = 1000; left > 0 && view.bytesSent() < n; --left)
      runFor(Millis(1));
    BOOST_REQUIRE(view.bytesSent() >= n);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(job_load, LoadSite)

// Guards against a job that is submitted and ends during a load: its end was
// dropped, and the next owner started it again.
BOOST_AUTO_TEST_CASE(job_that_ended_during_a_load_is_not_started_again) {
  startLoad("vm-3");
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.started() == 1U);
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(60));
  BOOST_REQUIRE(state("vm-1") == "completed");
  // Asks another entry VM, so the load has not ended.
  BOOST_REQUIRE(Vms.at("vm-3")->View.bytesSent() < 2 * LoadSite::PageBytes);
  runFor(Millis(600));
  kill("vm-1");
  kill("vm-2");
  runFor(Millis(400));
  BOOST_TEST(state("vm-3") == "completed");
  BOOST_TEST(Fleet.started() == 1U);
}

// Guards against an owner that reads a cancellation after it has recorded the
// job's end: it took the job up again in the state that it had read before.
BOOST_AUTO_TEST_CASE(cancellation_that_is_read_late_does_not_reopen_a_job) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.running() == 1U);
  Vms.at("vm-1")->View.Faults.SilentTopics = {Jobs};
  runFor(Millis(60));
  BOOST_TEST(call("vm-2", CallerVerb::Cancel, Job) == "cancelled");
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(60));
  BOOST_REQUIRE(state("vm-2") == "completed");
  Vms.at("vm-1")->View.Faults.SilentTopics.clear();
  runFor(Millis(150));
  BOOST_TEST(state("vm-1") == "completed");
  BOOST_TEST(state("vm-2") == "completed");
}

// Guards against an entry VM that was cut off for longer than the store keeps
// records: a job that ended and was deleted meanwhile stayed in its replica as
// running, and it started the job again as the next owner.
BOOST_AUTO_TEST_CASE(job_deleted_while_a_vm_was_cut_off_is_not_started_again) {
  add("vm-3");
  runFor(Millis(100));
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(state("vm-3") == "running");
  Vms.at("vm-3")->View.Faults.SilentTopics = {Jobs};
  runFor(Millis(60));
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(60));
  BOOST_REQUIRE(state("vm-1") == "completed");
  for (const std::string &key : {cancelKey(Job), stateKey(Job), specKey(Job)})
    Store.put(Jobs, {key, std::nullopt});
  Store.compact(Jobs);
  Vms.at("vm-3")->View.Faults.SilentTopics.clear();
  runFor(Millis(400));
  BOOST_TEST(state("vm-3") == "no_job");
  kill("vm-1");
  kill("vm-2");
  runFor(Millis(400));
  BOOST_TEST(Fleet.started() == 1U);
}

// Guards against a load that takes a job which this entry VM has accepted
// meanwhile for a deleted one.
BOOST_AUTO_TEST_CASE(job_submitted_during_a_load_stays_known) {
  Store.put(Servers, {"i-1", "draining"});
  add("vm-3");
  runFor(Millis(100));
  MemoryStoreView &view = Vms.at("vm-3")->View;
  view.Faults.SilentTopics = {Jobs};
  runFor(Millis(60));
  Store.put(Jobs, {"k1", std::string(PageBytes / 3, 'y')});
  Store.compact(Jobs);
  view.LinkBytesPerSecond = LinkBytesPerSecond;
  view.Faults.SilentTopics.clear();
  const std::size_t before = view.bytesSent();
  awaitBytes("vm-3", before + 1);
  BOOST_TEST(submit("vm-3") == "accepted");
  // The last page arrives, but no read in order is answered.
  awaitBytes("vm-3", before + PageBytes + 100);
  view.Faults.SilentTopics = {Jobs};
  runFor(Millis(60));
  BOOST_TEST(state("vm-3") == "queued");
  view.Faults.SilentTopics.clear();
  runFor(Millis(400));
  BOOST_TEST(state("vm-3") == "queued");
  kill("vm-1");
  kill("vm-2");
  Store.put(Servers, {"i-1", "ready"});
  runFor(Millis(500));
  BOOST_TEST(Fleet.started() == 1U);
}

// Guards against a state that this build can't read: a job that had ended by a
// later build's record was started again from the state before it.
BOOST_AUTO_TEST_CASE(job_of_an_unreadable_state_is_not_started_again) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  BOOST_REQUIRE(Fleet.started() == 1U);
  Fleet.end("i-1", Fleet.anyRun().second, RunOutcome::Done);
  runFor(Millis(60));
  BOOST_REQUIRE(state("vm-1") == "completed");
  const std::string laterFormat = "\x7f";
  Store.put(Jobs, {stateKey(Job), laterFormat});
  Store.put(Servers, {"i-2", "ready"});
  add("vm-3");
  runFor(Millis(600));
  kill("vm-1");
  kill("vm-2");
  runFor(Millis(1500));
  BOOST_TEST(Fleet.started() == 1U);
}

// Guards against an id that is deleted and submitted again during a load: its
// new state was loaded and is not delivered again, and the removal of its old
// submission, which is, dropped it.
BOOST_AUTO_TEST_CASE(state_loaded_of_a_new_life_outlives_the_old_submission) {
  WorkRegistry registry(Log);
  WorkSpec spec;
  spec.Id = Job;
  WorkRecord record;
  record.Phase = WorkPhase::Completed;
  registry.apply({specKey(Job), encode(spec)});
  registry.apply({stateKey(Job), encode(record)});
  registry.apply({cancelKey(Job), std::nullopt});
  registry.apply({specKey(Job), std::nullopt});
  registry.apply({specKey(Job), encode(spec)});
  BOOST_REQUIRE(registry.find(Job));
  BOOST_TEST((registry.find(Job)->Phase == WorkPhase::Completed));
}

// The same, with a new submission that was loaded and an old cancellation.
BOOST_AUTO_TEST_CASE(cancellation_of_an_old_life_does_not_cancel_the_new_one) {
  WorkRegistry registry(Log);
  WorkSpec spec;
  spec.Id = Job;
  registry.apply({cancelKey(Job), "1"});
  registry.apply({specKey(Job), encode(spec)});
  registry.apply({cancelKey(Job), std::nullopt});
  registry.apply({stateKey(Job), std::nullopt});
  BOOST_REQUIRE(registry.find(Job));
  BOOST_TEST(!registry.find(Job)->CancelRequested);
}

BOOST_AUTO_TEST_SUITE_END()
