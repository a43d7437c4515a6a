// One member of a group holds the topic; who can't reach the store does not.
#include "citrongap/store/memory_store.h"
#include "citrongap/store/owner_election.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const TopicId Jobs("keyed.jobs");
constexpr ElectionOptions QuickTerms{Millis(100), Millis(20), Millis(30),
                                     Millis(5),   false,      Millis(20)};

struct Fixture {
  EventLoop Loop;
  MemoryStore Store{Loop};
  MemoryStoreView FirstView{Store};
  MemoryStoreView SecondView{Store};
  OwnerElection First{Loop, FirstView, "owners", "vm-1", Jobs, QuickTerms};
  OwnerElection Second{Loop, SecondView, "owners", "vm-2", Jobs, QuickTerms};

  void runFor(Millis span) { Loop.runUntil(monoNow() + span); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(owner_election, Fixture)

BOOST_AUTO_TEST_CASE(second_member_takes_over_when_the_first_leaves) {
  First.start();
  runFor(Millis(10));
  Second.start();
  runFor(Millis(50));
  BOOST_TEST(First.isOwner());
  BOOST_TEST(!Second.isOwner());
  First.leave();
  BOOST_TEST(!First.isOwner());
  runFor(Millis(60));
  BOOST_TEST(Second.isOwner());
}

BOOST_AUTO_TEST_CASE(holder_without_the_store_gives_up_before_its_time_lapses) {
  int changes = 0;
  First.OnChange = [&](bool) { ++changes; };
  First.start();
  runFor(Millis(30));
  BOOST_TEST(First.isOwner());
  FirstView.Faults.Busy = true;
  runFor(Millis(200));
  BOOST_TEST(!First.isOwner());
  BOOST_TEST(changes == 2);
}

BOOST_AUTO_TEST_CASE(reluctant_member_joins_only_when_nobody_holds_the_topic) {
  ElectionOptions terms = QuickTerms;
  terms.Standby = true;
  OwnerElection small(Loop, SecondView, "owners", "vm-3", Jobs, terms);
  First.start();
  small.start();
  runFor(Millis(120));
  BOOST_TEST(First.isOwner());
  First.leave();
  runFor(Millis(120));
  BOOST_TEST(small.isOwner());
}

BOOST_AUTO_TEST_SUITE_END()
