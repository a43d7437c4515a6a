// The membership protocol on a virtual clock: loss, cuts, pauses, restarts,
// leaving, the lagging list, and malformed datagrams.
#include "fake_network.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const EntryVmId Victim = vmId(3);

struct Fixture {
  FakeNetwork Net{20261204};

  Fixture() {
    Net.addAll(8, 1);
    // Two rounds of probes: everyone has heard from everyone.
    Net.run(Millis(8000));
    Net.Observations.clear();
  }

  std::size_t observed(MemberState state) const {
    return static_cast<std::size_t>(std::count_if(
        Net.Observations.begin(), Net.Observations.end(),
        [state](const auto &it) { return it.About.State == state; }));
  }
  /// Until everyone sees it, a minute at most.
  Millis timeUntil(const EntryVmId &about, MemberState state) {
    const MonoTime start = Net.now();
    while (!Net.allSee(about, state) && Net.now() - start < Millis(60000))
      Net.run(Millis(10));
    return Net.now() - start;
  }
};

bool crossesDataCentres(const Member &from, const Member &to) {
  return from.DataCentre != to.DataCentre;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(swim_state, Fixture)

BOOST_AUTO_TEST_CASE(quiet_group_changes_nothing) {
  Net.run(Millis(60000));
  BOOST_TEST(Net.Observations.size() == 0U);
}

BOOST_AUTO_TEST_CASE(dead_member_is_suspected_first_then_dead) {
  Net.kill(Victim);
  const Millis suspected = timeUntil(Victim, MemberState::Suspect);
  const Millis dead = timeUntil(Victim, MemberState::Dead);
  BOOST_TEST(suspected.count() <= 2500);
  BOOST_TEST(dead.count() >= 1500);
  BOOST_TEST((suspected + dead).count() <= 6000);
}

BOOST_AUTO_TEST_CASE(paused_member_refutes_its_suspicion) {
  Net.freeze(Victim);
  Net.run(Millis(2000));
  BOOST_TEST(observed(MemberState::Suspect) > 0U);
  Net.thaw(Victim);
  Net.run(Millis(3000));
  BOOST_TEST(Net.allSee(Victim, MemberState::Alive));
  BOOST_TEST(observed(MemberState::Dead) == 0U);
  BOOST_TEST(Net.state(Victim).self().Incarnation > memberOf(3, 0).Incarnation);
}

BOOST_AUTO_TEST_CASE(pauses_of_a_second_kill_nobody_in_a_large_group) {
  for (const std::uint64_t seed : {8U, 10U}) {
    FakeNetwork net(seed);
    net.addAll(150, 15);
    net.run(Millis(10000));
    for (std::size_t n = 0; n < 8; ++n) {
      net.freeze(vmId(n));
      net.run(Millis(1000));
      net.thaw(vmId(n));
      net.run(Millis(1000));
    }
    net.run(Millis(6000));
    for (const auto &it : net.Observations)
      BOOST_TEST((it.About.State != MemberState::Dead));
  }
}

BOOST_AUTO_TEST_CASE(member_that_wakes_declares_nobody_dead) {
  Net.freeze(Victim);
  Net.run(Millis(30000));
  BOOST_TEST(Net.allSee(Victim, MemberState::Dead));
  Net.Observations.clear();
  Net.thaw(Victim);
  Net.run(Millis(20000));
  for (const auto &it : Net.Observations)
    BOOST_TEST((it.About.Id == Victim || it.About.State == MemberState::Alive));
  BOOST_TEST(Net.allSee(Victim, MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(timers_that_are_due_on_waking_judge_nobody) {
  const MonoTime start = monoFromMillis(1000000);
  SwimState state(memberOf(0, 0), Random(1), SwimSettings(), start);
  state.setListed(start, {memberOf(1, 0), memberOf(2, 0)});
  SwimMessage news;
  news.Kind = SwimKind::News;
  news.Sender = memberOf(1, 0);
  news.Updates = {memberOf(2, 0)};
  news.Updates.front().State = MemberState::Suspect;
  // A probe is open and a suspicion runs when the process is paused.
  for (int ms = 0; ms <= 600; ms += 100)
    state.tick(start + Millis(ms));
  state.receive(start + Millis(650), news.Sender.Address, news);
  state.takeChanges();
  state.tick(start + Millis(30000));
  for (const SwimChange &it : state.takeChanges())
    BOOST_TEST((it.About.State == MemberState::Alive));
  BOOST_TEST((state.members().at(2).State == MemberState::Suspect));
}

BOOST_AUTO_TEST_CASE(lost_datagrams_kill_nobody) {
  Net.Loss = 0.1;
  Net.run(Millis(120000));
  BOOST_TEST(observed(MemberState::Dead) == 0U);
}

BOOST_AUTO_TEST_CASE(cut_between_two_members_kills_neither) {
  Net.IsCut = [](const Member &a, const Member &b) {
    return (a.Id == Victim && b.Id == vmId(5)) ||
           (b.Id == Victim && a.Id == vmId(5));
  };
  Net.run(Millis(60000));
  BOOST_TEST(observed(MemberState::Suspect) == 0U);
}

BOOST_AUTO_TEST_CASE(leaving_is_seen_at_once_and_is_not_refuted) {
  Net.state(Victim).leave(Net.now());
  BOOST_TEST(timeUntil(Victim, MemberState::Leaving).count() <= 50);
  Net.run(Millis(10000));
  BOOST_TEST(Net.allSee(Victim, MemberState::Leaving));
  Net.kill(Victim);
  BOOST_TEST(timeUntil(Victim, MemberState::Dead).count() <= 3000);
}

BOOST_AUTO_TEST_CASE(restart_is_seen_by_its_new_incarnation) {
  const auto before = Net.view(vmId(0), Victim)->Incarnation;
  Net.restart(Victim);
  Net.state(Victim).setListed(Net.now(), {memberOf(0, 0)});
  Net.run(Millis(3000));
  BOOST_TEST(Net.view(vmId(0), Victim)->Incarnation > before);
  BOOST_TEST(Net.allSee(Victim, MemberState::Alive));
  // It was told of one member and learnt the others.
  BOOST_TEST(Net.state(Victim).members().size() == 8U);
}

BOOST_AUTO_TEST_CASE(restart_with_an_older_clock_overtakes_its_past) {
  Member self = memberOf(3, 0);
  self.Incarnation = 5;
  Net.start(self);
  Net.state(Victim).setListed(Net.now(), {memberOf(0, 0)});
  Net.run(Millis(3000));
  BOOST_TEST(Net.state(Victim).self().Incarnation > memberOf(3, 0).Incarnation);
  BOOST_TEST(Net.allSee(Victim, MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(listed_member_that_never_answers_is_dead) {
  std::vector<Member> listed;
  for (std::size_t n = 0; n < 9; ++n)
    listed.push_back(memberOf(n, 0));
  Net.list(listed);
  BOOST_TEST(Net.allSee(vmId(8), MemberState::Alive));
  BOOST_TEST(timeUntil(vmId(8), MemberState::Dead).count() <= 6000);
  Net.run(Millis(90000));
  BOOST_TEST(Net.allSee(vmId(8), MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(unlisted_member_stays_while_it_answers) {
  std::vector<Member> listed;
  for (std::size_t n = 0; n < 8; ++n)
    if (vmId(n) != Victim)
      listed.push_back(memberOf(n, 0));
  Net.list(listed);
  Net.run(Millis(90000));
  BOOST_TEST(Net.allSee(Victim, MemberState::Alive));
  Net.kill(Victim);
  Net.run(Millis(75000));
  BOOST_TEST(!Net.view(vmId(0), Victim).has_value());
}

BOOST_AUTO_TEST_CASE(newer_revision_is_seen_by_all) {
  Net.state(Victim).setRevision(Revision(41));
  Net.run(Millis(10000));
  for (const auto &id : Net.ids())
    BOOST_TEST(Net.view(id, Victim)->InForce.value() == 41U);
}

BOOST_AUTO_TEST_CASE(cut_data_centres_find_each_other_again) {
  FakeNetwork net(20261205);
  net.addAll(12, 3);
  net.run(Millis(3000));
  net.IsCut = crossesDataCentres;
  net.run(Millis(120000));
  const auto near = net.view(vmId(0), vmId(3));
  const auto far = net.view(vmId(0), vmId(1));
  BOOST_TEST((near->State == MemberState::Alive));
  BOOST_TEST((far->State == MemberState::Dead));
  net.IsCut = nullptr;
  net.run(Millis(60000));
  for (const auto &id : net.ids())
    BOOST_TEST(net.allSee(id, MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(datagrams_stay_bounded_when_many_change) {
  FakeNetwork net(7);
  net.addAll(60, 3);
  net.run(Millis(5000));
  for (std::size_t n = 0; n < 20; ++n)
    net.kill(vmId(n));
  net.run(Millis(20000));
  BOOST_TEST(net.largestDatagram() <= MaxDatagramBytes);
  BOOST_TEST(net.allSee(vmId(7), MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(cost_does_not_grow_with_the_members) {
  const auto bytesPerNode = [](std::size_t members) {
    FakeNetwork net(1);
    net.addAll(members, members / 8);
    net.run(Millis(20000));
    const auto before = net.bytes();
    net.run(Millis(10000));
    return (net.bytes() - before) / members;
  };
  BOOST_TEST(bytesPerNode(96) <= bytesPerNode(16) * 11 / 10);
}

BOOST_AUTO_TEST_CASE(malformed_datagrams_are_ignored) {
  constexpr int Rounds = 20000;
  Random random(99);
  SwimMessage message;
  message.Sender = memberOf(1, 0);
  message.Updates = {memberOf(3, 0)};
  const std::string good = encodeSwim(message);
  SwimState &state = Net.state(vmId(0));
  for (int i = 0; i < Rounds; ++i) {
    std::string bytes = good;
    for (int j = 0; j < 4; ++j)
      bytes[random.between(1, bytes.size() - 1)] =
          static_cast<char>(random.between(0, 255));
    if (const auto it = decodeSwim(bytes))
      state.receive(Net.now(), it->Sender.Address, *it);
  }
  BOOST_TEST(!decodeSwim(std::string(MaxDatagramBytes + 1, '\1')));
  BOOST_TEST(state.self().Id.str() == "vm-0");
}

BOOST_AUTO_TEST_SUITE_END()
