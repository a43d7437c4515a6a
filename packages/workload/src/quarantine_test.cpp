// Ways out of quarantine: what ends a probe.
#include "planner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

/// Due time of the first probe.
constexpr Seconds Due{5};

struct Fixture : PlannerFixture {
  /// A job that runs only on the first server of a pod of two.
  static WorkSpec jobOnFirst(const std::string &id, std::uint32_t tasks,
                             std::int64_t gpus, bool gang) {
    WorkSpec spec = job(id, tasks, gpus, gang);
    spec.Steps[0].RequiredLabel = "first";
    return spec;
  }

  void addTwoServers() {
    addServers(2);
    ServerEntry first = Planner.servers().find(incarnation(0).Id)->Entry;
    first.Labels.emplace_back("first");
    Planner.putServer(first, Now);
  }

  /// Two jobs fail on the first server, which is in quarantine then.
  void quarantineFirst() {
    for (const char *id : {"bad-1", "bad-2"}) {
      submit(jobOnFirst(id, 1, 8, false));
      const PlannedRound round = plan();
      BOOST_REQUIRE(round.Starts.size() == 1U);
      end(round.Starts[0], RunOutcome::Failed);
      Planner.cancel(WorkId(id), WallMs);
    }
    submit(jobOnFirst("refused", 1, 1, false));
    BOOST_REQUIRE(plan().Starts.empty());
    Planner.cancel(WorkId("refused"), WallMs);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quarantine, Fixture)

BOOST_AUTO_TEST_CASE(probe_ends_with_the_lease_of_its_server) {
  addTwoServers();
  quarantineFirst();
  submit(jobOnFirst("a", 1, 1, false));
  const PlannedRound probe = planAfter(Due);
  BOOST_REQUIRE(probe.Starts.size() == 1U);
  Planner.setReachable(incarnation(0).Id, false);
  Planner.expireLeases(incarnation(0), Now);
  BOOST_TEST(planAfter(Seconds(1)).Starts.empty());
  Planner.setReachable(incarnation(0).Id, true);
  const PlannedRound next = plan();
  BOOST_REQUIRE(next.Starts.size() == 1U);
  BOOST_TEST((next.Starts[0].Server == incarnation(0)));
}

BOOST_AUTO_TEST_CASE(end_of_an_older_run_does_not_end_the_probe) {
  addTwoServers();
  WorkSpec older = jobOnFirst("older", 1, 1, false);
  submit(older);
  const PlannedRound first = plan();
  BOOST_REQUIRE(first.Starts.size() == 1U);
  confirm(first);
  for (const char *id : {"bad-1", "bad-2"}) {
    submit(jobOnFirst(id, 1, 7, false));
    end(plan().Starts.at(0), RunOutcome::Failed);
    Planner.cancel(WorkId(id), WallMs);
  }
  submit(jobOnFirst("probe", 1, 1, false));
  submit(jobOnFirst("waiting", 1, 1, false));
  const PlannedRound probe = planAfter(Due);
  BOOST_REQUIRE(probe.Starts.size() == 1U);
  end(first.Starts[0], RunOutcome::Stopped);
  BOOST_TEST(plan().Starts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
