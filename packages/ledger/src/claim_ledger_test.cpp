// Rules of the stream "jobs": claims, voids, take-overs, outcomes, retention.
#include "citrongap/ledger/claim_ledger.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace citrongap;

namespace {

const WallTime Now = wallFromMillis(1'000'000);
const WallTime End = Now + Millis(600'000);

JobId job(const std::string &key) {
  return {ClientAccountId("guild"), RequestKey(key)};
}

PodHolding by(const std::string &holder, std::uint64_t term) {
  return {EntryVmId(holder), PodTerm(term)};
}

JobRecord claim(const std::string &id, const std::string &key,
                const PodHolding &holding, WallTime at = Now) {
  return {id, at,
          JobClaim{ClaimId(id), job(key), PodId("one"), holding, at, End}};
}

JobRecord makeVoid(const std::string &id, const std::string &key,
                   std::uint64_t term, std::optional<LogOffset> order = {}) {
  return {"void " + id, Now,
          ClaimVoid{ClaimId(id), job(key), PodId("one"), PodTerm(term), End,
                    order}};
}

JobRecord ended(const std::string &id, const std::string &key,
                std::uint64_t term, std::uint64_t order = 0) {
  return {"ended " + id, Now,
          JobEnded{job(key),
                   EndedClaim{ClaimId(id), PodId("one"), PodTerm(term),
                              LogOffset(order)},
                   End, Done{id}}};
}

JobRecord takeOver(const std::string &holder, std::uint64_t term) {
  return {"take-over " + holder, Now,
          PodTakeOver{PodId("one"), by(holder, term)}};
}

/// Applies at the next offset.
bool apply(ClaimLedger &ledger, const JobRecord &record) {
  return ledger.apply(ledger.next(), record);
}

std::string holderOf(const ClaimLedger &ledger, const std::string &key) {
  const JobEntry *entry = ledger.find(job(key));
  return entry && entry->Claim ? entry->Claim->Id.str() : "";
}

} // namespace

BOOST_AUTO_TEST_CASE(first_claim_wins_and_copies_change_nothing) {
  ClaimLedger ledger;
  BOOST_TEST(apply(ledger, claim("first", "k", by("a", 0))));
  BOOST_TEST(!apply(ledger, claim("second", "k", by("a", 0))));
  BOOST_TEST(apply(ledger, claim("first", "k", by("a", 0))));
  BOOST_TEST(holderOf(ledger, "k") == "first");
}

BOOST_AUTO_TEST_CASE(late_copy_of_a_lost_or_void_claim_never_wins) {
  ClaimLedger ledger;
  apply(ledger, claim("first", "k", by("a", 0)));
  apply(ledger, claim("second", "k", by("a", 0)));
  BOOST_TEST(apply(ledger, makeVoid("first", "k", 0)));
  BOOST_TEST(!apply(ledger, claim("first", "k", by("a", 0))));
  BOOST_TEST(!apply(ledger, claim("second", "k", by("a", 0))));
  BOOST_TEST(apply(ledger, claim("third", "k", by("a", 0))));
}

BOOST_AUTO_TEST_CASE(void_in_front_of_its_claim_holds) {
  ClaimLedger ledger;
  BOOST_TEST(apply(ledger, makeVoid("first", "k", 0)));
  BOOST_TEST(!apply(ledger, claim("first", "k", by("a", 0))));
}

BOOST_AUTO_TEST_CASE(earlier_holder_has_no_say_after_a_take_over) {
  ClaimLedger ledger;
  apply(ledger, claim("first", "k", by("a", 0)));
  BOOST_TEST(apply(ledger, takeOver("s", 1)));
  BOOST_TEST(!apply(ledger, makeVoid("first", "k", 0)));
  BOOST_TEST(!apply(ledger, ended("first", "k", 0)));
  BOOST_TEST(!apply(ledger, claim("late", "other", by("a", 0))));
  BOOST_TEST(!apply(ledger, takeOver("t", 1)));
  BOOST_TEST(ledger.openClaims(PodId("one")).size() == 1U);
  BOOST_TEST(apply(ledger, ended("first", "k", 1)));
  BOOST_TEST(ledger.openClaims(PodId("one")).empty());
}

BOOST_AUTO_TEST_CASE(outcome_is_kept_against_retries_until_the_deadline) {
  ClaimLedger ledger;
  apply(ledger, claim("first", "k", by("a", 0)));
  apply(ledger, ended("first", "k", 0));
  BOOST_TEST(!apply(ledger, makeVoid("first", "k", 0)));
  BOOST_TEST(!apply(ledger, claim("retry", "k", by("a", 0))));
  BOOST_TEST((*ledger.find(job("k"))->Result == Outcome(Done{"first"})));
  ledger.forget(End + ClaimLedger::ForgetAfter);
  BOOST_TEST(ledger.jobs() == 1U);
  ledger.forget(End + ClaimLedger::ForgetAfter + Millis(1));
  BOOST_TEST(ledger.jobs() == 0U);
  BOOST_TEST(ledger.spentClaims() == 0U);
}

BOOST_AUTO_TEST_CASE(key_is_free_again_long_after_its_deadline) {
  ClaimLedger ledger;
  apply(ledger, claim("first", "k", by("a", 0)));
  const WallTime late = End + ClaimLedger::ReuseAfter;
  BOOST_TEST(!apply(ledger, claim("early", "k", by("a", 0), late)));
  BOOST_TEST(apply(ledger, claim("new", "k", by("a", 0), late + Millis(1))));
}

BOOST_AUTO_TEST_CASE(accepted_job_waits_until_its_outcome) {
  ClaimLedger ledger;
  apply(ledger, {"1", Now, JobAccepted{job("k"), End, "body"}});
  BOOST_TEST(ledger.waitingJobs().size() == 1U);
  BOOST_TEST(!apply(ledger, {"2", Now, JobAccepted{job("k"), End, "other"}}));
  apply(ledger,
        {"3", Now, JobEnded{job("k"), {}, End, NotRun{"cancelled", 0}}});
  BOOST_TEST(ledger.waitingJobs().empty());
  BOOST_TEST(!apply(ledger, claim("late", "k", by("a", 0))));
}

BOOST_AUTO_TEST_CASE(records_survive_their_encoding) {
  JobEntry entry{job("k"), End, "body", {}, Failed{"broke"}, Now};
  entry.Claim =
      ClaimHolding{ClaimId("c"), PodId("one"), PodTerm(3), End, LogOffset(7)};
  for (const JobRecord &it :
       {claim("first", "k", by("a", 2)), makeVoid("first", "k", 2),
        makeVoid("first", "k", 2, LogOffset(4)), takeOver("s", 5),
        ended("first", "k", 2, 4), JobRecord{"kept", Now, JobKept{entry}},
        JobRecord{"1", Now, JobAccepted{job("k"), End, "body"}},
        JobRecord{"2", Now, JobEnded{job("k"), {}, End, NotRun{"no", 5}}}}) {
    const std::string body = encodeJobRecord(it);
    const auto read = decodeJobRecord(body);
    BOOST_REQUIRE_MESSAGE(read.has_value(), body);
    BOOST_TEST(encodeJobRecord(*read) == body);
  }
}

BOOST_AUTO_TEST_CASE(broken_records_are_null) {
  const std::string body = encodeJobRecord(claim("first", "k", by("a", 2)));
  for (const char *field : {"kind", "id", "account", "key", "deadline", "pod",
                            "holder", "term", "at", "start_by"}) {
    std::string other = body;
    other.replace(other.find(std::string("\"") + field + "\"") + 1, 1, "_");
    BOOST_TEST(!decodeJobRecord(other).has_value(), other);
  }
  JobRecord endless = claim("first", "k", by("a", 2));
  std::get<JobClaim>(endless.Body).StartBy += MaxClaimLife + Millis(1);
  BOOST_TEST(!decodeJobRecord(encodeJobRecord(endless)).has_value());
}

namespace {

/// Records as honest nodes write them, for two jobs of one pod. Those of
/// `NoCut` must not be the first retained: they belong to the one before.
struct Stream {
  std::vector<JobRecord> Records;
  std::set<std::size_t> NoCut;
  ClaimLedger Ledger;

  void add(const JobRecord &record) {
    Ledger.apply(LogOffset(Records.size()), record);
    Records.push_back(record);
  }
  std::vector<JobRecord> kept() const {
    std::vector<JobRecord> out;
    for (const PodTakeOver &it : Ledger.podsKeptBefore(End))
      out.push_back({"pod", Now, it});
    for (const JobEntry *it : Ledger.jobsKeptBefore(End))
      out.push_back({"job", Now, JobKept{*it}});
    return out;
  }
};

void addRandom(Stream &stream, int n) {
  const std::string key = *rc::gen::element<std::string>("k", "l");
  const auto holding = stream.Ledger.holderOf(PodId("one"));
  const JobEntry *entry = stream.Ledger.find(job(key));
  const bool open = entry && entry->Claim && !entry->Result;
  const std::string id = open ? entry->Claim->Id.str() : "";
  const LogOffset order = open ? entry->Claim->Order : LogOffset();
  const auto term = holding->Term.value();
  switch (*rc::gen::inRange(0, 8)) {
  case 0:
    stream.add(takeOver("s" + std::to_string(n), stream.Records.size()));
    break;
  case 1:
    if (open)
      stream.add(ended(id, key, term, order.value()));
    break;
  case 2:
    if (open)
      stream.add(makeVoid(id, key, term, order));
    break;
  case 3:
    stream.add(claim("u" + std::to_string(n), key, *holding));
    stream.NoCut.insert(stream.Records.size());
    stream.add(makeVoid("u" + std::to_string(n), key, term));
    break;
  case 4:
    stream.add({"a", Now, JobAccepted{job(key), End, "body"}});
    break;
  default:
    stream.add(claim("c" + std::to_string(n), key, *holding));
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(new_node_agrees_after_retention_with_what_was_kept) {
  const bool held = rc::check([] {
    Stream stream;
    stream.add(takeOver("a", 0));
    const int n = *rc::gen::inRange(1, 40);
    for (int i = 0; i < n; ++i)
      addRandom(stream, i);
    const auto cut = *rc::gen::inRange<std::size_t>(0, stream.Records.size());
    RC_PRE(!stream.NoCut.contains(cut));
    const auto kept = stream.kept();
    addRandom(stream, n);
    for (const JobRecord &it : kept)
      stream.add(it);
    ClaimLedger fresh;
    for (std::size_t i = cut; i < stream.Records.size(); ++i)
      fresh.apply(LogOffset(i), stream.Records[i]);
    for (const std::string key : {"k", "l"}) {
      const JobEntry *whole = stream.Ledger.find(job(key));
      const JobEntry *part = fresh.find(job(key));
      RC_ASSERT(holderOf(stream.Ledger, key) == holderOf(fresh, key));
      RC_ASSERT((whole ? whole->Result : std::nullopt) ==
                (part ? part->Result : std::nullopt));
    }
    RC_ASSERT(fresh.holderOf(PodId("one")) ==
              stream.Ledger.holderOf(PodId("one")));
    RC_TAG(cut > 0 ? "cut" : "whole");
  });
  BOOST_TEST(held);
}
