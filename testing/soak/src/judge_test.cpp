// The judge finds each kind of broken promise, and nothing in a good history.
#include "judge.h"

#include <boost/test/unit_test.hpp>

#include <utility>

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
  std::int64_t WallMs = 1700000000000;
  TaskName Other{WorkId("17f00d5e3ab2c946"), 0, 0, 0};

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
  /// The judge looks every 50 ms at four servers, one of them with a label.
  void pass(Millis span) {
    for (const MonoTime until = Now + span; Now < until;) {
      Now += Millis(50);
      WallMs += 50;
      const Resources whole{8000, 8000, 8};
      Judging.review({{One.Id, {"rare"}, whole, {}},
                      {Two.Id, {}, whole, {}},
                      {BackendServerId("i-3"), {}, whole, {}},
                      {BackendServerId("i-4"), {}, whole, {}}},
                     Now, WallMs);
    }
  }
  /// Findings of idle jobs come when they run again.
  void endIdle() {
    const auto acceptedAt = std::exchange(job().AcceptedAt, std::nullopt);
    Judging.review({}, Now, WallMs);
    job().AcceptedAt = acceptedAt;
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

BOOST_AUTO_TEST_CASE(job_with_nothing_running_beside_room_is_found) {
  pass(Millis(2900));
  endIdle();
  BOOST_TEST(Judging.findings().empty());
  pass(Millis(3100));
  endIdle();
  BOOST_TEST(found("idle"));
  // The first look is at 102950 ms.
  BOOST_TEST(Judging.findings().at(0).find("from 102950 to 106000") !=
             std::string::npos);
  BOOST_TEST(Judging.findings().at(0).find("32 of 32 accelerators free") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(idle_job_that_never_moves_is_found_at_the_end) {
  pass(Millis(4000));
  job().Ended = WorkPhase::Completed;
  Judging.atEnd(Now);
  BOOST_TEST(found("idle"));
}

BOOST_AUTO_TEST_CASE(stopped_task_that_stays_down_is_found) {
  pass(Millis(1000));
  start(One);
  pass(Millis(4000));
  run(wire::RunEventKind::Ended, One, 1, RunOutcome::Stopped);
  pass(Millis(3100));
  endIdle();
  BOOST_TEST(found("idle"));
  BOOST_TEST(Judging.findings().size() == 1U);
}

BOOST_AUTO_TEST_CASE(job_without_room_for_it_twice_is_not_idle) {
  StepSpec &step = job().Spec.Steps[0];
  step.Requested.GpuCount = 8;
  step.RequiredLabel = "rare";
  // Only one server has the label.
  pass(Millis(4000));
  step.RequiredLabel.clear();
  step.Count = 3;
  step.Gang = true;
  // Four servers hold such a gang once.
  pass(Millis(4000));
  endIdle();
  BOOST_TEST(Judging.findings().empty());
}

BOOST_AUTO_TEST_CASE(job_beside_servers_half_in_use_is_not_idle) {
  JobStory &other = Judging.story(Other.Work);
  other.AcceptedAt = Now;
  StepSpec step;
  step.Requested.GpuCount = 8;
  step.Count = 2;
  other.Spec.Steps.push_back(step);
  for (const ServerIncarnation &on : {One, Two}) {
    Judging.onRun({wire::RunEventKind::Started, Now, on, Other, 1,
                   other.Program.str(), RunOutcome::Stopped});
    ++Other.Index;
  }
  pass(Millis(4000));
  endIdle();
  BOOST_TEST(Judging.findings().empty());
}

BOOST_AUTO_TEST_CASE(step_is_not_idle_before_its_turn) {
  StepSpec step = job().Spec.Steps[0];
  step.DependsOn = {0};
  job().Spec.Steps.push_back(step);
  start(One);
  pass(Millis(4000));
  // The second step's turn comes now.
  run(wire::RunEventKind::Ended, One, 1);
  pass(Millis(2900));
  BOOST_TEST(Judging.findings().empty());
  pass(Millis(200));
  endIdle();
  BOOST_TEST(found("idle"));
  BOOST_TEST(Judging.findings().at(0).find(".0.1.0,") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(occurrence_is_not_idle_before_it_is_due) {
  job().Spec.Repetitions = 1;
  job().Spec.FirstDueMs = WallMs + 10000;
  pass(Millis(12900));
  BOOST_TEST(Judging.findings().empty());
  pass(Millis(200));
  endIdle();
  BOOST_TEST(found("idle"));
}

BOOST_AUTO_TEST_CASE(job_is_not_idle_near_a_fault) {
  Judging.disturbedUntil(Now + Millis(10000));
  pass(Millis(12900));
  // One more, before 3 s have passed.
  Judging.disturbedUntil(Now + Millis(2000));
  pass(Millis(4900));
  endIdle();
  BOOST_TEST(Judging.findings().empty());
  pass(Millis(3100));
  endIdle();
  BOOST_TEST(found("idle"));
}

BOOST_AUTO_TEST_CASE(job_that_may_be_cancelled_or_is_not_accepted_is_not_idle) {
  job().AcceptedAt.reset();
  pass(Millis(4000));
  job().AcceptedAt = Now;
  job().CancelSent = true;
  pass(Millis(4000));
  endIdle();
  BOOST_TEST(Judging.findings().empty());
}

BOOST_AUTO_TEST_SUITE_END()
