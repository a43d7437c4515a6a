// What is reported of work that waits although servers have room for it.
#include "planner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

struct Fixture : PlannerFixture {
  /// Rounds every 100 ms.
  void pass(Millis span) {
    for (const MonoTime until = Now + span; Now < until;)
      confirm(planAfter(Millis(100)));
  }

  std::optional<PassedOver> reasonOf(const std::string &id) const {
    for (const IdleStep &it : Planner.idleSteps())
      if (it.Task.Work == WorkId(id))
        return it.mainReason();
    return std::nullopt;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(idle_work, Fixture)

BOOST_AUTO_TEST_CASE(server_kept_for_a_gang_is_reported) {
  addServers(3);
  WorkSpec busy = job("busy", 2, 8, false);
  busy.Steps[0].Requested.CpuMillis = 100000;
  submit(busy);
  confirm(plan());
  submit(job("gang", 3, 8, true));
  // The gang keeps the free server from then on.
  pass(Millis(500));
  submit(job("small", 1, 1, false, 2));
  pass(Millis(3100));
  BOOST_TEST((reasonOf("small") == PassedOver::Kept));
}

BOOST_AUTO_TEST_CASE(server_in_quarantine_is_reported) {
  addServers(1);
  for (const char *id : {"bad-1", "bad-2"}) {
    submit(job(id, 1, 8, false));
    const PlannedRound round = plan();
    BOOST_REQUIRE(round.Starts.size() == 1U);
    end(round.Starts[0], RunOutcome::Failed);
    Planner.cancel(WorkId(id), WallMs);
  }
  submit(job("waits", 1, 1, false));
  pass(Millis(3000));
  BOOST_TEST((reasonOf("waits") == PassedOver::Quarantined));
}

BOOST_AUTO_TEST_CASE(work_without_room_is_not_reported) {
  addServers(1);
  submit(job("busy", 1, 8, false));
  confirm(plan());
  submit(job("waits", 1, 1, false));
  pass(Millis(5000));
  BOOST_TEST(Planner.idleSteps().empty());
}

BOOST_AUTO_TEST_SUITE_END()
