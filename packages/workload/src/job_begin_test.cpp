// A job has begun once a server is known to have started a run of it: not when
// the run is placed, and not when its start is returned.
#include "planner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

struct BeginFixture : PlannerFixture {
  /// Whether the next record of the job would be written now.
  bool changes(const std::string &id) {
    return Planner.takeChangedWork().contains(WorkId(id));
  }
  /// The job as the next owner reads it.
  void takeOver(const WorkSpec &spec) {
    WorkRecord stored = std::get<WorkRecord>(
        decodeWorkRecord(encode(Planner.find(spec.Id)->Record)));
    Planner = PodPlanner(PlannerOptions{});
    addServers(2);
    Planner.addWork(spec, std::move(stored), Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(job_begin, BeginFixture)

// Guards against a job whose start was not answered: callers were told that it
// had begun, and `waiting` did not count it.
BOOST_AUTO_TEST_CASE(placed_job_is_queued_until_a_start_is_confirmed) {
  addServers(2);
  submit(job("a", 2, 8, false));
  const PlannedRound round = plan();
  BOOST_REQUIRE(round.Starts.size() == 2U);
  BOOST_TEST(changes("a"));
  BOOST_TEST((phase("a") == WorkPhase::Queued));
  const StartOrder &it = round.Starts[1];
  Planner.recordStart(it.Task, it.Run, it.Server, Now);
  BOOST_TEST((phase("a") == WorkPhase::Running));
}

// Guards against a job whose runs were all returned unstarted: it stayed
// running until it was placed again.
BOOST_AUTO_TEST_CASE(job_whose_starts_were_all_returned_is_queued) {
  addServers(2);
  submit(job("a", 2, 8, true));
  submit(job("b", 1, 0, false));
  for (const StartOrder &it : plan().Starts)
    Planner.recordStartRefusal(it.Task, it.Run, it.Server, StartRefusal::NoRoom,
                               Now);
  BOOST_TEST((phase("a") == WorkPhase::Queued));
  BOOST_TEST((phase("b") == WorkPhase::Queued));
}

// Guards against leases of unanswered starts: their end made no job wait again.
BOOST_AUTO_TEST_CASE(job_is_queued_when_the_leases_of_its_server_have_expired) {
  addServers(1);
  submit(job("a", 1, 1, false));
  const PlannedRound round = plan();
  Planner.expireLeases(incarnation(0), Now);
  BOOST_TEST((phase("a") == WorkPhase::Queued));
  // The server is back, and shows that it did start the run.
  end(round.Starts[0], RunOutcome::LeaseExpired);
  BOOST_TEST((phase("a") == WorkPhase::Running));
}

// Guards against a job that went back to waiting after it had begun.
BOOST_AUTO_TEST_CASE(begun_job_stays_so_while_it_waits_for_another_run) {
  addServers(1);
  submit(job("a", 1, 1, false));
  PlannedRound round = plan();
  confirm(round);
  end(round.Starts[0], RunOutcome::Stopped);
  round = plan();
  BOOST_REQUIRE(round.Starts.size() == 1U);
  Planner.recordStartRefusal(round.Starts[0].Task, round.Starts[0].Run,
                             round.Starts[0].Server, StartRefusal::NoRoom, Now);
  BOOST_TEST((phase("a") == WorkPhase::Running));
}

// Guards against a confirmation that no other change of the job follows: other
// entry VMs and the next owner would count the job as waiting until it ends.
BOOST_AUTO_TEST_CASE(begin_of_a_job_is_recorded_soon_and_once) {
  addServers(1);
  submit(job("a", 1, 1, false));
  confirm(plan());
  BOOST_TEST(changes("a"));
  confirm(planAfter(Seconds(1)));
  BOOST_TEST(!changes("a"));
  submit(job("b", 1, 1, false));
  const PlannedRound round = plan();
  BOOST_TEST(changes("b"));
  confirm(round);
  BOOST_TEST(!changes("b"));
  const Millis half = PlannerOptions{}.BeginRecordDelay / 2;
  planAfter(half);
  BOOST_TEST(!changes("b"));
  planAfter(half);
  BOOST_TEST(changes("b"));
  planAfter(Seconds(1));
  BOOST_TEST(!changes("b"));
}

// Guards against a take-over between the confirmation and its record.
BOOST_AUTO_TEST_CASE(next_owner_learns_from_the_lists_that_a_job_has_begun) {
  addServers(2);
  const WorkSpec spec = job("a", 1, 1, false);
  submit(spec);
  const PlannedRound round = plan();
  const StartOrder &it = round.Starts[0];
  takeOver(spec);
  BOOST_TEST((phase("a") == WorkPhase::Queued));
  Planner.recordProgress(it.Task, it.Run, it.Server, 1, Now);
  BOOST_TEST((phase("a") == WorkPhase::Running));
  takeOver(spec);
  BOOST_TEST((phase("a") == WorkPhase::Running));
}

// Guards against a run that ended before its start was confirmed, or was listed
// after another had been placed.
BOOST_AUTO_TEST_CASE(any_run_that_a_server_reports_begins_the_job) {
  addServers(2);
  for (const char *id : {"a", "b"}) {
    submit(job(id, 2, 1, false));
    const StartOrder first = plan().Starts[0];
    Planner.recordMissingRun(first.Task, first.Run, first.Server, Now);
    BOOST_REQUIRE(plan().Starts.size() == 1U);
    BOOST_REQUIRE((phase(id) == WorkPhase::Queued));
    if (first.Task.Work == WorkId("a"))
      end(first, RunOutcome::Failed);
    else
      Planner.recordProgress(first.Task, first.Run, first.Server, 1, Now);
    BOOST_TEST((phase(id) == WorkPhase::Running));
  }
}

// Guards against callers that ask at the end of a short job: an entry VM only
// waits for the end of jobs of which it knows that runs were placed.
BOOST_AUTO_TEST_CASE(summary_of_a_queued_job_shows_whether_it_was_placed) {
  const auto placed = [this] {
    return std::get<WorkSummary>(
               decodeWorkSummary(encode(Planner.find(WorkId("a"))->Record)))
        .WasPlaced;
  };
  submit(job("a", 1, 1, false));
  plan();
  BOOST_TEST(!placed());
  addServers(1);
  const PlannedRound round = plan();
  BOOST_REQUIRE(round.Starts.size() == 1U);
  BOOST_TEST((phase("a") == WorkPhase::Queued));
  BOOST_TEST(placed());
}

BOOST_AUTO_TEST_SUITE_END()
