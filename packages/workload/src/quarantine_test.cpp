// Ways out of quarantine: which work may be the probe of a server, and what
// ends a probe.
#include "planner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

/// Due time of the first probe, and the time after which any work may be it.
constexpr Seconds Due{5};
constexpr Seconds Overdue{6};

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

// Guards against servers that are lost for good where only gangs are sent.
BOOST_AUTO_TEST_CASE(gang_is_the_probe_where_no_single_task_comes) {
  addTwoServers();
  quarantineFirst();
  for (const char *id : {"a", "b"})
    submit(jobOnFirst(id, 2, 2, true));
  BOOST_TEST(planAfter(Due).Starts.empty());
  const PlannedRound probe = planAfter(Overdue - Due);
  BOOST_REQUIRE(probe.Starts.size() == 2U);
  BOOST_TEST((probe.Starts[0].Task.Work == probe.Starts[1].Task.Work));
  confirm(probe);
  BOOST_TEST(planAfter(Millis(500)).Starts.empty());
  end(probe.Starts[0], RunOutcome::Done);
  BOOST_TEST(plan().Starts.size() == 2U);
}

BOOST_AUTO_TEST_CASE(failed_gang_as_probe_doubles_the_quarantine) {
  addTwoServers();
  quarantineFirst();
  submit(jobOnFirst("a", 2, 2, true));
  const PlannedRound probe = planAfter(Overdue);
  BOOST_REQUIRE(probe.Starts.size() == 2U);
  confirm(probe);
  for (const StartOrder &it : probe.Starts)
    end(it, RunOutcome::Failed);
  submit(jobOnFirst("b", 1, 1, false));
  BOOST_TEST(planAfter(2 * Due - Millis(100)).Starts.empty());
  BOOST_TEST(planAfter(Millis(200)).Starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(gang_prefers_servers_that_need_no_probe) {
  addTwoServers();
  quarantineFirst();
  submit(job("a", 2, 4, true));
  const PlannedRound round = planAfter(Overdue);
  BOOST_REQUIRE(round.Starts.size() == 2U);
  for (const StartOrder &it : round.Starts)
    BOOST_TEST((it.Server == incarnation(1)));
}

// Guards against a probe that stays in progress when another member of the
// gang reports the end.
BOOST_AUTO_TEST_CASE(end_of_a_gang_ends_the_probes_of_all_its_servers) {
  addTwoServers();
  quarantineFirst();
  submit(job("a", 2, 8, true));
  const PlannedRound probe = planAfter(Overdue);
  BOOST_REQUIRE(probe.Starts.size() == 2U);
  confirm(probe);
  for (const StartOrder &it : probe.Starts)
    if (it.Server == incarnation(1))
      end(it, RunOutcome::Done);
  BOOST_TEST((phase("a") == WorkPhase::Completed));
  submit(jobOnFirst("b", 8, 1, false));
  BOOST_TEST(plan().Starts.size() == 8U);
}

// Guards against servers that are lost for good where jobs have one attempt.
BOOST_AUTO_TEST_CASE(job_with_one_attempt_is_the_probe_if_no_other_comes) {
  addTwoServers();
  WorkSpec holder = job("holder", 1, 8, false);
  holder.Steps[0].RequiredLabel = "r0";
  holder.LongRunning = true;
  quarantineFirst();
  submit(holder);
  const PlannedRound held = plan();
  BOOST_REQUIRE(held.Starts.size() == 1U);
  BOOST_REQUIRE((held.Starts[0].Server == incarnation(1)));
  const StartOrder &it = held.Starts[0];
  Planner.recordProgress(it.Task, it.Run, it.Server, 100, Now);
  for (const char *id : {"a", "b"}) {
    WorkSpec spec = job(id, 1, 4, false);
    spec.MaxAttempts = 1;
    submit(spec);
  }
  BOOST_TEST(planAfter(Overdue).Starts.empty());
  // Recent failures do not count for more than 10 s.
  const PlannedRound probe = planAfter(Seconds(5));
  BOOST_REQUIRE(probe.Starts.size() == 1U);
  confirm(probe);
  end(probe.Starts[0], RunOutcome::Done);
  BOOST_TEST(plan().Starts.size() == 1U);
}

// Guards against a probe that stays in progress after its run was released.
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

// Guards against a server that gets nothing beside its probe, since lasting
// work never ends as done.
BOOST_AUTO_TEST_CASE(lasting_task_at_work_is_a_successful_probe) {
  addTwoServers();
  quarantineFirst();
  for (const char *id : {"a", "b", "c"}) {
    WorkSpec lasting = jobOnFirst(id, 1, 1, false);
    lasting.LongRunning = true;
    submit(lasting);
  }
  const PlannedRound probe = planAfter(Due);
  BOOST_REQUIRE(probe.Starts.size() == 1U);
  const StartOrder &run = probe.Starts[0];
  Planner.recordProgress(run.Task, run.Run, run.Server, 100, Now);
  // A faulty server may take a moment to fail.
  BOOST_TEST(planAfter(Millis(500)).Starts.empty());
  Now += Millis(500);
  Planner.recordProgress(run.Task, run.Run, run.Server, 100, Now);
  BOOST_TEST(plan().Starts.size() == 2U);
}

// The same, of a long task that makes progress.
BOOST_AUTO_TEST_CASE(long_task_with_progress_is_a_successful_probe) {
  addTwoServers();
  quarantineFirst();
  for (const char *id : {"a", "b"})
    submit(jobOnFirst(id, 1, 1, false));
  const PlannedRound probe = planAfter(Due);
  BOOST_REQUIRE(probe.Starts.size() == 1U);
  const StartOrder &run = probe.Starts[0];
  for (int n = 1; n < 5; ++n) {
    Now += Seconds(1);
    Planner.recordProgress(run.Task, run.Run, run.Server, n, Now);
    BOOST_TEST(plan().Starts.empty());
  }
  Now += Seconds(1);
  Planner.recordProgress(run.Task, run.Run, run.Server, 5, Now);
  BOOST_TEST(plan().Starts.size() == 1U);
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

// Guards against lasting work that stays away for the time of a doubled
// quarantine, though the only server that it can run on is sound again.
BOOST_AUTO_TEST_CASE(lasting_work_probes_the_only_server_that_it_can_run_on) {
  addTwoServers();
  quarantineFirst();
  for (const char *id : {"a", "b"}) {
    WorkSpec lasting = jobOnFirst(id, 1, 1, false);
    lasting.LongRunning = true;
    submit(lasting);
  }
  // Its probes fail, as long as the quarantines are doubled.
  for (int n = 0; n < 4; ++n) {
    PlannedRound probe = planAfter(PlannerOptions{}.MaxIdleTime);
    BOOST_REQUIRE(probe.Starts.size() == 1U);
    confirm(probe);
    end(probe.Starts[0], RunOutcome::Failed);
    BOOST_TEST(plan().Starts.empty());
  }
  const PlannedRound sound = planAfter(PlannerOptions{}.MaxIdleTime);
  BOOST_REQUIRE(sound.Starts.size() == 1U);
  const StartOrder &it = sound.Starts[0];
  confirm(sound);
  Now += Millis(2000);
  Planner.recordProgress(it.Task, it.Run, it.Server, 100, Now);
  BOOST_TEST(plan().Starts.size() == 1U);
}

// Its attempts are limited, and there is another server.
BOOST_AUTO_TEST_CASE(other_work_waits_for_the_quarantine_to_end) {
  addTwoServers();
  quarantineFirst();
  submit(jobOnFirst("a", 1, 1, false));
  BOOST_TEST(planAfter(Due - Millis(100)).Starts.empty());
  BOOST_TEST(planAfter(Millis(100)).Starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(lasting_work_probes_early_only_without_another_server) {
  addTwoServers();
  quarantineFirst();
  WorkSpec lasting = job("a", 9, 1, false);
  lasting.LongRunning = true;
  submit(lasting);
  confirm(plan());
  for (Millis waited(0); waited < Due - Millis(100); waited += Millis(100))
    BOOST_TEST(planAfter(Millis(100)).Starts.empty());
}

// Guards against a server that a hopeless lasting job keeps in quarantine.
BOOST_AUTO_TEST_CASE(failed_early_probes_do_not_prolong_the_quarantine) {
  addTwoServers();
  quarantineFirst();
  WorkSpec hopeless = jobOnFirst("hopeless", 1, 8, false);
  hopeless.LongRunning = true;
  submit(hopeless);
  const Millis wait = PlannerOptions{}.MaxIdleTime;
  for (int n = 0; n < 3; ++n) {
    const PlannedRound probe = planAfter(wait);
    BOOST_REQUIRE(probe.Starts.size() == 1U);
    confirm(probe);
    end(probe.Starts[0], RunOutcome::Failed);
  }
  Planner.cancel(WorkId("hopeless"), WallMs);
  submit(jobOnFirst("a", 1, 1, false));
  BOOST_TEST(planAfter(Due - 3 * wait).Starts.size() == 1U);
}

// Guards against two probes in one round, by room that was kept on the server.
BOOST_AUTO_TEST_CASE(kept_room_of_a_probed_server_is_lent_once) {
  addTwoServers();
  submit(jobOnFirst("works", 1, 4, false));
  confirm(plan());
  for (const char *id : {"bad-1", "bad-2"}) {
    submit(jobOnFirst(id, 1, 4, false));
    const PlannedRound round = plan();
    BOOST_REQUIRE(round.Starts.size() == 1U);
    end(round.Starts[0], RunOutcome::Failed);
    Planner.cancel(WorkId(id), WallMs);
  }
  submit(jobOnFirst("gang", 1, 8, true));
  for (const char *id : {"small-1", "small-2"})
    submit(jobOnFirst(id, 1, 1, false));
  BOOST_TEST(planAfter(Due - Millis(100)).Starts.empty());
  BOOST_TEST(planAfter(Millis(100)).Starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
