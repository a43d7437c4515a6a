// A task of which an earlier run turns out to have ended as done is not started
// again, and its job is completed.
#include "planner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

BOOST_FIXTURE_TEST_SUITE(earlier_run, PlannerFixture)

// Guards against a third start of a task whose first run ended as done on a
// server that was cut off while the second run was placed.
BOOST_AUTO_TEST_CASE(done_of_an_earlier_run_ends_the_later_one) {
  addServers(2);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  Planner.expireLeases(first.Starts[0].Server, Now);
  const PlannedRound second = plan();
  BOOST_REQUIRE(second.Starts.size() == 1U);
  end(first.Starts[0], RunOutcome::Done);
  BOOST_TEST(plan().Stops.size() == 1U);
  end(second.Starts[0], RunOutcome::Stopped);
  BOOST_TEST(planAfter(Seconds(1)).Starts.empty());
  BOOST_TEST((phase("a") == WorkPhase::Completed));
}

// The same, with a later run that has ended before.
BOOST_AUTO_TEST_CASE(done_of_an_earlier_run_counts_while_the_task_waits) {
  addServers(2);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  Planner.expireLeases(first.Starts[0].Server, Now);
  const PlannedRound second = plan();
  BOOST_REQUIRE(second.Starts.size() == 1U);
  end(second.Starts[0], RunOutcome::Stopped);
  end(first.Starts[0], RunOutcome::Done);
  BOOST_TEST(planAfter(Seconds(1)).Starts.empty());
  BOOST_TEST((phase("a") == WorkPhase::Completed));
}

// The same, with a later run that fails, loses its lease, or is not found.
BOOST_AUTO_TEST_CASE(job_of_an_earlier_done_run_ends_with_the_later_run) {
  for (const int how : {0, 1, 2}) {
    PlannerFixture site;
    site.addServers(2);
    WorkSpec spec = job("a", 1, 1, false);
    spec.MaxAttempts = 1;
    site.submit(spec);
    const PlannedRound first = site.plan();
    site.Planner.expireLeases(first.Starts[0].Server, site.Now);
    const PlannedRound second = site.plan();
    BOOST_REQUIRE(second.Starts.size() == 1U);
    const StartOrder &later = second.Starts[0];
    site.end(first.Starts[0], RunOutcome::Done);
    if (how == 0)
      site.end(later, RunOutcome::Failed);
    else if (how == 1)
      site.Planner.expireLeases(later.Server, site.Now);
    else
      site.Planner.recordMissingRun(later.Task, later.Run, later.Server,
                                    site.Now);
    BOOST_TEST(site.planAfter(Seconds(1)).Starts.empty());
    BOOST_TEST((site.phase("a") == WorkPhase::Completed));
  }
}

// The same, with a gang of which one member reports the end of the first run.
BOOST_AUTO_TEST_CASE(done_of_an_earlier_gang_run_ends_all_later_members) {
  addServers(4);
  submit(job("a", 2, 8, true));
  const PlannedRound first = plan();
  BOOST_REQUIRE(first.Starts.size() == 2U);
  for (const StartOrder &it : first.Starts)
    Planner.expireLeases(it.Server, Now);
  const PlannedRound second = plan();
  BOOST_REQUIRE(second.Starts.size() == 2U);
  end(first.Starts[0], RunOutcome::Done);
  BOOST_TEST(plan().Stops.size() == 2U);
  for (const StartOrder &it : second.Starts)
    end(it, RunOutcome::Stopped);
  BOOST_TEST(planAfter(Seconds(1)).Starts.empty());
  BOOST_TEST((phase("a") == WorkPhase::Completed));
}

// The same, with a new owner, which knows the end from the record only.
BOOST_AUTO_TEST_CASE(new_owner_starts_no_task_of_an_earlier_done_run) {
  addServers(2);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  Planner.expireLeases(first.Starts[0].Server, Now);
  const PlannedRound second = plan();
  BOOST_REQUIRE(second.Starts.size() == 1U);
  end(first.Starts[0], RunOutcome::Done);
  const auto record =
      decodeWorkRecord(encode(Planner.find(WorkId("a"))->Record));
  PlannerFixture next;
  next.addServers(2);
  next.Planner.addWork(job("a", 1, 1, false), std::get<WorkRecord>(record),
                       next.Now);
  BOOST_TEST(next.plan().Stops.size() == 1U);
  next.end(second.Starts[0], RunOutcome::Stopped);
  BOOST_TEST(next.planAfter(Seconds(1)).Starts.empty());
  BOOST_TEST((next.phase("a") == WorkPhase::Completed));
}

// Guards against a job that stays running for good: the stop of a start that
// was never sent is reported between plan() and takeChangedWork().
BOOST_AUTO_TEST_CASE(job_completes_when_the_later_start_was_never_sent) {
  addServers(2);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  Planner.expireLeases(first.Starts[0].Server, Now);
  const PlannedRound second = plan();
  BOOST_REQUIRE(second.Starts.size() == 1U);
  const StartOrder &later = second.Starts[0];
  end(first.Starts[0], RunOutcome::Done);
  BOOST_REQUIRE(plan().Stops.size() == 1U);
  Planner.recordMissingRun(later.Task, later.Run, later.Server, Now);
  const auto record =
      decodeWorkRecord(encode(Planner.find(WorkId("a"))->Record));
  Planner.takeChangedWork();
  planAfter(Seconds(1));
  BOOST_TEST((phase("a") == WorkPhase::Completed));
  // A next owner finds all tasks done and the job running.
  PlannerFixture next;
  next.addServers(2);
  next.Planner.addWork(job("a", 1, 1, false), std::get<WorkRecord>(record),
                       next.Now);
  next.plan();
  BOOST_TEST((next.phase("a") == WorkPhase::Completed));
}

// Guards against a start of a task whose released run was started late by the
// server's next life and has ended there as done.
BOOST_AUTO_TEST_CASE(done_of_a_released_run_on_the_servers_next_life_counts) {
  addServers(1);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  BOOST_REQUIRE(first.Starts.size() == 1U);
  Planner.removeIncarnation(incarnation(0), Now);
  addServers(1, 2);
  StartOrder late = first.Starts[0];
  late.Server = incarnation(0, 2);
  end(late, RunOutcome::Done);
  BOOST_TEST(planAfter(Seconds(1)).Starts.empty());
  BOOST_TEST((phase("a") == WorkPhase::Completed));
}

BOOST_AUTO_TEST_SUITE_END()
