// The state of a job stays small enough for one record of the store, however
// many tasks and occurrences the job has.
#include "planner_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

/// What the store takes, less the longest key of a job's state.
constexpr std::size_t LargestState = 262144 - 64;
constexpr std::uint32_t WidestStep = 10000;

struct LargeJobFixture : PlannerFixture {
  /// `steps` steps of tasks without accelerators, one after the other if
  /// `chained`.
  static WorkSpec largeJob(std::size_t steps, std::uint32_t tasks,
                           bool chained) {
    WorkSpec spec = job("a", tasks, 0, false);
    spec.Steps[0].Requested = {1, 1, 0};
    spec.Steps[0].Checkpoints = true;
    spec.Steps.resize(steps, spec.Steps[0]);
    if (chained)
      for (std::uint32_t n = 1; n < steps; ++n)
        spec.Steps[n].DependsOn = {n - 1};
    return spec;
  }
  std::size_t stateBytes() const {
    return encode(Planner.find(WorkId("a"))->Record).size();
  }
  /// A job of many occurrences, each one a gang.
  WorkSpec repeatingJob(Millis interval) const {
    WorkSpec spec = largeJob(1, 3200, false);
    spec.Steps[0].Gang = true;
    spec.Repetitions = 85;
    spec.FirstDueMs = WallMs;
    spec.IntervalMs = interval.count();
    return spec;
  }
  /// Runs the job to its end; each run is stopped once. Returns the size of its
  /// largest state.
  std::size_t runToEnd(const WorkSpec &spec) {
    std::size_t largest = 0;
    submit(spec);
    for (int n = 0; n < 200 && phase("a") != WorkPhase::Completed; ++n) {
      const PlannedRound round = planAfter(Millis(1000));
      largest = std::max(largest, stateBytes());
      for (const StartOrder &it : round.Starts)
        end(it, it.Run == 1 ? RunOutcome::Stopped : RunOutcome::Done,
            "00000bb87a21d94b");
      largest = std::max(largest, stateBytes());
    }
    BOOST_TEST((phase("a") == WorkPhase::Completed));
    return largest;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(state_room, LargeJobFixture)

// Guards against the acceptance of a job whose state can't be stored even if
// none of its tasks is started.
BOOST_AUTO_TEST_CASE(job_with_a_state_above_one_record_is_refused) {
  BOOST_TEST(!checkWork(largeJob(27, WidestStep, true)).empty());
  BOOST_TEST(checkWork(largeJob(9, WidestStep, true)).empty());
}

// The same, through its occurrences.
BOOST_AUTO_TEST_CASE(job_with_too_many_occurrences_is_refused) {
  WorkSpec spec = largeJob(1, 10, false);
  spec.Repetitions = 1'000'000'000;
  BOOST_TEST(!checkWork(spec).empty());
  spec.Repetitions = 90'000;
  BOOST_TEST(checkWork(spec).empty());
}

// Guards against a gang or a lasting job that waits forever, since its state
// would not fit into one record while all of its tasks run.
BOOST_AUTO_TEST_CASE(tasks_that_can_not_all_be_started_are_refused) {
  WorkSpec gang = largeJob(1, WidestStep, false);
  BOOST_TEST(checkWork(gang).empty());
  gang.Steps[0].Gang = true;
  BOOST_TEST(!checkWork(gang).empty());
  gang.Steps[0].Count = 128;
  BOOST_TEST(checkWork(gang).empty());
  WorkSpec lasting = largeJob(3, 1000, false);
  lasting.LongRunning = true;
  BOOST_TEST(checkWork(lasting).empty());
  lasting.Steps[0].Count = WidestStep;
  BOOST_TEST(!checkWork(lasting).empty());
}

// Guards against started tasks that make a state outgrow its record: each takes
// many times the space of a waiting one.
BOOST_AUTO_TEST_CASE(started_tasks_never_outgrow_the_record) {
  addServers(64);
  BOOST_TEST(runToEnd(largeJob(2, WidestStep, false)) <= LargestState);
}

// The same, with servers that report long checkpoints.
BOOST_AUTO_TEST_CASE(long_checkpoints_do_not_outgrow_the_record) {
  addServers(8);
  submit(largeJob(1, 100, false));
  const PlannedRound round = plan();
  BOOST_REQUIRE(round.Starts.size() == 100U);
  for (const StartOrder &it : round.Starts)
    end(it, RunOutcome::Stopped, std::string(4000, 'x'));
  BOOST_TEST(stateBytes() <= LargestState);
  BOOST_TEST(planAfter(Millis(1000)).Starts.size() == 100U);
}

// Guards against a repeating job whose state grows with each occurrence until
// it can't be stored.
BOOST_AUTO_TEST_CASE(finished_occurrences_do_not_outgrow_the_record) {
  addServers(64);
  const WorkSpec spec = repeatingJob(Millis(2000));
  BOOST_REQUIRE(checkWork(spec).empty());
  BOOST_TEST(runToEnd(spec) <= LargestState);
}

// The same, when all are due at once: the later ones wait for the first.
BOOST_AUTO_TEST_CASE(occurrences_due_at_once_do_not_outgrow_the_record) {
  addServers(64);
  BOOST_TEST(runToEnd(repeatingJob(Millis(0))) <= LargestState);
}

// Guards against an occurrence that a new owner starts again, because its steps
// were removed from the state, and against a job that it leaves out for that.
BOOST_AUTO_TEST_CASE(new_owner_starts_no_finished_occurrence_again) {
  addServers(64);
  const WorkSpec spec = repeatingJob(Millis(100000));
  submit(spec);
  const WorkRecord &record = Planner.find(spec.Id)->Record;
  for (int n = 0; n < 45; ++n) {
    const PlannedRound round = planAfter(Millis(n == 0 ? 0 : 100000));
    BOOST_REQUIRE(round.Starts.size() == 3200U);
    end(round.Starts[0], RunOutcome::Done);
  }
  BOOST_REQUIRE(record.Occurrences.size() == 45U);
  BOOST_REQUIRE(record.Occurrences[0].Steps.empty());
  WorkRecord stored = std::get<WorkRecord>(decodeWorkRecord(encode(record)));
  Planner = PodPlanner(PlannerOptions{});
  addServers(64);
  Planner.addWork(spec, std::move(stored), Now);
  BOOST_TEST(plan().Starts.empty());
  // It starts the others.
  BOOST_REQUIRE(Planner.find(spec.Id) != nullptr);
  const PlannedRound next = planAfter(Millis(100000));
  BOOST_REQUIRE(next.Starts.size() == 3200U);
  BOOST_TEST(next.Starts[0].Task.Occurrence == 45U);
}

BOOST_AUTO_TEST_SUITE_END()
