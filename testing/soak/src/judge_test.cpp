// The judge finds each kind of broken promise, and nothing in a good history.
#include "judge.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;
using namespace citrongap::soak;

namespace {

struct Fixture {
  Judge Judging;
  WorkId Id{"5c0e7a21d94b36f8"};
  TaskName Task{Id, 0, 0, 0};
  ServerIncarnation One{BackendServerId("i-1"), 1};
  ServerIncarnation Two{BackendServerId("i-2"), 1};
  MonoTime Now{Millis(100000)};

  Fixture() {
    JobStory &job = Judging.story(Id);
    job.AcceptedAt = Now;
    StepSpec step;
    step.Count = 1;
    job.Spec.Steps.push_back(step);
  }
  JobStory &job() { return Judging.story(Id); }
  void run(wire::RunEventKind kind, const ServerIncarnation &on,
           std::uint32_t number, RunOutcome how = RunOutcome::Done) {
    Judging.onRun({kind, Now, on, Task, number, job().Program.str(), how});
  }
  void start(const ServerIncarnation &on, std::uint32_t number = 1) {
    run(wire::RunEventKind::Started, on, number);
  }
  bool found(const std::string &what) const {
    for (const std::string &it : Judging.findings())
      if (it.find(" " + what + ":") != std::string::npos)
        return true;
    return false;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(soak_judge, Fixture)

BOOST_AUTO_TEST_CASE(good_history_has_no_findings) {
  start(One);
  run(wire::RunEventKind::Ended, One, 1);
  run(wire::RunEventKind::Acknowledged, One, 1);
  Judging.onState(Id, WorkPhase::Completed, Now);
  Judging.atEnd(Now);
  BOOST_TEST(Judging.findings().empty());
}

BOOST_AUTO_TEST_CASE(second_run_beside_the_first_is_found) {
  start(One);
  start(Two, 2);
  BOOST_TEST(found("twice"));
}

BOOST_AUTO_TEST_CASE(run_after_the_server_was_lost_is_allowed) {
  start(One);
  run(wire::RunEventKind::Lost, One, 1);
  start(Two, 2);
  BOOST_TEST(Judging.findings().empty());
}

BOOST_AUTO_TEST_CASE(start_after_an_acknowledged_end_is_found) {
  start(One);
  run(wire::RunEventKind::Ended, One, 1);
  run(wire::RunEventKind::Acknowledged, One, 1);
  start(Two, 2);
  BOOST_TEST(found("twice"));
}

BOOST_AUTO_TEST_CASE(end_that_is_taken_after_a_later_start_is_found) {
  start(One);
  run(wire::RunEventKind::Ended, One, 1);
  start(Two, 2);
  BOOST_TEST(Judging.findings().empty());
  run(wire::RunEventKind::Acknowledged, One, 1);
  BOOST_TEST(found("twice"));
}

BOOST_AUTO_TEST_CASE(start_after_an_end_whose_lease_expired_is_allowed) {
  start(One);
  run(wire::RunEventKind::Ended, One, 1);
  start(Two, 2);
  Judging.onRun({wire::RunEventKind::Acknowledged, Now, One, Task, 1, "",
                 RunOutcome::Done, true});
  run(wire::RunEventKind::Ended, Two, 2);
  run(wire::RunEventKind::Acknowledged, Two, 2);
  BOOST_TEST(Judging.findings().empty());
}

BOOST_AUTO_TEST_CASE(start_of_a_refused_job_is_found) {
  job().AcceptedAt.reset();
  start(One);
  BOOST_TEST(!Judging.findings().empty());
}

BOOST_AUTO_TEST_CASE(start_of_a_job_that_nobody_submitted_is_found) {
  Task.Work = WorkId("ffffffffffffffff");
  Judging.onRun({wire::RunEventKind::Started, Now, One, Task, 1, "x", {}});
  BOOST_TEST(found("unasked"));
}

BOOST_AUTO_TEST_CASE(start_long_after_a_cancellation_is_found) {
  job().CancelledAt = Now;
  Now += Millis(2000);
  start(One);
  BOOST_TEST(Judging.findings().empty());
  Now += Millis(3000);
  start(One, 2);
  BOOST_TEST(found("cancelled"));
}

BOOST_AUTO_TEST_CASE(start_on_a_leaving_server_is_found_unless_disturbed) {
  Judging.onDraining(One.Id, Now);
  Judging.disturbedUntil(Now + Millis(1000));
  Now += Millis(2500);
  start(One);
  BOOST_TEST(Judging.findings().empty());
  Now += Millis(2000);
  start(One, 2);
  BOOST_TEST(found("leaving"));
}

BOOST_AUTO_TEST_CASE(end_that_no_server_reached_is_found) {
  Judging.onState(Id, WorkPhase::Completed, Now);
  BOOST_TEST(found("false end"));
}

BOOST_AUTO_TEST_CASE(
    accepted_job_without_an_end_or_said_not_to_exist_is_found) {
  Judging.onState(Id, std::nullopt, Now + Millis(4000));
  BOOST_TEST(found("lost"));
  Judging.atEnd(Now);
  BOOST_TEST(Judging.findings().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
