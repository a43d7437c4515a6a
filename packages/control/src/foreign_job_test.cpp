// Jobs of two client accounts under one id.
#include "entry_site.h"

using namespace citrongap;
using namespace citrongap::testing;

// Guards against a job that is called accepted and never runs, because its id
// is that of another account's job.
BOOST_FIXTURE_TEST_CASE(id_of_another_accounts_job_is_refused, EntrySite) {
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(60));
  for (const char *vm : {"vm-1", "vm-2"}) {
    BOOST_TEST(call(vm, CallerVerb::Submit, Job, "y", "key-2") == "invalid");
    BOOST_TEST(call(vm, CallerVerb::Query, Job, "", "key-2") == "no_job");
    BOOST_TEST(call(vm, CallerVerb::Cancel, Job, "", "key-2") == "no_job");
    // The owner's retries are answered as before.
    BOOST_TEST(submit(vm) == "accepted");
    BOOST_TEST(state(vm) == "running");
  }
  BOOST_TEST(Fleet.started() == 1U);
}
