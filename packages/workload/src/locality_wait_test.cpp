// How long work waits for a server near its data.
#include "planner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

/// Work that lasts may be away for as long while there is room; the platform's
/// bound.
constexpr Millis LongestAbsence{3000};

struct LocalityFixture : PlannerFixture {
  /// A job of two tasks runs in its data rack, which it fills; "i-1" is lost.
  /// Returns the time until its task starts again. Other racks are empty.
  Millis waitAfterLoss(bool lasting) {
    addServers(7);
    WorkSpec spec = job("a", 2, 8, false);
    spec.LongRunning = lasting;
    spec.Steps[0].EstimateMs = 20000;
    spec.Steps[0].DataRack = RackId("r0");
    submit(spec);
    const PlannedRound round = plan();
    BOOST_REQUIRE(round.Starts.size() == 2U);
    confirm(round);
    Planner.removeIncarnation(incarnation(1), Now);
    Millis waited(0);
    while (waited < Seconds(60) && planAfter(Millis(100)).Starts.empty())
      waited += Millis(100);
    return waited;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(locality_wait, LocalityFixture)

// Guards against lasting work that waits for the break-even of a run time that
// it does not have, in a rack that is full for good.
BOOST_AUTO_TEST_CASE(lasting_work_starts_elsewhere_when_its_rack_is_full) {
  BOOST_TEST(waitAfterLoss(true).count() < LongestAbsence.count());
}

BOOST_AUTO_TEST_CASE(other_work_waits_for_its_rack_as_long_as_that_pays) {
  BOOST_TEST(waitAfterLoss(false).count() >= Millis(20000).count());
}

// Guards against a job of which nothing runs for 3 s beside many free servers,
// while it waits for its data rack.
BOOST_AUTO_TEST_CASE(idle_job_starts_elsewhere_on_a_quiet_service) {
  addServers(8);
  WorkSpec busy = job("a", 2, 8, false, 0);
  busy.Steps[0].DataRack = RackId("r0");
  submit(busy);
  WorkSpec spec = job("b", 2, 8, true);
  spec.Steps[0].EstimateMs = 20000;
  spec.Steps[0].DataRack = RackId("r0");
  submit(spec);
  confirm(plan());
  BOOST_TEST(planAfter(Millis(1000)).Starts.empty());
  Millis waited(1000);
  while (waited < LongestAbsence && planAfter(Millis(100)).Starts.empty())
    waited += Millis(100);
  BOOST_TEST(waited.count() < LongestAbsence.count());
}

// Guards against a second step that leaves its data at once, as if it had
// waited while the first one ran.
BOOST_AUTO_TEST_CASE(step_waits_for_its_rack_after_the_step_before_it) {
  addServers(8);
  WorkSpec busy = job("a", 2, 8, false, 0);
  busy.Steps[0].DataRack = RackId("r0");
  submit(busy);
  WorkSpec spec = job("b", 1, 1, false);
  spec.Steps[0].EstimateMs = 20000;
  spec.Steps.push_back(spec.Steps[0]);
  spec.Steps[1].DependsOn = {0};
  spec.Steps[1].DataRack = RackId("r0");
  submit(spec);
  const PlannedRound round = plan();
  BOOST_REQUIRE(round.Starts.size() == 3U);
  confirm(round);
  Now += Seconds(2);
  end(round.Starts.back(), RunOutcome::Done);
  BOOST_TEST(plan().Starts.empty());
  BOOST_TEST(planAfter(Millis(1000)).Starts.empty());
  BOOST_TEST(planAfter(Millis(1500)).Starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
