// Membership over real UDP sockets on loopback.
#include "citrongap/peer/swim_membership.h"

#include "citrongap/testing/loopback.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace citrongap;

namespace {

Member memberAt(unsigned host) {
  Member out;
  out.Id = EntryVmId("vm-" + std::to_string(host));
  out.DataCentre = DataCentreId("lahore-1");
  out.Address = {testing::loopbackIp(host), 18481};
  return out;
}

SwimSettings fastSettings() {
  SwimSettings out;
  out.Period = Millis(200);
  out.AckTimeout = Millis(50);
  out.Suspicion = Millis(400);
  return out;
}

MemberState stateOf(const SwimMembership &by, const Member &about) {
  for (const Member &it : by.members())
    if (it.Id == about.Id)
      return it.State;
  return MemberState::Dead;
}

struct Fixture {
  EventLoop Loop;
  std::vector<Member> All{memberAt(1), memberAt(2)};
  SwimMembership One{Loop, All[0], Random(1), fastSettings()};
  std::optional<SwimMembership> Two;

  Fixture() {
    Two.emplace(Loop, All[1], Random(2), fastSettings());
    BOOST_REQUIRE(One.listening());
    BOOST_REQUIRE(Two->listening());
    One.setListed(All);
    Two->setListed(All);
  }
  void runFor(Millis span) { Loop.runUntil(monoNow() + span); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(swim_membership, Fixture)

BOOST_AUTO_TEST_CASE(member_that_ends_is_dead_and_returns_when_restarted) {
  runFor(Millis(700));
  const auto first = One.members().at(1).Incarnation;
  BOOST_TEST(first > 0U);
  Two.reset();
  runFor(Millis(1500));
  BOOST_TEST((stateOf(One, All[1]) == MemberState::Dead));
  Two.emplace(Loop, All[1], Random(3), fastSettings());
  Two->setListed(All);
  runFor(Millis(1000));
  BOOST_TEST((stateOf(One, All[1]) == MemberState::Alive));
  BOOST_TEST(One.members().at(1).Incarnation > first);
}

BOOST_AUTO_TEST_CASE(leave_and_revision_are_signalled) {
  std::vector<Member> seen;
  One.Changed.connect([&](const Member &it) { seen.push_back(it); });
  Two->setRevision(Revision(9));
  runFor(Millis(700));
  BOOST_REQUIRE(!seen.empty());
  BOOST_TEST(seen.back().InForce.value() == 9U);
  Two->leave();
  runFor(Millis(50));
  BOOST_TEST((seen.back().State == MemberState::Leaving));
}

BOOST_AUTO_TEST_CASE(address_in_use_is_told) {
  const SwimMembership third(Loop, All[0], Random(4));
  BOOST_TEST(!third.listening());
}

BOOST_AUTO_TEST_SUITE_END()
