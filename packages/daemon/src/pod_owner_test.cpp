// A pod's owner against fake backend servers, under losses and silences.
#include "citrongap/daemon/pod_owner.h"
#include "fake_backends.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace citrongap;

namespace {

constexpr Millis Patience{4000};
const EntryVmId FrontA("front-a");
const EntryVmId FrontB("front-b");
void ignore(const JobView &) {}

/// Empty when it is done.
std::string reasonOf(const Outcome &outcome) {
  return std::visit(Overloaded{[](const Done &) { return std::string(); },
                               [](const auto &it) { return it.Reason; }},
                    outcome);
}

PodTerms shortTerms() {
  PodTerms terms;
  terms.LeaseTerm = Millis(300);
  terms.TaskTerm = Millis(900);
  terms.SyncWait = Millis(100);
  terms.StartBy = Millis(300);
  terms.MemberLossAfter = Millis(500);
  return terms;
}

class FakeClaims final : public ClaimPort {
public:
  void takeOver(const PodId &) override {}
  void letGo() override {}
  void claim(const JobRequest &, ClaimCircumstances,
             std::function<void(const ClaimAnswer &)> callback) override {
    ++Claimed;
    callback(Next);
  }
  void release(const JobRequest &, const std::string &,
               std::function<void(bool)> callback) override {
    ++Releases;
    callback(true);
  }
  void accepted(const JobRequest &,
                std::function<void(Recorded)> callback) override {
    callback(Log);
  }
  void ended(const JobRequest &job, const std::optional<std::string> &,
             const Outcome &outcome,
             std::function<void(Recorded)> callback) override {
    if (std::holds_alternative<NotRun>(outcome))
      Refused.insert(job.SubmissionId);
    if (HoldEnds)
      HeldEnds.push_back(std::move(callback));
    else
      callback(Log);
  }
  std::optional<Outcome> outcomeOf(const JobId &) const override {
    return std::nullopt;
  }
  bool names(const JobRequest &job) const override {
    return Named.contains(job.SubmissionId);
  }
  bool holds() const override { return Holds; }
  std::vector<JobRequest> owed() const override {
    return Holds ? Owed : std::vector<JobRequest>();
  }

  ClaimAnswer Next = ClaimGranted{"claim", wallNow() + Seconds(10)};
  Recorded Log = Recorded::Yes;
  /// Submissions that the log has, and those whose refusal it was given.
  std::set<std::string> Named;
  std::set<std::string> Refused;
  unsigned Claimed = 0;
  unsigned Releases = 0;
  /// The log names the owner.
  bool Holds = true;
  std::vector<JobRequest> Owed;
  /// The log is silent: records of ends get no answer for now.
  bool HoldEnds = false;
  std::vector<std::function<void(Recorded)>> HeldEnds;
};

/// A broker of a single pod, or one that sends every job elsewhere.
class FakeBroker final : public PodBroker {
public:
  void choose(const PodId &home, const JobRequest &,
              std::function<void(PodId)> callback) override {
    callback(Elsewhere.empty() ? home : Elsewhere);
  }
  PodId homeOf(const JobId &) const override { return PodId("dc"); }
  void delegate(const PodId &, const JobRequest &,
                std::function<void(const Outcome &)> callback) override {
    Delegated = std::move(callback);
  }
  void cancelDelegated(const PodId &, const JobId &) override {
    Delegated(NotRun{"cancelled before it ran", 0});
  }

  PodId Elsewhere;
  std::function<void(const Outcome &)> Delegated;
};

/// One told message, in order.
struct Told {
  EntryVmId Front;
  Outcome Ended;
  bool Final;
};

/// Two renewals go out before the lease of a server without answers is lost.
PodTerms renewingTerms() {
  PodTerms terms;
  terms.LeaseTerm = Millis(3000);
  terms.TaskTerm = Millis(3100);
  return terms;
}

struct Fixture {
  explicit Fixture(unsigned servers = 4, PodTerms terms = shortTerms())
      : Servers(Loop, servers), Terms(terms), Owner(makeOwner("owner-1")) {
    Owner->configure(lists());
    Owner->setServers(Servers.list());
    Owner->activate({});
  }

  std::unique_ptr<PodOwner> makeOwner(const std::string &name) {
    return std::make_unique<PodOwner>(
        Loop, Servers, Claims, Broker, EntryVmId(name), DataCentreId("dc"),
        Terms,
        [this](const EntryVmId &front, const EndNotice &message,
               const std::function<void(bool)> &callback) {
          Messages.push_back({front, message.Ended, message.Final});
          if (message.Final)
            Ended[message.Job] = message.Ended;
          callback(true);
        });
  }

  static Configuration lists() {
    Configuration out;
    out.Accounts[ClientAccountId("a")] = {ClientAccountId("a"), PlanId("p")};
    out.Plans[PlanId("p")].Plan = PlanId("p");
    out.DataCentres[DataCentreId("dc")] = {DataCentreId("dc"), 1, 6, {8}};
    return out;
  }

  static JobRequest job(const std::string &key, std::uint32_t gang,
                        bool repeatable = true) {
    JobRequest it;
    it.Id = {ClientAccountId("a"), RequestKey(key)};
    it.Gang.Count = gang;
    it.Repeatable = repeatable;
    it.Deadline = wallNow() + Seconds(60);
    return it;
  }

  bool until(const std::function<bool()> &condition) {
    const MonoTime limit = monoNow() + Patience;
    while (!condition() && monoNow() < limit)
      Loop.runUntil(monoNow() + Millis(5));
    return condition();
  }

  bool ended(const JobRequest &job) { return Ended.contains(job.Id); }

  template <typename T> bool endedAs(const JobRequest &job) {
    return ended(job) && std::holds_alternative<T>(Ended.at(job.Id));
  }

  /// The most parts of `job` that ran at one time until its second start.
  unsigned mostAtOnceUntilRestart(const JobRequest &job) {
    constexpr Seconds RestartWithin{12};
    const MonoTime limit = monoNow() + RestartWithin;
    unsigned most = 0;
    while (Servers.releases(job.Id) < 2 && monoNow() < limit) {
      Loop.runUntil(monoNow() + Millis(5));
      most = std::max(most, Servers.running(job.Id));
    }
    return most;
  }

  EventLoop Loop;
  FakeBackends Servers;
  PodTerms Terms;
  FakeClaims Claims;
  FakeBroker Broker;
  std::vector<Told> Messages;
  std::map<JobId, Outcome> Ended;
  std::unique_ptr<PodOwner> Owner;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_gang_runs_whole_and_its_front_gets_all_results) {
  Fixture site;
  const auto job = Fixture::job("k", 16);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  const auto result = nlohmann::json::parse(
      std::get<Done>(site.Ended.at(job.Id)).Result, nullptr, false);
  BOOST_REQUIRE(result["parts"].size() == 2U);
  for (unsigned i = 0; i < 2; ++i) {
    BOOST_TEST(result["parts"][i]["result"] == "k");
    BOOST_TEST(result["parts"][i]["part"] == i);
  }
  BOOST_TEST(site.Servers.releases(job.Id) == 2U);
}

BOOST_AUTO_TEST_CASE(a_job_submitted_twice_runs_once) {
  Fixture site;
  const auto job = Fixture::job("k", 1);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  site.Owner->submit(job, {FrontB, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  site.Loop.runUntil(monoNow() + Millis(400));
  BOOST_TEST(site.Servers.releases(job.Id) == 1U);
}

BOOST_AUTO_TEST_CASE(a_lost_release_answer_starts_nothing_twice) {
  Fixture site;
  const auto job = Fixture::job("k", 8, false);
  site.Servers.loseReleaseAnswers(1);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Done>(job));
  BOOST_TEST(site.Servers.releases(job.Id) == 1U);
}

BOOST_AUTO_TEST_CASE(a_successor_adopts_a_running_gang_after_its_owner_froze) {
  Fixture site;
  site.Servers.setRun(Millis(1200));
  const auto job = Fixture::job("k", 16);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Servers.running(job.Id) == 2; }));
  site.Owner->deactivate();
  auto successor = site.makeOwner("owner-2");
  successor->configure(Fixture::lists());
  successor->setServers(site.Servers.list());
  successor->activate({});
  successor->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Done>(job));
  BOOST_TEST(site.Servers.releases(job.Id) == 2U);
}

BOOST_AUTO_TEST_CASE(a_planned_hand_over_needs_no_lapse) {
  Fixture site;
  site.Servers.setRun(Millis(300));
  const auto job = Fixture::job("k", 16);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Servers.running(job.Id) == 2; }));
  const HandOverPod message = site.Owner->handOver();
  BOOST_TEST(message.Leases.size() == 4U);
  BOOST_TEST(message.Jobs.size() == 1U);
  auto successor = site.makeOwner("owner-2");
  successor->configure(Fixture::lists());
  successor->setServers(site.Servers.list());
  const MonoTime begin = monoNow();
  successor->activate({message.Leases.begin(), message.Leases.end()});
  successor->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return !successor->recovering(); }));
  BOOST_CHECK(monoNow() - begin < shortTerms().LeaseTerm);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_TEST(site.Servers.releases(job.Id) == 2U);
}

BOOST_AUTO_TEST_CASE(
    a_gang_that_lost_a_server_stops_on_the_others_within_its_bound) {
  Fixture site(2);
  site.Servers.setRun(Millis(60000));
  const auto job = Fixture::job("k", 16);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Servers.running(job.Id) == 2; }));
  site.Servers.setSilent(BackendServerId("s1"), true);
  const PodTerms terms = shortTerms();
  const MonoTime lapsed = monoNow() + terms.TaskTerm + terms.MemberLossAfter;
  BOOST_TEST(site.until([&] { return site.Servers.running(job.Id) == 0; }));
  BOOST_CHECK(monoNow() < lapsed);
}

BOOST_AUTO_TEST_CASE(a_cancelled_waiting_job_never_runs) {
  Fixture site(1);
  site.Servers.setRun(Millis(400));
  const auto first = Fixture::job("first", 8);
  const auto second = Fixture::job("second", 8);
  site.Owner->submit(first, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(
      site.until([&] { return site.Servers.running(first.Id) == 1; }));
  site.Owner->submit(second, {FrontA, false, false}, ignore);
  JobView view;
  site.Owner->cancel(second.Id, [&](const JobView &it) { view = it; });
  BOOST_REQUIRE(
      site.until([&] { return site.ended(first) && site.ended(second); }));
  BOOST_CHECK(std::holds_alternative<NotRun>(view.Ended));
  site.Loop.runUntil(monoNow() + Millis(300));
  BOOST_TEST(site.Servers.releases(second.Id) == 0U);
}

BOOST_AUTO_TEST_CASE(cancelling_a_running_job_stops_it_and_says_that_it_ran) {
  Fixture site;
  site.Servers.setRun(Millis(60000));
  const auto job = Fixture::job("k", 16);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Servers.running(job.Id) == 2; }));
  site.Owner->cancel(job.Id, [](const JobView &) {});
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Failed>(job));
  BOOST_TEST(site.Servers.running(job.Id) == 0U);
}

BOOST_AUTO_TEST_CASE(a_job_whose_claim_is_denied_never_reaches_a_server) {
  Fixture site;
  site.Claims.Next = ClaimDenied{NotRun{"the log is away", 1000}};
  const auto job = Fixture::job("k", 1, false);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<NotRun>(job));
  BOOST_TEST(site.Servers.releases(job.Id) == 0U);
}

BOOST_AUTO_TEST_CASE(not_run_is_told_to_every_front_before_any_caller) {
  Fixture site(1);
  site.Servers.setRun(Millis(1000));
  const auto first = Fixture::job("first", 8);
  const auto second = Fixture::job("second", 8);
  site.Owner->submit(first, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(
      site.until([&] { return site.Servers.running(first.Id) == 1; }));
  site.Owner->submit(second, {FrontA, false, false}, ignore);
  site.Owner->submit(second, {FrontB, false, false}, ignore);
  site.Owner->cancel(second.Id, [](const JobView &) {});
  BOOST_REQUIRE(site.until([&] { return site.ended(second); }));
  BOOST_REQUIRE(site.Messages.size() == 4U);
  BOOST_TEST(!site.Messages[0].Final);
  BOOST_TEST(!site.Messages[1].Final);
  BOOST_TEST(site.Messages[2].Final);
  BOOST_TEST(site.Messages[3].Final);
}

BOOST_AUTO_TEST_CASE(a_leaving_server_gets_no_new_work) {
  Fixture site(2);
  auto list = site.Servers.list();
  list[0].Leaving = true;
  site.Owner->setServers(list);
  BOOST_REQUIRE(site.until([&] { return !site.Owner->recovering(); }));
  for (int i = 0; i < 10; ++i)
    site.Owner->submit(Fixture::job("k" + std::to_string(i), 1),
                       {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Ended.size() == 10; }));
  for (const auto &[id, outcome] : site.Ended)
    BOOST_TEST(reasonOf(outcome) == "");
  BOOST_TEST(site.Servers.prepares(BackendServerId("s0")) == 0U);
  BOOST_TEST(site.Servers.prepares(BackendServerId("s1")) == 10U);
}

BOOST_AUTO_TEST_CASE(a_delegated_job_runs_elsewhere_and_ends_here) {
  Fixture site;
  site.Broker.Elsewhere = PodId("other");
  const auto job = Fixture::job("k", 1);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return bool(site.Broker.Delegated); }));
  BOOST_CHECK(site.Owner->view(job.Id).At == PodId("other"));
  site.Broker.Delegated(Done{"x"});
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Done>(job));
  BOOST_TEST(site.Servers.releases(job.Id) == 0U);
}

BOOST_AUTO_TEST_CASE(a_job_that_its_home_sent_here_is_not_passed_on) {
  Fixture site;
  site.Broker.Elsewhere = PodId("other");
  const auto job = Fixture::job("k", 1);
  site.Owner->submit(job, {FrontA, true, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_TEST(site.Servers.releases(job.Id) == 1U);
}

BOOST_AUTO_TEST_CASE(a_deferred_claim_is_asked_again_and_starts_once) {
  Fixture site;
  const ClaimAnswer granted = site.Claims.Next;
  site.Claims.Next = ClaimDeferred{"the log is slow"};
  const auto job = Fixture::job("k", 1, false);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  site.Loop.runUntil(monoNow() + Millis(700));
  BOOST_TEST(site.Servers.releases(job.Id) == 0U);
  site.Claims.Next = granted;
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Done>(job));
  BOOST_TEST(site.Servers.releases(job.Id) == 1U);
}

BOOST_AUTO_TEST_CASE(not_run_is_not_said_while_the_log_may_bring_the_job_back) {
  Fixture site(1);
  site.Servers.setRun(Millis(60000));
  const auto first = Fixture::job("first", 8);
  const auto second = Fixture::job("second", 8);
  site.Owner->submit(first, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(
      site.until([&] { return site.Servers.running(first.Id) == 1; }));
  site.Claims.Log = Recorded::Unclear;
  site.Owner->submit(second, {FrontA, false, false}, ignore);
  site.Owner->cancel(second.Id, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(second); }));
  BOOST_CHECK(site.endedAs<Unknown>(second));
}

BOOST_AUTO_TEST_CASE(a_job_that_the_log_owes_is_taken_up_by_its_home) {
  Fixture site;
  const auto job = Fixture::job("k", 1);
  site.Claims.Owed = {job};
  BOOST_REQUIRE(site.until([&] { return site.Servers.releases(job.Id) == 1; }));
}

// The owner looked once before the log named it, and again only 5 s later.
BOOST_AUTO_TEST_CASE(
    a_job_that_the_log_owes_is_taken_up_as_soon_as_the_log_names_the_owner) {
  Fixture site;
  const auto job = Fixture::job("k", 1);
  site.Claims.Holds = false;
  site.Claims.Owed = {job};
  BOOST_REQUIRE(site.until([&] { return !site.Owner->recovering(); }));
  site.Loop.runUntil(monoNow() + Millis(500));
  site.Claims.Holds = true;
  const MonoTime named = monoNow();
  BOOST_REQUIRE(site.until([&] { return site.Servers.releases(job.Id) == 1; }));
  BOOST_CHECK(monoNow() - named < Seconds(1));
}

// The look of the ownership before counted, and the next one came 5 s later.
BOOST_AUTO_TEST_CASE(
    a_job_that_the_log_owes_is_taken_up_soon_after_a_second_take_over) {
  Fixture site;
  const auto job = Fixture::job("k", 1);
  BOOST_REQUIRE(site.until([&] { return !site.Owner->recovering(); }));
  site.Loop.runUntil(monoNow() + Millis(500));
  site.Owner->deactivate();
  site.Claims.Owed = {job};
  site.Owner->activate({});
  BOOST_REQUIRE(site.until([&] { return !site.Owner->recovering(); }));
  const MonoTime taken = monoNow();
  BOOST_REQUIRE(site.until([&] { return site.Servers.releases(job.Id) == 1; }));
  BOOST_CHECK(monoNow() - taken < Seconds(1));
}

BOOST_AUTO_TEST_CASE(a_late_state_from_before_the_release_stops_nothing) {
  Fixture site;
  site.Servers.setRun(Millis(400));
  site.Servers.tellPreparedLate(true);
  const auto job = Fixture::job("k", 1, false);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Done>(job));
}

BOOST_AUTO_TEST_CASE(a_refused_key_may_be_submitted_anew_and_then_runs) {
  Fixture site;
  const ClaimAnswer granted = site.Claims.Next;
  site.Claims.Next = ClaimDenied{NotRun{"the log is away", 1000}};
  auto job = Fixture::job("k", 1, false);
  job.SubmissionId = "first";
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.endedAs<NotRun>(job); }));
  site.Claims.Next = granted;
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  site.Loop.runUntil(monoNow() + Millis(300));
  BOOST_TEST(site.Servers.releases(job.Id) == 0U);
  job.SubmissionId = "second";
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.endedAs<Done>(job); }));
  BOOST_TEST(site.Servers.releases(job.Id) == 1U);
}

BOOST_AUTO_TEST_CASE(an_older_submission_never_starts_after_a_newer_refusal) {
  Fixture site;
  const ClaimAnswer granted = site.Claims.Next;
  site.Claims.Next = ClaimDenied{NotRun{"the log is away", 1000}};
  const auto submission = [](const char *name) {
    auto job = Fixture::job("k", 1, false);
    job.SubmissionId = name;
    return job;
  };
  // Front B holds the second one, whose caller gave up waiting and asked A.
  site.Owner->submit(submission("first"), {FrontA, false, false}, ignore);
  site.Owner->submit(submission("second"), {FrontB, false, false}, ignore);
  const JobId id = submission("third").Id;
  BOOST_REQUIRE(site.until([&] { return site.Ended.contains(id); }));
  site.Ended.clear();
  site.Owner->submit(submission("third"), {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Ended.contains(id); }));
  site.Claims.Next = granted;
  site.Owner->submit(submission("second"), {FrontB, false, true}, ignore);
  site.Loop.runUntil(monoNow() + Millis(300));
  BOOST_TEST(site.Servers.releases(id) == 0U);
}

// The scheduler refused the job when it was admitted again, while a server that
// had not told what it runs might have been running it.
BOOST_AUTO_TEST_CASE(
    not_run_is_not_told_of_a_claimed_job_that_is_not_admitted_again) {
  Fixture site;
  site.Claims.Next = ClaimDeferred{"some servers have not told what they run"};
  const auto job = Fixture::job("k", 1, false);
  site.Owner->submit(job, {FrontA, false, true}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Claims.Claimed == 1; }));
  site.Owner->configure(Configuration());
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Unknown>(job));
}

// A run was lost, and the scheduler refused the job when it was to run again.
BOOST_AUTO_TEST_CASE(not_run_is_not_told_of_a_job_that_is_refused_after_a_run) {
  Fixture site(2);
  site.Servers.setRun(Seconds(60));
  const auto job = Fixture::job("k", 1);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Servers.running(job.Id) == 1; }));
  site.Owner->configure(Configuration());
  site.Servers.setSilent(site.Servers.serverOf(job.Id), true);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Failed>(job));
}

// A run was lost, and the job was cancelled while it waited for another one.
BOOST_AUTO_TEST_CASE(
    not_run_is_not_told_of_a_job_that_is_cancelled_after_a_run) {
  Fixture site(2);
  site.Servers.setRun(Seconds(60));
  const auto job = Fixture::job("k", 16);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Servers.running(job.Id) == 2; }));
  site.Servers.setSilent(BackendServerId("s1"), true);
  BOOST_REQUIRE(site.until(
      [&] { return site.Owner->view(job.Id).Stage == JobStage::Waiting; }));
  site.Owner->cancel(job.Id, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Failed>(job));
}

// Only the refusal of one submission was recorded; the next owner found that
// the log owed the other one, and started it.
BOOST_AUTO_TEST_CASE(refusal_is_recorded_for_each_submission_that_the_log_has) {
  Fixture site(1);
  site.Servers.setRun(Seconds(60));
  const auto first = Fixture::job("first", 8);
  site.Owner->submit(first, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(
      site.until([&] { return site.Servers.running(first.Id) == 1; }));
  site.Claims.Named = {"one", "two"};
  auto job = Fixture::job("k", 8);
  for (const char *it : {"one", "two", "three"}) {
    job.SubmissionId = it;
    site.Owner->submit(job, {FrontA, false, true}, ignore);
  }
  site.Owner->cancel(job.Id, ignore);
  BOOST_REQUIRE(site.until([&] { return site.endedAs<NotRun>(job); }));
  BOOST_CHECK(site.Claims.Refused == site.Claims.Named);
}

// The log owed a submission of a key that had been refused under another one;
// the next owner started it.
BOOST_AUTO_TEST_CASE(submission_that_the_log_owes_is_refused_with_its_key) {
  Fixture site;
  site.Claims.Holds = false;
  site.Claims.Next = ClaimDenied{NotRun{"the log is away", 1000}};
  auto job = Fixture::job("k", 1, false);
  job.SubmissionId = "one";
  site.Claims.Owed = {job};
  job.SubmissionId = "two";
  site.Owner->submit(job, {FrontA, false, true}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.endedAs<NotRun>(job); }));
  site.Claims.Holds = true;
  BOOST_TEST(site.until([&] { return site.Claims.Refused.contains("one"); }));
}

BOOST_AUTO_TEST_CASE(a_front_that_asks_while_a_refusal_is_recorded_is_told) {
  Fixture site;
  site.Claims.Next = ClaimDenied{NotRun{"the log is slow", 1000}};
  site.Claims.HoldEnds = true;
  auto job = Fixture::job("k", 1, false);
  job.SubmissionId = "first";
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return !site.Claims.HeldEnds.empty(); }));
  job.SubmissionId = "second";
  site.Owner->submit(job, {FrontB, false, false}, ignore);
  for (const auto &callback : std::exchange(site.Claims.HeldEnds, {}))
    callback(Recorded::Yes);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  const auto toldLast = [&](const EntryVmId &front) {
    return std::any_of(
        site.Messages.begin(), site.Messages.end(),
        [&](const Told &it) { return it.Front == front && it.Final; });
  };
  BOOST_TEST(toldLast(FrontA));
  BOOST_TEST(toldLast(FrontB));
}

BOOST_AUTO_TEST_CASE(
    a_handed_over_job_is_not_called_not_run_before_the_log_agrees) {
  Fixture site;
  site.Claims.Next = ClaimDenied{NotRun{"the log is away", 1000}};
  site.Claims.Log = Recorded::No;
  const auto job = Fixture::job("k", 1, false);
  site.Owner->submit(job, {FrontA, false, true}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Unknown>(job));
}

BOOST_AUTO_TEST_CASE(an_owner_without_leases_does_not_say_not_run) {
  Fixture site(1);
  site.Servers.setRun(Millis(60000));
  const auto first = Fixture::job("first", 8);
  const auto second = Fixture::job("second", 8);
  site.Owner->submit(first, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(
      site.until([&] { return site.Servers.running(first.Id) == 1; }));
  site.Owner->submit(second, {FrontA, false, false}, ignore);
  site.Servers.setSilent(BackendServerId("s0"), true);
  site.Loop.runUntil(monoNow() + shortTerms().LeaseTerm + Millis(100));
  site.Owner->cancel(second.Id, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(second); }));
  BOOST_CHECK(site.endedAs<Unknown>(second));
}

BOOST_AUTO_TEST_CASE(late_states_of_an_ended_attempt_are_not_adopted) {
  Fixture site(2);
  BOOST_REQUIRE(site.until([&] { return !site.Owner->recovering(); }));
  site.Servers.tellPreparedLate(true);
  site.Servers.refusePrepares(BackendServerId("s1"), 1);
  const auto job = Fixture::job("k", 16, false);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.ended(job); }));
  BOOST_CHECK(site.endedAs<Done>(job));
  BOOST_TEST(site.Servers.releases(job.Id) == 2U);
}

BOOST_AUTO_TEST_CASE(a_task_whose_part_its_record_lacks_is_left_alone) {
  Fixture site(1);
  BOOST_REQUIRE(site.until([&] { return !site.Owner->recovering(); }));
  const HandOverPod message = site.Owner->handOver();
  const auto job = Fixture::job("k", 1);
  const AttemptRecord record{job, "attempt", {{{BackendServerId("s0"), {0}}}}};
  const PrepareTask task{
      TaskId("attempt-7"),   job.Id,      7,           8,           {0},
      encodeAttempt(record), Millis(300), Millis(900), std::nullopt};
  bool prepared = false;
  site.Servers.prepare(
      site.Servers.list()[0].Address, message.Leases[0].second, task,
      monoNow() + Millis(1000), [&](const PortResult<std::monostate> &result) {
        prepared = std::holds_alternative<std::monostate>(result);
      });
  BOOST_REQUIRE(site.until([&] { return prepared; }));
  auto successor = site.makeOwner("owner-2");
  successor->configure(Fixture::lists());
  successor->setServers(site.Servers.list());
  successor->activate({message.Leases.begin(), message.Leases.end()});
  BOOST_TEST(site.until([&] { return !successor->recovering(); }));
  BOOST_CHECK(successor->view(job.Id).Stage == JobStage::NotKnown);
}

// Guards against: a renewal that was carried out without an answer keeps a
// task running after its owner counts it as lapsed and starts it elsewhere.
BOOST_AUTO_TEST_CASE(unanswered_renewals_do_not_let_a_job_run_twice_at_once) {
  Fixture site(2, renewingTerms());
  site.Servers.setRun(Seconds(60));
  const auto job = Fixture::job("k", 1);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Servers.running(job.Id) == 1; }));
  site.Servers.loseAnswers(site.Servers.serverOf(job.Id));
  BOOST_TEST(site.mostAtOnceUntilRestart(job) == 1U);
  BOOST_TEST(site.Servers.releases(job.Id) == 2U);
}

// Guards against: a renewal that is carried out late lasts as much longer at
// the server, so that its task goes on after it was started elsewhere.
BOOST_AUTO_TEST_CASE(late_renewals_do_not_let_a_job_run_twice_at_once) {
  PodTerms terms = renewingTerms();
  terms.SyncWait = Millis(100);
  Fixture site(2, terms);
  site.Servers.setRun(Seconds(60));
  const auto job = Fixture::job("k", 1);
  site.Owner->submit(job, {FrontA, false, false}, ignore);
  BOOST_REQUIRE(site.until([&] { return site.Servers.running(job.Id) == 1; }));
  site.Servers.loseAnswers(site.Servers.serverOf(job.Id), Millis(2500));
  BOOST_TEST(site.mostAtOnceUntilRestart(job) == 1U);
  BOOST_TEST(site.Servers.releases(job.Id) == 2U);
}
