// Runs on leaving servers are stopped in time for their last checkpoint, and
// no earlier.
#include "citrongap/workload/leaving_server.h"

#include "planner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const MonoTime Start{Millis(1000000)};
constexpr LeavingBounds Bounds{Millis(900), Millis(700), Millis(200)};

MonoTime after(int ms) { return Start + Millis(ms); }

struct LeavingFixture : PlannerFixture {
  std::vector<StartOrder> start(std::uint32_t tasks, bool gang,
                                bool checkpoints) {
    addServers(3);
    WorkSpec spec = job("a", tasks, 8, gang);
    spec.Steps[0].Checkpoints = checkpoints;
    submit(spec);
    const PlannedRound round = plan();
    BOOST_REQUIRE(round.Starts.size() == tasks);
    confirm(round);
    return round.Starts;
  }
  /// Reports progress for all runs after `wait`.
  void report(const std::vector<StartOrder> &runs, Millis wait, int percent) {
    Now += wait;
    for (const StartOrder &it : runs)
      Planner.recordProgress(it.Task, it.Run, it.Server, percent, Now);
  }
  void announceDeparture(const StartOrder &run, std::int64_t remainingMs) {
    ServerEntry entry = Planner.servers().find(run.Server.Id)->Entry;
    entry.Draining = true;
    entry.DrainRemainingMs = remainingMs;
    Planner.putServer(entry, Now);
  }
  /// Time until the first stop, of at most `most`; its stops are kept.
  Millis untilStop(Millis most) {
    for (Millis waited{0}; waited <= most; waited += Millis(100)) {
      Stops = planAfter(Millis(waited.count() > 0 ? 100 : 0)).Stops;
      if (!Stops.empty())
        return waited;
    }
    return Millis(-1);
  }
  std::vector<StopOrder> Stops;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(leaving_server, LeavingFixture)

// Guards against a stop at once, which wastes the time that the server stays.
BOOST_AUTO_TEST_CASE(run_is_stopped_as_late_as_is_safe) {
  const LeavingRun run{true, after(60000), after(3000)};
  BOOST_TEST(!stopsNow(run, Start, Bounds));
  BOOST_TEST(!stopsNow(run, after(1200), Bounds));
  BOOST_TEST(stopsNow(run, after(1201), Bounds));
  BOOST_TEST(stopsNow(run, after(9000), Bounds));
}

// Guards against a run being stopped that would have ended, and against one
// whose end is unknown being left to its server.
BOOST_AUTO_TEST_CASE(run_that_ends_in_time_goes_on) {
  BOOST_TEST(!stopsNow({true, after(2999), after(3000)}, after(2900), Bounds));
  BOOST_TEST(stopsNow({true, after(3000), after(3000)}, after(2900), Bounds));
  BOOST_TEST(stopsNow({true, std::nullopt, after(3000)}, after(2900), Bounds));
}

// Guards against the loss of a run that can't be resumed: the server may stay
// longer than announced.
BOOST_AUTO_TEST_CASE(run_without_checkpoints_goes_on) {
  BOOST_TEST(!stopsNow({false, std::nullopt, after(0)}, after(10), Bounds));
  BOOST_TEST(!stopsNow({false, after(90), after(0)}, after(10), Bounds));
}

BOOST_AUTO_TEST_CASE(end_is_expected_by_the_pace) {
  BOOST_TEST(!expectedEnd({Start, 0, -1, {}}, after(1000)).has_value());
  BOOST_TEST((expectedEnd({Start, 25, -1, {}}, after(1000)) == after(4000)));
  BOOST_TEST((expectedEnd({Start, 100, 50, Start}, after(9)) == after(9)));
}

// Guards against a run that was resumed at 60 percent being expected to end
// within a second.
BOOST_AUTO_TEST_CASE(end_of_a_resumed_run_is_expected_by_its_own_pace) {
  BOOST_TEST(
      (expectedEnd({Start, 62, 60, after(0)}, after(1000)) == after(20000)));
  // Without a second report, only the time since the start is known.
  BOOST_TEST(
      (expectedEnd({Start, 50, 50, after(900)}, after(1000)) == after(2000)));
}

// Guards against a stop so late that the server is gone before it has made the
// last checkpoint.
BOOST_AUTO_TEST_CASE(planner_stops_before_the_departure) {
  const auto runs = start(1, false, true);
  report(runs, Millis(1000), 5);
  announceDeparture(runs[0], 3000);
  BOOST_TEST(untilStop(Millis(3000)).count() == 1300);
  BOOST_TEST(Stops.size() == 1U);
}

// The same, of a run that has reported no progress yet.
BOOST_AUTO_TEST_CASE(planner_stops_runs_without_progress) {
  const auto runs = start(1, false, true);
  announceDeparture(runs[0], 2000);
  BOOST_TEST(untilStop(Millis(2000)).count() == 300);
}

// Guards against lasting work that is lost with its server, since 100 percent
// were taken for an end in time.
BOOST_AUTO_TEST_CASE(planner_stops_lasting_work_before_the_departure) {
  addServers(3);
  WorkSpec spec = job("a", 1, 8, false);
  spec.LongRunning = true;
  spec.Steps[0].Checkpoints = true;
  submit(spec);
  const auto runs = plan().Starts;
  BOOST_REQUIRE(runs.size() == 1U);
  report(runs, Millis(1000), 100);
  announceDeparture(runs[0], 3000);
  BOOST_TEST(untilStop(Millis(3000)).count() == 1300);
}

BOOST_AUTO_TEST_CASE(planner_leaves_runs_that_end_in_time) {
  const auto runs = start(1, false, true);
  report(runs, Millis(1000), 60);
  announceDeparture(runs[0], 2000);
  BOOST_TEST(untilStop(Millis(0)).count() == -1);
  report(runs, Millis(500), 90);
  BOOST_TEST(untilStop(Millis(0)).count() == -1);
}

BOOST_AUTO_TEST_CASE(planner_leaves_runs_without_checkpoints) {
  const auto runs = start(1, false, false);
  report(runs, Millis(1000), 5);
  announceDeparture(runs[0], 2000);
  BOOST_TEST(untilStop(Millis(1500)).count() == -1);
}

// Guards against a gang of which only some members are stopped, or that is
// stopped too late for the first of its servers to leave.
BOOST_AUTO_TEST_CASE(gang_is_stopped_by_its_earliest_departure) {
  const auto runs = start(3, true, true);
  report(runs, Millis(1000), 5);
  announceDeparture(runs[0], 60000);
  announceDeparture(runs[1], 3000);
  BOOST_TEST(untilStop(Millis(3000)).count() == 1300);
  BOOST_TEST(Stops.size() == 3U);
}

// Guards against a restore time that has no effect, and against one in use
// where it is not set: preemption takes the victim with the lower loss.
BOOST_AUTO_TEST_CASE(restore_time_replaces_the_assumed_loss) {
  for (const bool restores : {false, true}) {
    PlannerOptions options;
    if (restores)
      options.RestoreTime = Millis(250);
    Planner = PodPlanner(options);
    // The victim has run for 5 s. Its loss is 1.9 s of 8 accelerators, or
    // 1.15 s, and the urgent job may preempt at once for a loss of 1.2 s.
    const auto victim = start(3, false, true);
    report(victim, Millis(5000), 50);
    WorkSpec urgent = job("urgent", 1, 8, false, 0);
    urgent.Steps[0].EstimateMs = 3000;
    submit(urgent);
    BOOST_TEST(plan().Stops.size() == (restores ? 1U : 0U));
  }
}

BOOST_AUTO_TEST_SUITE_END()
