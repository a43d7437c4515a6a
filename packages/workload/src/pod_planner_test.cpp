// What the planner promises, whatever backend servers report.
#include "planner_fixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace citrongap;

namespace {

struct Fixture : PlannerFixture {
  /// Two jobs of one server, the one that was accepted `earlier` read last.
  void submitNewerAndOlder(std::uint32_t priority, Millis earlier) {
    WorkSpec newer = job("newer", 1, 8, false, priority);
    newer.Objective = {1.5, 250};
    newer.AcceptedAtMs = WallMs;
    WorkSpec older = newer;
    older.Id = WorkId("older");
    older.AcceptedAtMs -= earlier.count();
    submit(newer);
    submit(older);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pod_planner, Fixture)

BOOST_AUTO_TEST_CASE(gang_starts_whole_or_not_at_all) {
  addServers(2);
  submit(job("a", 3, 8, true));
  BOOST_TEST(plan().Starts.empty());
  submit(job("b", 2, 8, true));
  const PlannedRound round = plan();
  BOOST_TEST(round.Starts.size() == 2U);
  BOOST_TEST(round.Starts[0].Run == round.Starts[1].Run);
}

BOOST_AUTO_TEST_CASE(broken_gang_starts_anew_only_when_no_member_is_left) {
  addServers(4);
  submit(job("a", 2, 8, true));
  const PlannedRound first = plan();
  confirm(first);
  end(first.Starts[0], RunOutcome::LeaseExpired);
  BOOST_TEST(plan().Starts.empty());
  end(first.Starts[1], RunOutcome::GangBroken);
  const PlannedRound second = plan();
  BOOST_REQUIRE(second.Starts.size() == 2U);
  BOOST_TEST(second.Starts[0].Run > first.Starts[0].Run);
}

BOOST_AUTO_TEST_CASE(one_end_of_a_gang_completes_it) {
  addServers(2);
  submit(job("a", 2, 8, true));
  const PlannedRound round = plan();
  confirm(round);
  end(round.Starts[0], RunOutcome::Done);
  BOOST_TEST((phase("a") == WorkPhase::Completed));
}

BOOST_AUTO_TEST_CASE(gang_failure_counts_once_for_all_members) {
  addServers(2);
  submit(job("a", 2, 8, true));
  PlannedRound round = plan();
  end(round.Starts[0], RunOutcome::Failed);
  end(round.Starts[1], RunOutcome::Failed);
  BOOST_TEST((phase("a") == WorkPhase::Running));
  // The last attempt waits for other servers than those that failed.
  round = planAfter(Seconds(7));
  BOOST_REQUIRE(round.Starts.size() == 2U);
  end(round.Starts[0], RunOutcome::Failed);
  BOOST_TEST((phase("a") == WorkPhase::Failed));
}

BOOST_AUTO_TEST_CASE(late_report_of_an_older_run_changes_nothing) {
  addServers(2);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  end(first.Starts[0], RunOutcome::LeaseExpired);
  const PlannedRound second = plan();
  BOOST_REQUIRE(second.Starts.size() == 1U);
  end(first.Starts[0], RunOutcome::Done);
  BOOST_TEST((phase("a") == WorkPhase::Running));
  end(second.Starts[0], RunOutcome::Done);
  BOOST_TEST((phase("a") == WorkPhase::Completed));
}

BOOST_AUTO_TEST_CASE(checkpoint_is_handed_to_the_next_run) {
  addServers(1);
  submit(job("a", 1, 1, false));
  end(plan().Starts[0], RunOutcome::Stopped, "saved-1");
  BOOST_TEST(plan().Starts.at(0).Checkpoint == "saved-1");
}

BOOST_AUTO_TEST_CASE(cancelled_job_is_stopped_and_starts_no_more) {
  addServers(1);
  submit(job("a", 2, 8, false));
  const PlannedRound first = plan();
  BOOST_REQUIRE(first.Starts.size() == 1U);
  Planner.cancel(WorkId("a"), WallMs);
  const PlannedRound second = plan();
  BOOST_TEST(second.Stops.size() == 1U);
  end(first.Starts[0], RunOutcome::Stopped);
  BOOST_TEST(plan().Starts.empty());
  BOOST_TEST((phase("a") == WorkPhase::Cancelled));
}

BOOST_AUTO_TEST_CASE(adopted_runs_take_room_before_the_first_round) {
  WorkRecord record;
  StepRecord &step = record.Occurrences.emplace_back().Steps.emplace_back();
  TaskRecord &task = step.Tasks.emplace_back();
  task.Stage = TaskStage::Placed;
  task.Run = 1;
  task.Server = life(0);
  Planner.addWork(job("old", 1, 8, false), record, Now);
  addServers(1);
  submit(job("new", 1, 1, false));
  BOOST_TEST(plan().Starts.empty());
}

BOOST_AUTO_TEST_CASE(reborn_server_frees_what_ran_on_it) {
  addServers(1);
  submit(job("a", 1, 8, false));
  confirm(plan());
  addServers(1, 2);
  const PlannedRound round = plan();
  BOOST_REQUIRE(round.Starts.size() == 1U);
  BOOST_TEST((round.Starts[0].Server == life(0, 2)));
}

BOOST_AUTO_TEST_CASE(steps_wait_for_those_before_them) {
  addServers(1);
  WorkSpec spec = job("a", 1, 1, false);
  spec.Steps.push_back(spec.Steps[0]);
  spec.Steps[1].DependsOn = {0};
  submit(spec);
  const PlannedRound first = plan();
  BOOST_REQUIRE(first.Starts.size() == 1U);
  end(first.Starts[0], RunOutcome::Done);
  const PlannedRound second = plan();
  BOOST_REQUIRE(second.Starts.size() == 1U);
  BOOST_TEST(second.Starts[0].Task.Step == 1U);
}

BOOST_AUTO_TEST_CASE(occurrence_does_not_start_before_it_is_due) {
  addServers(1);
  WorkSpec spec = job("a", 1, 1, false);
  spec.Repetitions = 2;
  spec.FirstDueMs = WallMs + 1000;
  spec.IntervalMs = 5000;
  submit(spec);
  BOOST_TEST(plan().Starts.empty());
  const PlannedRound first = planAfter(Seconds(1));
  BOOST_REQUIRE(first.Starts.size() == 1U);
  end(first.Starts[0], RunOutcome::Done);
  BOOST_TEST((phase("a") == WorkPhase::Running));
  const PlannedRound second = planAfter(Seconds(5));
  BOOST_REQUIRE(second.Starts.size() == 1U);
  end(second.Starts[0], RunOutcome::Done);
  BOOST_TEST((phase("a") == WorkPhase::Completed));
}

BOOST_AUTO_TEST_CASE(
    job_that_misses_its_objective_anyway_lets_others_go_first) {
  addServers(1);
  submit(job("holder", 1, 8, false));
  const PlannedRound first = plan();
  // Estimated to run for 2 s, in time within 3.25 s.
  WorkSpec late = job("late", 1, 8, false);
  late.Objective = {1.5, 250};
  late.AcceptedAtMs = WallMs;
  submit(late);
  Now += Millis(1500);
  WallMs += 1500;
  WorkSpec fresh = late;
  fresh.Id = WorkId("fresh");
  fresh.AcceptedAtMs = WallMs;
  submit(fresh);
  end(first.Starts.at(0), RunOutcome::Done);
  const PlannedRound second = plan();
  BOOST_REQUIRE(second.Starts.size() == 1U);
  BOOST_TEST(second.Starts[0].Task.Work.str() == "fresh");
  end(second.Starts[0], RunOutcome::Done);
  const PlannedRound third = plan();
  BOOST_REQUIRE(third.Starts.size() == 1U);
  BOOST_TEST(third.Starts[0].ExpectedLate);
}

BOOST_AUTO_TEST_CASE(usual_run_time_of_a_queue_counts_more_than_an_estimate) {
  addServers(1);
  // Estimated at 2 s, they run for 10 s: in time within 15 s.
  for (int n = 0; n < 8; ++n) {
    submit(job("done-" + std::to_string(n), 1, 8, false));
    const PlannedRound round = plan();
    Now += Seconds(10);
    WallMs += 10000;
    end(round.Starts.at(0), RunOutcome::Done);
  }
  submitNewerAndOlder(1, Seconds(3));
  BOOST_TEST(plan().Starts.at(0).Task.Work.str() == "older");
}

BOOST_AUTO_TEST_CASE(gang_waits_for_one_rack_as_long_as_a_far_run_would_cost) {
  addServers(4);
  // One server of each rack is taken; a far run takes three times as long.
  std::vector<StartOrder> others;
  for (int n = 0; n < 4; ++n) {
    WorkSpec other = job("other-" + std::to_string(n), 1, 8, false);
    other.Queue = QueueId("others");
    submit(other);
    others.push_back(plan().Starts.at(0));
  }
  for (const int n : {1, 3})
    end(others[static_cast<std::size_t>(n)], RunOutcome::Done);
  WorkSpec gang = job("gang", 2, 8, true);
  gang.Steps[0].OneRack = true;
  gang.Steps[0].EstimateMs = 8500;
  submit(gang);
  BOOST_TEST(plan().Starts.empty());
  BOOST_TEST(planAfter(Millis(2 * 8500 - 100)).Starts.empty());
  const PlannedRound round = planAfter(Millis(200));
  BOOST_REQUIRE(round.Starts.size() == 2U);
  BOOST_TEST(!round.Starts[0].PreferredPlacement);
}

BOOST_AUTO_TEST_CASE(guarantee_is_kept_in_order_of_acceptance) {
  addServers(1);
  Planner.setGuarantees({{ClientAccountId("quetta"), 16}});
  submitNewerAndOlder(0, Seconds(60));
  BOOST_TEST(plan().Starts.at(0).Task.Work.str() == "older");
}

BOOST_AUTO_TEST_CASE(guaranteed_work_takes_room_back_from_lower_priorities) {
  addServers(2);
  Planner.setGuarantees({{ClientAccountId("quetta"), 8}});
  submit(job("low", 2, 8, false, 2));
  confirm(plan());
  submit(job("urgent", 1, 8, true, 0));
  BOOST_TEST(plan().Stops.empty());
  // The bound on reclaiming is 3.4 s, of which a stop takes 0.9 s.
  const PlannedRound round = planAfter(Millis(2000));
  BOOST_REQUIRE(round.Stops.size() == 1U);
  BOOST_TEST(planAfter(Millis(10)).Stops.empty());
}

BOOST_AUTO_TEST_CASE(refused_start_is_not_repeated_at_once_at_the_same_server) {
  addServers(1);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  Planner.recordStartRefusal(first.Starts[0].Task, 1, life(0),
                             StartRefusal::NoRoom, Now);
  BOOST_TEST(plan().Starts.empty());
  BOOST_TEST(planAfter(Millis(500)).Starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(quarantined_server_gets_one_probe_and_no_other_work) {
  addServers(1);
  for (const char *id : {"a", "b", "c"}) {
    submit(job(id, 1, 8, false));
    const PlannedRound round = plan();
    for (const StartOrder &it : round.Starts)
      end(it, RunOutcome::Failed);
  }
  submit(job("d", 8, 1, false));
  BOOST_TEST(plan().Starts.empty());
  // Quarantine lasts 5 s; the jobs that failed once may not be the probe.
  const PlannedRound probe = planAfter(Seconds(6));
  BOOST_REQUIRE(probe.Starts.size() == 1U);
  BOOST_TEST(plan().Starts.empty());
  end(probe.Starts[0], RunOutcome::Done);
  BOOST_TEST(!plan().Starts.empty());
}

BOOST_AUTO_TEST_CASE(last_attempt_is_not_made_where_something_failed_last) {
  addServers(2);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  BOOST_REQUIRE(first.Starts.size() == 1U);
  end(first.Starts[0], RunOutcome::Failed);
  // The tightest server is the one that failed; the other has shown nothing.
  const PlannedRound second = planAfter(Millis(2500));
  BOOST_REQUIRE(second.Starts.size() == 1U);
  BOOST_TEST((second.Starts[0].Server != first.Starts[0].Server));
}

BOOST_AUTO_TEST_CASE(last_attempt_waits_for_a_sound_server_only_for_a_while) {
  addServers(1);
  submit(job("a", 1, 1, false));
  end(plan().Starts.at(0), RunOutcome::Failed);
  BOOST_TEST(planAfter(Millis(1500)).Starts.empty());
  // A job of which nothing is at work must start within 3 s where there is
  // room.
  BOOST_TEST(planAfter(Millis(1000)).Starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(successor_knows_servers_on_which_tasks_failed) {
  WorkRecord record;
  StepRecord &step = record.Occurrences.emplace_back().Steps.emplace_back();
  TaskRecord &task = step.Tasks.emplace_back();
  task.Run = 1;
  task.Failures = 1;
  task.Server = life(0);
  addServers(2);
  Planner.addWork(job("old", 1, 1, false), record, Now);
  const PlannedRound round = planAfter(Seconds(7));
  BOOST_REQUIRE(round.Starts.size() == 1U);
  BOOST_TEST((round.Starts[0].Server == life(1)));
}

BOOST_AUTO_TEST_CASE(
    run_that_is_listed_twice_without_progress_starts_elsewhere) {
  addServers(2);
  submit(job("a", 1, 8, false));
  const PlannedRound first = plan();
  confirm(first);
  const StartOrder &run = first.Starts.at(0);
  Planner.recordProgress(run.Task, run.Run, run.Server, 5, Now);
  BOOST_TEST(planAfter(Millis(2000)).Stops.empty());
  Planner.recordProgress(run.Task, run.Run, run.Server, 5, Now);
  BOOST_TEST(plan().Stops.size() == 1U);
}

BOOST_AUTO_TEST_CASE(task_that_was_stopped_as_stalled_gets_twice_the_time) {
  addServers(2);
  submit(job("a", 1, 8, false));
  StartOrder run = plan().Starts.at(0);
  for (const int factor : {1, 2}) {
    Planner.recordStart(run.Task, run.Run, run.Server, Now);
    Planner.recordProgress(run.Task, run.Run, run.Server, 5, Now);
    Now += Millis(2000) * factor;
    Planner.recordProgress(run.Task, run.Run, run.Server, 5, Now);
    const PlannedRound round = plan();
    BOOST_REQUIRE(round.Stops.size() == 1U);
    end(run, RunOutcome::Stopped);
    run = plan().Starts.at(0);
  }
  Planner.recordStart(run.Task, run.Run, run.Server, Now);
  Planner.recordProgress(run.Task, run.Run, run.Server, 5, Now);
  Now += Millis(4000);
  Planner.recordProgress(run.Task, run.Run, run.Server, 5, Now);
  BOOST_TEST(plan().Stops.empty());
}

BOOST_AUTO_TEST_SUITE_END()
