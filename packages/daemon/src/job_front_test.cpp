// A front against a directory whose owners die, refuse and change.
#include "citrongap/daemon/job_front.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

namespace {

const PodId Pod("dc");

/// Owners as the test wants them; answers come a moment later.
class FakeDirectory final : public PodDirectory {
public:
  explicit FakeDirectory(EventLoop &loop) : Loop(loop) {}

  void submit(const SubmitJob &message, MonoTime,
              ViewCallback callback) override {
    Submitted.push_back(message);
    answer(std::move(callback));
  }
  void query(const QueryJob &, MonoTime, ViewCallback callback) override {
    answer(std::move(callback));
  }
  void cancel(const CancelJob &, MonoTime, ViewCallback callback) override {
    answer(std::move(callback));
  }
  void guard(const GuardJob &, MonoTime,
             std::function<void(bool)> callback) override {
    ++Guards;
    later([callback] { callback(true); });
  }
  std::string ownerOf(const PodId &) const override { return Owner; }
  bool ownedHere(const PodId &) const override { return OwnedHere; }

  std::optional<JobView> View = JobView{JobStage::Waiting, {}, Pod};
  std::string Owner = "vm-1@1";
  bool OwnedHere = false;
  std::vector<SubmitJob> Submitted;
  unsigned Guards = 0;

private:
  void answer(ViewCallback callback) {
    later([callback = std::move(callback), view = View] { callback(view); });
  }
  void later(std::function<void()> callback) {
    Timers.push_back(Loop.at(monoNow(), std::move(callback)));
  }

  EventLoop &Loop;
  std::vector<Timer> Timers;
};

struct Fixture {
  EventLoop Loop;
  FakeDirectory Directory{Loop};
  JobFront Front{Loop, Directory};
  std::vector<JobFront::Answer> Answers;

  static JobRequest job(Millis deadline = Millis(60000)) {
    JobRequest it;
    it.Id = {ClientAccountId("a"), RequestKey("k")};
    it.Deadline = wallNow() + deadline;
    it.SubmissionId = "s";
    return it;
  }

  JobFront::Submitted submit(const JobRequest &job, Millis wait) {
    return Front.submit(
        Pod, job, monoNow() + wait,
        [this](const JobFront::Answer &it) { Answers.push_back(it); });
  }

  bool until(const std::function<bool()> &condition) {
    const MonoTime limit = monoNow() + Millis(4000);
    while (!condition() && monoNow() < limit)
      Loop.runUntil(monoNow() + Millis(5));
    return condition();
  }

  void end(const Outcome &outcome, bool final = true) {
    Front.onEnded({Pod, job().Id, outcome, final});
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_caller_gets_the_outcome_of_its_job, Fixture) {
  submit(job(), Millis(3000));
  BOOST_REQUIRE(until([&] { return !Directory.Submitted.empty(); }));
  end(Done{"x"});
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_CHECK(std::get<Outcome>(Answers[0]) == Outcome(Done{"x"}));
}

BOOST_FIXTURE_TEST_CASE(every_caller_of_one_key_gets_the_one_outcome, Fixture) {
  submit(job(), Millis(3000));
  submit(job(), Millis(3000));
  until([&] { return !Directory.Submitted.empty(); });
  end(Done{"x"});
  submit(job(), Millis(3000));
  BOOST_TEST(Answers.size() == 3U);
  BOOST_TEST(Directory.Submitted.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_key_of_another_request_is_refused, Fixture) {
  submit(job(), Millis(3000));
  auto other = job();
  other.Payload = "other";
  BOOST_CHECK(
      std::holds_alternative<JobFront::KeyReused>(submit(other, Millis(3000))));
}

BOOST_FIXTURE_TEST_CASE(a_wait_that_ends_tells_the_stage, Fixture) {
  submit(job(), Millis(20));
  BOOST_REQUIRE(until([&] { return !Answers.empty(); }));
  BOOST_CHECK(std::get<JobStage>(Answers[0]) == JobStage::Waiting);
}

BOOST_FIXTURE_TEST_CASE(nothing_is_accepted_before_a_second_process_holds_it,
                        Fixture) {
  Directory.View = std::nullopt;
  submit(job(), Millis(20));
  Loop.runUntil(monoNow() + Millis(300));
  BOOST_TEST(Answers.empty());
  Directory.View = JobView{JobStage::Waiting, {}, Pod};
  BOOST_TEST(until([&] { return !Answers.empty(); }));
}

BOOST_FIXTURE_TEST_CASE(a_job_that_its_own_entry_vm_owns_gets_a_guard,
                        Fixture) {
  Directory.OwnedHere = true;
  submit(job(), Millis(20));
  BOOST_REQUIRE(until([&] { return !Answers.empty(); }));
  BOOST_TEST(Directory.Guards == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_new_owner_gets_open_jobs_again_and_is_told_so,
                        Fixture) {
  submit(job(), Millis(3000));
  BOOST_REQUIRE(until([&] { return Directory.Submitted.size() == 1; }));
  BOOST_TEST(!Directory.Submitted[0].Again);
  until([&] { return Directory.Guards > 0; });
  Directory.Owner = "vm-2@1";
  Front.onOwnersChanged();
  BOOST_REQUIRE(until([&] { return Directory.Submitted.size() >= 2; }));
  BOOST_TEST(Directory.Submitted[1].Again);
}

BOOST_FIXTURE_TEST_CASE(a_job_told_as_ended_is_not_submitted_again, Fixture) {
  submit(job(), Millis(3000));
  until([&] { return Directory.Submitted.size() == 1; });
  end(NotRun{"cancelled", 0}, false);
  BOOST_TEST(Answers.empty());
  Directory.Owner = "vm-2@1";
  Front.onOwnersChanged();
  Loop.runUntil(monoNow() + Millis(400));
  BOOST_TEST(Directory.Submitted.size() == 1U);
}

// An owner died between the first and the last word on a job that was done, and
// its callers heard "waiting" for good.
BOOST_FIXTURE_TEST_CASE(a_job_that_is_done_is_told_at_the_owners_first_word,
                        Fixture) {
  submit(job(), Millis(3000));
  until([&] { return Directory.Submitted.size() == 1; });
  end(Done{"x"}, false);
  Directory.Owner = "vm-2@1";
  Front.onOwnersChanged();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_CHECK(std::get<Outcome>(Answers[0]) == Outcome(Done{"x"}));
}

BOOST_FIXTURE_TEST_CASE(a_refused_key_is_submitted_anew_by_its_next_caller,
                        Fixture) {
  submit(job(), Millis(3000));
  until([&] { return Directory.Submitted.size() == 1; });
  end(NotRun{"the log is away", 1000});
  auto again = job();
  again.SubmissionId = "t";
  submit(again, Millis(3000));
  BOOST_REQUIRE(until([&] { return Directory.Submitted.size() == 2; }));
  BOOST_TEST(Directory.Submitted[1].Job.SubmissionId == "t");
}

BOOST_FIXTURE_TEST_CASE(without_any_owner_it_is_not_run_after_the_deadline,
                        Fixture) {
  Directory.Owner.clear();
  Directory.View = std::nullopt;
  submit(job(Millis(300)), Millis(3000));
  BOOST_REQUIRE(until([&] { return !Answers.empty(); }));
  BOOST_CHECK(std::holds_alternative<NotRun>(std::get<Outcome>(Answers[0])));
}

BOOST_FIXTURE_TEST_CASE(a_planned_stop_answers_every_open_call, Fixture) {
  submit(job(), Millis(60000));
  until([&] { return Directory.Submitted.size() == 1; });
  Front.passOn();
  Front.releaseWaiters();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_CHECK(std::get<JobStage>(Answers[0]) == JobStage::Waiting);
  BOOST_TEST(Directory.Guards >= 1U);
}

BOOST_FIXTURE_TEST_CASE(a_refusal_is_not_told_from_memory, Fixture) {
  submit(job(), Millis(3000));
  until([&] { return Directory.Submitted.size() == 1; });
  end(NotRun{"the log is away", 1000});
  Directory.View = JobView{JobStage::Ended, Done{"ran elsewhere"}, Pod};
  std::optional<JobFront::Answer> told;
  Front.await(Pod, job().Id, monoNow(),
              [&](const JobFront::Answer &it) { told = it; });
  BOOST_REQUIRE(until([&] { return told.has_value(); }));
  BOOST_CHECK(std::get<Outcome>(*told) == Outcome(Done{"ran elsewhere"}));
}

BOOST_FIXTURE_TEST_CASE(a_call_is_answered_when_its_pod_has_no_owner, Fixture) {
  Directory.Owner.clear();
  Directory.View = std::nullopt;
  submit(job(), Millis(20));
  BOOST_REQUIRE(until([&] { return !Answers.empty(); }));
  BOOST_CHECK(std::holds_alternative<Unknown>(std::get<Outcome>(Answers[0])));
}
