// An owner whose server list is behind, or whose start had no answer, starts
// nothing on a server that has announced that it leaves.
#include "entry_site.h"

using namespace citrongap;
using namespace citrongap::testing;

namespace {

struct StaleListSite : EntrySite {
  /// The owner gets no answers about the server list.
  void loseList(bool lost) {
    auto &topics = Vms.at("vm-1")->View.Faults.SilentTopics;
    if (lost)
      topics.insert(Servers);
    else
      topics.clear();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stale_list, StaleListSite)

// The reader of the list got no answers, and the owner started work on servers
// that had been leaving for longer than it is allowed to.
BOOST_AUTO_TEST_CASE(nothing_starts_by_a_list_that_is_too_old) {
  loseList(true);
  runFor(Millis(300));
  Store.put(Servers, {"i-1", "draining"});
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(100));
  BOOST_TEST(Fleet.started() == 0U);
  loseList(false);
  Store.put(Servers, {"i-2", "ready"});
  runFor(Millis(1300));
  BOOST_TEST(Fleet.at("i-1").Started.empty());
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

// Work that waited for the list must not wait any longer once it is current.
BOOST_AUTO_TEST_CASE(waiting_work_starts_once_the_list_is_current) {
  loseList(true);
  runFor(Millis(300));
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(100));
  BOOST_TEST(Fleet.started() == 0U);
  loseList(false);
  for (int n = 0; n < 130 && Fleet.started() == 0; ++n)
    runFor(Millis(10));
  BOOST_TEST(Fleet.at("i-1").Started.size() == 1U);
}

// A start without an answer was sent again for seconds to a server that had
// announced that it leaves.
BOOST_AUTO_TEST_CASE(start_without_an_answer_moves_off_a_leaving_server) {
  Fleet.at("i-1").DelayStarts = true;
  BOOST_TEST(submit("vm-1") == "accepted");
  runFor(Millis(20));
  Store.put(Servers, {"i-1", "draining"});
  Store.put(Servers, {"i-2", "ready"});
  runFor(Millis(100));
  Fleet.at("i-1").DelayStarts = false;
  runFor(Millis(300));
  BOOST_TEST(Fleet.at("i-1").Started.empty());
  BOOST_TEST(Fleet.at("i-2").Started.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
