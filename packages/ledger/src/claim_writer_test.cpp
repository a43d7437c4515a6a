// Claims over a log that loses answers, lands appends late or is away.
#include "citrongap/ledger/claim_writer.h"

#include "mock_log.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;
using citrongap::testing::MockLog;
using citrongap::testing::runUntil;

namespace {

ClaimWriterSettings quick() {
  ClaimWriterSettings settings;
  settings.Reading = {Millis(50), Millis(50), Millis(5), Millis(5), Millis(20)};
  settings.Appending.AppendTime = Millis(50);
  settings.Appending.RetryAfter = Millis(20);
  settings.OutageWait = Millis(30);
  settings.VoidTime = Millis(100);
  return settings;
}

const PodId Pod("one");

struct Fixture {
  EventLoop Loop;
  MockLog Log{Loop};
  std::vector<ClaimResult> Results;

  Fixture() { Log.store({encode({"t", {}, PodTakeOver{Pod, holding()}})}); }

  static std::string encode(const JobRecord &it) { return encodeJobRecord(it); }
  static PodHolding holding() { return {EntryVmId("a"), PodTerm(0)}; }
  static MonoTime soon(int ms = 1000) { return monoNow() + Millis(ms); }
  static ClaimRequest request(const std::string &key) {
    return {{ClientAccountId("guild"), RequestKey(key)},
            Pod,
            holding(),
            wallNow() + Millis(10'000),
            wallNow() + Millis(60'000)};
  }
  static JobRecord otherClaim(const std::string &key) {
    const auto it = request(key);
    return {"other", wallNow(),
            JobClaim{ClaimId("other"), it.Job, Pod, it.By, it.StartBy,
                     it.Deadline}};
  }

  auto keep() {
    return [this](const ClaimResult &it) { Results.push_back(it); };
  }
  bool answered(std::size_t n = 1) {
    return runUntil(Loop, [&] { return Results.size() >= n; });
  }
  void startCaughtUp(ClaimWriter &writer) {
    writer.start();
    BOOST_REQUIRE(runUntil(Loop, [&] { return writer.caughtUp(); }));
  }
  template <typename T> const T &result(std::size_t n = 0) {
    BOOST_REQUIRE(std::holds_alternative<T>(Results.at(n)));
    return std::get<T>(Results.at(n));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(claim_survives_a_lost_append_answer, Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  Log.LoseAnswers = 1;
  writer.claim(request("k"), soon(), keep());
  BOOST_TEST(answered());
  const auto &won = result<ClaimWon>();
  BOOST_TEST((writer.ledger().find(request("k").Job)->Claim->Id == won.Claim));
}

BOOST_FIXTURE_TEST_CASE(claims_of_one_turn_share_an_append, Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  for (int i = 0; i < 100; ++i)
    writer.claim(request(std::to_string(i)), soon(), keep());
  BOOST_TEST(answered(100));
  BOOST_TEST(Log.Appends == 2);
}

BOOST_FIXTURE_TEST_CASE(second_claim_of_a_key_is_lost, Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  writer.claim(request("k"), soon(), keep());
  writer.claim(request("k"), soon(), keep());
  BOOST_TEST(answered(2));
  const auto &won = result<ClaimWon>(0);
  BOOST_TEST((result<ClaimLost>(1).By.Claim->Id == won.Claim));
}

BOOST_FIXTURE_TEST_CASE(claim_in_an_outage_is_not_made_and_never_sent,
                        Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  Log.Outage = true;
  BOOST_REQUIRE(runUntil(Loop, [&] { return !writer.logReachable(); }));
  const MonoTime asked = monoNow();
  writer.claim(request("k"), soon(), keep());
  BOOST_TEST(answered());
  result<ClaimNotMade>();
  BOOST_TEST((monoNow() - asked < Millis(500)));
  BOOST_TEST(Log.Appends == 0);
}

BOOST_FIXTURE_TEST_CASE(held_append_is_answered_not_made_after_its_void,
                        Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  Log.HoldAppends = 1;
  writer.claim(request("k"), soon(10), keep());
  BOOST_TEST(answered());
  result<ClaimNotMade>();
  Log.land();
  runUntil(Loop, [&] { return writer.ledger().next() == Log.End; });
  BOOST_TEST(writer.ledger().find(request("k").Job) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(claim_is_uncertain_until_a_void_is_read, Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  Log.HoldAppends = 8;
  writer.claim(request("k"), soon(10), keep());
  BOOST_TEST(answered());
  result<ClaimUncertain>();
  // The claim lands without its void; the void that is still tried frees the
  // key.
  Log.HoldAppends = 0;
  Log.land(1);
  BOOST_TEST(runUntil(Loop, [&] {
    return writer.ledger().spentClaims() == 1 &&
           writer.ledger().find(request("k").Job) == nullptr;
  }));
}

BOOST_FIXTURE_TEST_CASE(void_that_finds_another_claim_is_answered_lost,
                        Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  Log.HoldAppends = 1;
  writer.claim(request("k"), soon(10), keep());
  Log.store({encode(otherClaim("k"))});
  BOOST_TEST(answered());
  BOOST_TEST(result<ClaimLost>().By.Claim->Id.str() == "other");
}

BOOST_FIXTURE_TEST_CASE(claim_taken_over_before_its_void_is_uncertain,
                        Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  ClaimWriter successor(Loop, Log, EntryVmId("s"), Random(2), quick());
  startCaughtUp(writer);
  startCaughtUp(successor);
  Log.Hidden = true;
  writer.claim(request("k"), soon(10), keep());
  std::optional<TakeOverResult> taken;
  successor.takeOver(Pod, soon(), [&](const auto &it) { taken = it; });
  Loop.runUntil(soon(30));
  Log.Hidden = false;
  BOOST_TEST(answered());
  result<ClaimUncertain>();
  BOOST_TEST(runUntil(Loop, [&] { return taken.has_value(); }));
  BOOST_TEST(std::holds_alternative<PodTaken>(*taken));
  BOOST_TEST(successor.ledger().openClaims(Pod).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(claim_read_past_its_start_by_is_given_back, Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  Log.Hidden = true;
  auto asked = request("k");
  asked.StartBy = wallNow() + Millis(10);
  writer.claim(asked, soon(), keep());
  Loop.runUntil(soon(30));
  Log.Hidden = false;
  BOOST_TEST(answered());
  result<ClaimNotMade>();
  BOOST_TEST(writer.ledger().find(asked.Job) == nullptr);
}

// Guards against an end that is never recorded: its result is small enough only
// until it is escaped.
BOOST_FIXTURE_TEST_CASE(end_with_a_result_that_grows_by_escaping_is_recorded,
                        Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  std::optional<RecordFate> fate;
  writer.recordEnded({request("k").Job, std::nullopt, request("k").Deadline,
                      Done{std::string(30000, '\x01')}},
                     soon(), [&](const RecordFate &it) { fate = it; });
  BOOST_TEST(runUntil(Loop, [&] { return fate.has_value(); }));
  BOOST_TEST(std::holds_alternative<RecordRead>(*fate));
  const JobEntry *entry = writer.ledger().find(request("k").Job);
  BOOST_REQUIRE(entry && entry->Result);
  BOOST_TEST(std::holds_alternative<Unknown>(*entry->Result));
}

BOOST_FIXTURE_TEST_CASE(waiting_records_are_bounded, Fixture) {
  auto settings = quick();
  settings.Appending.MaxPending = 2;
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), settings);
  for (int i = 0; i < 3; ++i)
    writer.claim(request(std::to_string(i)), soon(), keep());
  BOOST_TEST(Results.size() == 1U);
  result<ClaimNotMade>();
}

BOOST_FIXTURE_TEST_CASE(claim_of_an_earlier_holder_is_not_made, Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  Log.store({encode(
      {"s", wallNow(), PodTakeOver{Pod, {EntryVmId("s"), PodTerm(1)}}})});
  writer.claim(request("k"), soon(), keep());
  BOOST_TEST(answered());
  result<ClaimNotMade>();
}

BOOST_FIXTURE_TEST_CASE(racing_take_overs_get_one_holder, Fixture) {
  ClaimWriter first(Loop, Log, EntryVmId("b"), Random(1), quick());
  ClaimWriter second(Loop, Log, EntryVmId("c"), Random(2), quick());
  startCaughtUp(first);
  startCaughtUp(second);
  std::vector<TakeOverResult> taken;
  const auto note = [&](const TakeOverResult &it) { taken.push_back(it); };
  first.takeOver(Pod, soon(), note);
  second.takeOver(Pod, soon(), note);
  BOOST_TEST(runUntil(Loop, [&] { return taken.size() == 2; }));
  BOOST_TEST(std::holds_alternative<PodTaken>(taken.at(0)) !=
             std::holds_alternative<PodTaken>(taken.at(1)));
}

BOOST_FIXTURE_TEST_CASE(released_claim_frees_the_key, Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  writer.claim(request("k"), soon(), keep());
  BOOST_TEST(answered());
  std::optional<RecordFate> fate;
  writer.release(result<ClaimWon>().Claim, request("k").Job, holding(), soon(),
                 [&](const RecordFate &it) { fate = it; });
  BOOST_TEST(runUntil(Loop, [&] { return fate.has_value(); }));
  BOOST_TEST(std::get<RecordRead>(*fate).Effective);
  writer.claim(request("k"), soon(), keep());
  BOOST_TEST(answered(2));
  result<ClaimWon>(1);
}

BOOST_FIXTURE_TEST_CASE(outcome_answers_a_retry, Fixture) {
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), quick());
  startCaughtUp(writer);
  writer.claim(request("k"), soon(), keep());
  BOOST_TEST(answered());
  const EndedClaim under{result<ClaimWon>().Claim, Pod, PodTerm(0),
                         writer.ledger().find(request("k").Job)->Claim->Order};
  std::optional<RecordFate> fate;
  writer.recordEnded({request("k").Job, under, wallNow() + Millis(60'000),
                      Done{std::string(100'000, 'x')}},
                     soon(), [&](const RecordFate &it) { fate = it; });
  BOOST_TEST(runUntil(Loop, [&] { return fate.has_value(); }));
  writer.claim(request("k"), soon(), keep());
  BOOST_TEST(answered(2));
  BOOST_TEST(std::holds_alternative<Unknown>(*result<ClaimLost>(1).By.Result));
}

BOOST_FIXTURE_TEST_CASE(entries_are_written_again_before_retention, Fixture) {
  auto settings = quick();
  settings.Retention = Millis(400);
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), settings);
  startCaughtUp(writer);
  writer.claim(request("k"), soon(), keep());
  BOOST_TEST(answered());
  const LogOffset end = Log.End;
  BOOST_TEST(
      runUntil(Loop, [&] { return Log.End.value() >= end.value() + 4; }));
  Log.dropBefore(end);
  ClaimWriter fresh(Loop, Log, EntryVmId("b"), Random(2), quick());
  startCaughtUp(fresh);
  BOOST_TEST(fresh.ledger().openClaims(Pod).size() == 1U);
  BOOST_TEST((fresh.ledger().holderOf(Pod) == holding()));
}

BOOST_FIXTURE_TEST_CASE(silent_append_does_not_hold_up_the_next, Fixture) {
  auto settings = quick();
  settings.Appending.AppendTime = Millis(2000);
  ClaimWriter writer(Loop, Log, EntryVmId("a"), Random(1), settings);
  startCaughtUp(writer);
  Log.SilentAnswers = 1;
  const MonoTime begin = monoNow();
  writer.claim(request("first"), soon(4000), keep());
  BOOST_REQUIRE(answered(1));
  writer.claim(request("second"), soon(4000), keep());
  BOOST_REQUIRE(answered(2));
  result<ClaimWon>(1);
  BOOST_CHECK(monoNow() - begin < Millis(1000));
}

BOOST_FIXTURE_TEST_CASE(quiet_log_is_found_reachable_at_once, Fixture) {
  auto settings = quick();
  settings.Reading.LongPoll = Millis(2000);
  MockLog empty(Loop);
  ClaimWriter writer(Loop, empty, EntryVmId("a"), Random(1), settings);
  const MonoTime begin = monoNow();
  startCaughtUp(writer);
  BOOST_TEST(writer.logReachable());
  BOOST_CHECK(monoNow() - begin < Millis(1000));
}
