// Accepted jobs, refusals and results over a log in memory.
#include "citrongap/daemon/ledger_claims.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace citrongap;

namespace {

/// A log that takes and gives everything at once.
class QuickLog final : public LogPort {
public:
  explicit QuickLog(EventLoop &loop) : Loop(loop) {}

  void append(const std::string &, std::vector<std::string> bodies, MonoTime,
              PortCallback<LogOffset> callback) override {
    const LogOffset first(Records.size());
    for (auto &it : bodies)
      Records.push_back({LogOffset(Records.size()), std::move(it)});
    later([callback = std::move(callback), first] { callback(first); });
  }

  void read(const std::string &, LogOffset from, Millis, MonoTime,
            PortCallback<LogPage> callback) override {
    LogPage page{LogOffset(0), LogOffset(Records.size()), {}};
    for (std::size_t i = from.value(); i < Records.size(); ++i)
      page.Records.push_back(Records[i]);
    later([callback = std::move(callback), page] { callback(page); });
  }

private:
  void later(std::function<void()> callback) {
    Timers.push_back(Loop.at(monoNow(), std::move(callback)));
  }

  EventLoop &Loop;
  std::vector<LogRecord> Records;
  std::deque<Timer> Timers;
};

struct Fixture {
  EventLoop Loop;
  QuickLog Log{Loop};
  LedgerClaims Claims{Loop, Log, EntryVmId("vm-1")};

  Fixture() {
    Claims.start();
    Claims.takeOver(PodId("dc"));
    Loop.runUntil(monoNow() + Millis(100));
  }

  static JobRequest job(const std::string &submission) {
    JobRequest it;
    it.Id = {ClientAccountId("a"), RequestKey("k")};
    it.Deadline = wallNow() + Seconds(60);
    it.SubmissionId = submission;
    return it;
  }

  bool claim(const JobRequest &job) {
    bool granted = false;
    Claims.claim(job, {.Fenced = true, .Fresh = true},
                 [&](const ClaimAnswer &it) {
                   granted = std::holds_alternative<ClaimGranted>(it);
                   Loop.stop();
                 });
    Loop.runUntil(monoNow() + Millis(3000));
    return granted;
  }

  Recorded accept(const JobRequest &job) {
    Recorded out = Recorded::Unclear;
    Claims.accepted(job, [&](Recorded it) {
      out = it;
      Loop.stop();
    });
    Loop.runUntil(monoNow() + Millis(3000));
    return out;
  }

  Recorded end(const JobRequest &job, const Outcome &outcome) {
    Recorded out = Recorded::Unclear;
    Claims.ended(job, std::nullopt, outcome, [&](Recorded it) {
      out = it;
      Loop.stop();
    });
    Loop.runUntil(monoNow() + Millis(3000));
    return out;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(an_accepted_job_is_owed_until_it_is_done, Fixture) {
  BOOST_CHECK(accept(job("s")) == Recorded::Yes);
  BOOST_REQUIRE(Claims.owed().size() == 1U);
  BOOST_TEST(Claims.owed()[0].SubmissionId == "s");
  BOOST_CHECK(end(job("s"), Done{"x"}) == Recorded::Yes);
  BOOST_TEST(Claims.owed().empty());
  BOOST_CHECK(Claims.outcomeOf(job("s").Id) == Outcome(Done{"x"}));
}

BOOST_FIXTURE_TEST_CASE(a_cancelled_submission_is_not_owed_any_more, Fixture) {
  accept(job("s"));
  BOOST_CHECK(end(job("s"), NotRun{"cancelled", 0}) == Recorded::Yes);
  BOOST_TEST(Claims.owed().empty());
}

BOOST_FIXTURE_TEST_CASE(a_key_refused_once_is_owed_when_accepted_anew,
                        Fixture) {
  accept(job("s"));
  end(job("s"), NotRun{"the log is away", 1000});
  BOOST_CHECK(accept(job("t")) == Recorded::Yes);
  BOOST_REQUIRE(Claims.owed().size() == 1U);
  BOOST_TEST(Claims.owed()[0].SubmissionId == "t");
}

BOOST_FIXTURE_TEST_CASE(
    holder_takes_the_pod_over_again_after_a_rival_has_let_it_go, Fixture) {
  LedgerClaims rival(Loop, Log, EntryVmId("vm-2"));
  rival.start();
  Loop.runUntil(monoNow() + Millis(100));
  rival.takeOver(PodId("dc"));
  Loop.runUntil(monoNow() + Millis(100));
  BOOST_REQUIRE(rival.writer().ledger().holderOf(PodId("dc"))->Holder ==
                EntryVmId("vm-2"));
  rival.letGo();
  BOOST_TEST(!claim(job("s")));
  Loop.runUntil(monoNow() + Millis(1000));
  BOOST_TEST(claim(job("s")));
}

BOOST_FIXTURE_TEST_CASE(
    job_waits_while_the_log_names_another_holder_instead_of_being_refused,
    Fixture) {
  LedgerClaims rival(Loop, Log, EntryVmId("vm-2"));
  rival.start();
  Loop.runUntil(monoNow() + Millis(100));
  rival.takeOver(PodId("dc"));
  Loop.runUntil(monoNow() + Millis(100));
  bool deferred = false;
  Claims.claim(job("s"), {.Fenced = true, .Fresh = true},
               [&](const ClaimAnswer &it) {
                 deferred = std::holds_alternative<ClaimDeferred>(it);
                 Loop.stop();
               });
  Loop.runUntil(monoNow() + Millis(3000));
  BOOST_TEST(deferred);
}

// Two take-overs of one moment have the same term; the later one in the log was
// tried again only half a second later.
BOOST_FIXTURE_TEST_CASE(
    take_over_that_lost_to_one_of_the_same_moment_is_tried_again_at_once,
    Fixture) {
  LedgerClaims rival(Loop, Log, EntryVmId("vm-2"));
  rival.start();
  Loop.runUntil(monoNow() + Millis(100));
  rival.takeOver(PodId("dc-2"));
  Claims.takeOver(PodId("dc-2"));
  Loop.runUntil(monoNow() + Millis(200));
  BOOST_TEST(Claims.holds());
}
