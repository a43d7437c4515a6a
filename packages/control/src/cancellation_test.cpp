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

BOOST_AUTO_TEST_SUITE_END()
