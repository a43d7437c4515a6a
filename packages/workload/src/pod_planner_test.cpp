// Invariants of the planner under all reports of backend servers.
#include "planner_fixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace citrongap;

namespace {

struct Fixture : PlannerFixture {
  /// Submits two jobs that each fill a server. The second to be submitted was
  /// accepted before the first, by `earlier`.
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

BOOST_AUTO_TEST_CASE(gang_starts_all_or_nothing) {
  addServers(2);
  submit(job("a", 3, 8, true));
  BOOST_TEST(plan().Starts.empty());
  submit(job("b", 2, 8, true));
  const PlannedRound round = plan();
  BOOST_TEST(round.Starts.size() == 2U);
  BOOST_TEST(round.Starts[0].Run == round.Starts[1].Run);
}

BOOST_AUTO_TEST_CASE(broken_gang_restarts_only_after_all_members_ended) {
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

BOOST_AUTO_TEST_CASE(one_completed_member_completes_the_gang) {
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
  // The last attempt waits for servers other than those with the failures.
  round = planAfter(Seconds(7));
  BOOST_REQUIRE(round.Starts.size() == 2U);
  end(round.Starts[0], RunOutcome::Failed);
  BOOST_TEST((phase("a") == WorkPhase::Failed));
}

BOOST_AUTO_TEST_CASE(late_report_of_an_older_run_is_ignored) {
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

// A task that is known to have ended as done was started again.
BOOST_AUTO_TEST_CASE(done_of_a_released_run_counts_while_no_other_is_placed) {
  addServers(2);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  confirm(first);
  Planner.expireLeases(first.Starts[0].Server, Now);
  end(first.Starts[0], RunOutcome::Done);
  BOOST_TEST((phase("a") == WorkPhase::Completed));
  BOOST_TEST(planAfter(Seconds(1)).Starts.empty());
}

BOOST_AUTO_TEST_CASE(done_of_a_released_gang_counts_for_all_members) {
  addServers(2);
  submit(job("a", 2, 8, true));
  const PlannedRound first = plan();
  confirm(first);
  Planner.expireLeases(first.Starts[0].Server, Now);
  end(first.Starts[0], RunOutcome::Done);
  BOOST_TEST((phase("a") == WorkPhase::Completed));
  end(first.Starts[1], RunOutcome::Done);
  BOOST_TEST(planAfter(Seconds(1)).Starts.empty());
}

BOOST_AUTO_TEST_CASE(done_of_a_released_run_does_not_complete_cancelled_work) {
  addServers(1);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  Planner.expireLeases(first.Starts[0].Server, Now);
  Planner.cancel(WorkId("a"), WallMs);
  end(first.Starts[0], RunOutcome::Done);
  BOOST_TEST((phase("a") == WorkPhase::Cancelled));
}

BOOST_AUTO_TEST_CASE(checkpoint_is_passed_to_the_next_run) {
  addServers(1);
  submit(job("a", 1, 1, false));
  end(plan().Starts[0], RunOutcome::Stopped, "saved-1");
  BOOST_TEST(plan().Starts.at(0).Checkpoint == "saved-1");
}

BOOST_AUTO_TEST_CASE(cancelled_job_is_stopped_and_not_restarted) {
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

BOOST_AUTO_TEST_CASE(adopted_runs_occupy_resources_before_the_first_round) {
  WorkRecord record;
  StepRecord &step = record.Occurrences.emplace_back().Steps.emplace_back();
  TaskRecord &task = step.Tasks.emplace_back();
  task.Stage = TaskStage::Placed;
  task.Run = 1;
  task.Server = incarnation(0);
  Planner.addWork(job("old", 1, 8, false), record, Now);
  addServers(1);
  submit(job("new", 1, 1, false));
  BOOST_TEST(plan().Starts.empty());
}

BOOST_AUTO_TEST_CASE(new_incarnation_frees_the_runs_of_the_old_one) {
  addServers(1);
  submit(job("a", 1, 8, false));
  confirm(plan());
  addServers(1, 2);
  const PlannedRound round = plan();
  BOOST_REQUIRE(round.Starts.size() == 1U);
  BOOST_TEST((round.Starts[0].Server == incarnation(0, 2)));
}

// Guards against a gang that starts again while a member's earlier start may
// still be carried out by the next life of its server.
BOOST_AUTO_TEST_CASE(gang_waits_for_a_member_whose_start_is_uncertain) {
  addServers(4);
  submit(job("a", 2, 8, true));
  const PlannedRound first = plan();
  BOOST_REQUIRE(first.Starts.size() == 2U);
  const StartOrder &moved = first.Starts[0];
  const ServerIncarnation next{moved.Server.Id, 2};
  Planner.moveUncertainRun(moved.Task, moved.Run, moved.Server, next, Now);
  const PlannedRound second = plan();
  BOOST_TEST(second.Stops.size() == 2U);
  BOOST_TEST(second.Starts.empty());
  end(first.Starts[1], RunOutcome::Stopped);
  BOOST_TEST(plan().Starts.empty());
  Planner.recordMissingRun(moved.Task, moved.Run, next, Now);
  BOOST_TEST(plan().Starts.size() == 2U);
}

BOOST_AUTO_TEST_CASE(steps_wait_for_their_dependencies) {
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

BOOST_AUTO_TEST_CASE(job_expected_to_miss_its_objective_is_ordered_last) {
  addServers(1);
  submit(job("holder", 1, 8, false));
  const PlannedRound first = plan();
  // Estimated run time 2 s, so in time within 3.25 s.
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

BOOST_AUTO_TEST_CASE(learned_run_time_of_a_queue_outweighs_the_estimate) {
  addServers(1);
  // Estimated at 2 s, but run for 10 s: in time within about 15 s.
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

BOOST_AUTO_TEST_CASE(gang_waits_for_one_rack_until_the_break_even) {
  addServers(4);
  // One server of each rack is occupied. A remote run takes three times as
  // long.
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

BOOST_AUTO_TEST_CASE(guaranteed_work_starts_in_order_of_acceptance) {
  addServers(1);
  Planner.setGuarantees({{ClientAccountId("quetta"), 16}});
  submitNewerAndOlder(0, Seconds(60));
  BOOST_TEST(plan().Starts.at(0).Task.Work.str() == "older");
}

BOOST_AUTO_TEST_CASE(guaranteed_work_preempts_lower_priorities) {
  addServers(2);
  Planner.setGuarantees({{ClientAccountId("quetta"), 8}});
  submit(job("low", 2, 8, false, 2));
  confirm(plan());
  submit(job("urgent", 1, 8, true, 0));
  BOOST_TEST(plan().Stops.empty());
  // The reclaim bound is 3.4 s, of which a stop takes 0.9 s.
  const PlannedRound round = planAfter(Millis(2000));
  BOOST_REQUIRE(round.Stops.size() == 1U);
  BOOST_TEST(planAfter(Millis(10)).Stops.empty());
}

BOOST_AUTO_TEST_CASE(refused_start_is_retried_on_the_server_after_a_delay) {
  addServers(1);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  Planner.recordStartRefusal(first.Starts[0].Task, 1, incarnation(0),
                             StartRefusal::NoRoom, Now);
  BOOST_TEST(plan().Starts.empty());
  BOOST_TEST(planAfter(Millis(500)).Starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(quarantined_server_gets_a_single_probe) {
  addServers(1);
  for (const char *id : {"a", "b", "c"}) {
    submit(job(id, 1, 8, false));
    const PlannedRound round = plan();
    for (const StartOrder &it : round.Starts)
      end(it, RunOutcome::Failed);
  }
  submit(job("d", 8, 1, false));
  BOOST_TEST(plan().Starts.empty());
  // Quarantine lasts 5 s. The jobs that failed once may not be the probe.
  const PlannedRound probe = planAfter(Seconds(6));
  BOOST_REQUIRE(probe.Starts.size() == 1U);
  BOOST_TEST(plan().Starts.empty());
  end(probe.Starts[0], RunOutcome::Done);
  BOOST_TEST(!plan().Starts.empty());
}

BOOST_AUTO_TEST_CASE(last_attempt_avoids_servers_with_a_recent_failure) {
  addServers(2);
  submit(job("a", 1, 1, false));
  const PlannedRound first = plan();
  BOOST_REQUIRE(first.Starts.size() == 1U);
  end(first.Starts[0], RunOutcome::Failed);
  // The tightest server is the one with the failure; the other has no history.
  const PlannedRound second = planAfter(Millis(2500));
  BOOST_REQUIRE(second.Starts.size() == 1U);
  BOOST_TEST((second.Starts[0].Server != first.Starts[0].Server));
}

BOOST_AUTO_TEST_CASE(last_attempt_waits_only_for_a_bounded_time) {
  addServers(1);
  submit(job("a", 1, 1, false));
  end(plan().Starts.at(0), RunOutcome::Failed);
  BOOST_TEST(planAfter(Millis(1500)).Starts.empty());
  // A job without placed runs must start within 3 s while there is room.
  BOOST_TEST(planAfter(Millis(1000)).Starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(new_owner_restores_server_failures_from_records) {
  WorkRecord record;
  StepRecord &step = record.Occurrences.emplace_back().Steps.emplace_back();
  TaskRecord &task = step.Tasks.emplace_back();
  task.Run = 1;
  task.Failures = 1;
  task.Server = incarnation(0);
  addServers(2);
  Planner.addWork(job("old", 1, 1, false), record, Now);
  const PlannedRound round = planAfter(Seconds(7));
  BOOST_REQUIRE(round.Starts.size() == 1U);
  BOOST_TEST((round.Starts[0].Server == incarnation(1)));
}

BOOST_AUTO_TEST_CASE(run_reported_twice_without_progress_is_stopped) {
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

BOOST_AUTO_TEST_CASE(stall_timeout_doubles_after_each_stall_stop) {
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

BOOST_AUTO_TEST_CASE(run_on_a_server_that_is_cut_off_is_not_stalled) {
  addServers(2);
  submit(job("long", 1, 8, false));
  const PlannedRound round = plan();
  confirm(round);
  BOOST_REQUIRE(round.Starts.size() == 1U);
  const StartOrder &run = round.Starts[0];
  Now += Millis(1000);
  Planner.recordProgress(run.Task, run.Run, run.Server, 10, Now);
  Planner.setReachable(run.Server.Id, false);
  for (int n = 0; n < 10; ++n)
    BOOST_TEST(planAfter(Millis(1000)).Stops.empty());
  // It has gone on all the while.
  Planner.setReachable(run.Server.Id, true);
  Planner.recordProgress(run.Task, run.Run, run.Server, 90, Now);
  BOOST_TEST(planAfter(Millis(200)).Stops.empty());
}

BOOST_AUTO_TEST_CASE(backlog_of_a_take_over_does_not_count_as_new_arrivals) {
  // Urgent jobs that no server can run: only their arrival matters.
  const auto startsBeside = [](Millis age) {
    PlannerFixture site;
    site.addServers(16);
    for (int n = 0; n < 32; ++n) {
      WorkSpec urgent = job("urgent-" + std::to_string(n), 1, 8, false, 0);
      urgent.Steps[0].RequiredLabel = "none";
      site.Planner.addWork(urgent, {}, site.Now, age);
    }
    site.submit(job("low", 16, 8, false, 2));
    return site.plan().Starts.size();
  };
  BOOST_TEST(startsBeside(Millis(0)) < startsBeside(Seconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()
