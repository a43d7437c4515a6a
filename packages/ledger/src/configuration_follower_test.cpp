// Publishing and following under lost answers, outages and retention.
#include "citrongap/ledger/configuration_follower.h"

#include "mock_log.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;
using citrongap::testing::MockLog;
using citrongap::testing::runUntil;

namespace {

ConfigurationFollowerSettings quick() {
  ConfigurationFollowerSettings settings;
  settings.Reading = {Millis(50), Millis(50), Millis(5), Millis(5), Millis(20)};
  settings.SnapshotJitter = Millis(10);
  return settings;
}

ConfigurationChange weightChange(const std::string &id, std::uint64_t base,
                                 std::uint32_t weight) {
  PlanEntry entry;
  entry.Plan = PlanId("large");
  entry.Weight = weight;
  return {
      id, Revision(base), "amna", {{ConfigurationList::Plans, "large", entry}}};
}

struct Fixture {
  EventLoop Loop;
  MockLog Log{Loop};
  std::vector<PublishResult> Results;

  PublishCallback keep() {
    return [this](const PublishResult &it) { Results.push_back(it); };
  }
  static MonoTime soon(int ms = 1000) { return monoNow() + Millis(ms); }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(publish_survives_a_lost_append_answer, Fixture) {
  ConfigurationFollower node(Loop, Log, Random(1), quick());
  node.start();
  Log.LoseAnswers = 1;
  node.publish(weightChange("one", 0, 2), soon(), keep());
  BOOST_TEST(runUntil(Loop, [&] { return !Results.empty(); }));
  BOOST_TEST(std::holds_alternative<ConfigurationAccepted>(Results.at(0)));
  BOOST_TEST(Log.Appends == 1);
}

BOOST_FIXTURE_TEST_CASE(racing_publishers_get_one_winner, Fixture) {
  ConfigurationFollower first(Loop, Log, Random(1), quick());
  ConfigurationFollower second(Loop, Log, Random(2), quick());
  first.start();
  second.start();
  first.publish(weightChange("one", 0, 2), soon(), keep());
  second.publish(weightChange("two", 0, 3), soon(), keep());
  BOOST_TEST(runUntil(Loop, [&] { return Results.size() == 2; }));
  BOOST_TEST(std::holds_alternative<ConfigurationAccepted>(Results.at(0)) !=
             std::holds_alternative<ConfigurationAccepted>(Results.at(1)));
  BOOST_TEST((first.configuration() == second.configuration()));
}

BOOST_FIXTURE_TEST_CASE(unconfirmed_change_may_land_later, Fixture) {
  ConfigurationFollower node(Loop, Log, Random(1), quick());
  node.start();
  Log.HoldAppends = 100;
  node.publish(weightChange("one", 0, 2), soon(50), keep());
  BOOST_TEST(runUntil(Loop, [&] { return !Results.empty(); }));
  BOOST_TEST(std::get<Unconfirmed>(Results.at(0)).MayStillLand);
  Log.land();
  BOOST_TEST(runUntil(Loop, [&] { return node.revision() == Revision(1); }));
}

BOOST_FIXTURE_TEST_CASE(change_on_an_unknown_revision_is_never_sent, Fixture) {
  ConfigurationFollower node(Loop, Log, Random(1), quick());
  node.start();
  node.publish(weightChange("one", 7, 2), soon(50), keep());
  BOOST_TEST(runUntil(Loop, [&] { return !Results.empty(); }));
  BOOST_TEST(!std::get<Unconfirmed>(Results.at(0)).MayStillLand);
  BOOST_TEST(Log.Appends == 0);
}

BOOST_FIXTURE_TEST_CASE(configuration_stays_through_an_outage, Fixture) {
  ConfigurationFollower node(Loop, Log, Random(1), quick());
  int announced = 0;
  node.InForce.connect([&](const Configuration &, Revision) { ++announced; });
  node.start();
  node.publish(weightChange("one", 0, 2), soon(), keep());
  BOOST_TEST(runUntil(Loop, [&] { return node.logReachable(); }));
  Log.Outage = true;
  BOOST_TEST(runUntil(Loop, [&] { return !node.logReachable(); }));
  BOOST_TEST(node.revision().value() == 1U);
  Log.Outage = false;
  Log.store({encodeChange(weightChange("two", 1, 3))});
  BOOST_TEST(runUntil(Loop, [&] { return node.revision() == Revision(2); }));
  BOOST_TEST(announced == 2);
}

BOOST_FIXTURE_TEST_CASE(new_node_learns_from_a_peer_in_an_outage, Fixture) {
  ConfigurationFollower node(Loop, Log, Random(1), quick());
  node.start();
  node.publish(weightChange("one", 0, 2), soon(), keep());
  BOOST_TEST(runUntil(Loop, [&] { return !Results.empty(); }));
  ConfigurationFollower fresh(Loop, Log, Random(2), quick());
  BOOST_TEST(fresh.importState(node.exportState()));
  BOOST_TEST(fresh.revision().value() == 1U);
  BOOST_TEST(!node.importState(fresh.exportState()));
  BOOST_TEST(!node.importState("{"));
}

BOOST_FIXTURE_TEST_CASE(snapshot_is_written_before_retention_cuts, Fixture) {
  auto settings = quick();
  settings.SnapshotDistance = 3;
  ConfigurationFollower first(Loop, Log, Random(1), settings);
  ConfigurationFollower second(Loop, Log, Random(2), settings);
  first.start();
  second.start();
  for (std::uint64_t i = 0; i < 3; ++i)
    Log.store({encodeChange(weightChange(std::to_string(i), i, 2))});
  BOOST_TEST(runUntil(Loop, [&] {
    return second.log().newestSnapshot() && first.log().newestSnapshot();
  }));
  Log.dropBefore(LogOffset(3));
  ConfigurationFollower fresh(Loop, Log, Random(3), settings);
  fresh.start();
  BOOST_TEST(runUntil(Loop, [&] { return fresh.revision() == Revision(3); }));
  BOOST_TEST((fresh.configuration() == first.configuration()));
}

BOOST_FIXTURE_TEST_CASE(quiet_log_is_read_at_most_once_a_pace, Fixture) {
  auto settings = quick();
  settings.Reading.LongPoll = Millis(0);
  settings.Reading.Pace = Millis(40);
  ConfigurationFollower node(Loop, Log, Random(1), settings);
  node.start();
  Loop.runUntil(monoNow() + Millis(400));
  BOOST_TEST(Log.Reads <= 11);
  BOOST_TEST(Log.Reads >= 3);
}
