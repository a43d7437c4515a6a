// A bounded fuzz run with fixed seeds over every reader of foreign bytes: INI,
// callers' JSON, messages of peers, records of the log. No input may crash
// it, and each refused INI or JSON text has findings that name their place.
#include "citrongap/base/random.h"
#include "citrongap/daemon/job_json.h"
#include "citrongap/daemon/job_messages.h"
#include "citrongap/daemon/settings.h"
#include "citrongap/ledger/configuration_change.h"
#include "citrongap/ledger/job_record.h"
#include "citrongap/policy/configuration.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <functional>

using namespace citrongap;

namespace {

constexpr int RandomInputs = 2000;
constexpr int MutantsOfEach = 2000;
constexpr std::size_t MaxRandomBytes = 400;
constexpr std::size_t MaxEdits = 8;
constexpr std::uint64_t Seed = 20261;
constexpr std::size_t HugeBytes = MaxIniBytes + 1;
constexpr int NestingDepth = 100000;

/// What inputs are broken with: brackets, signs, and wrong UTF-8 (a lone
/// continuation, an overlong slash, a surrogate, a cut sequence).
const std::vector<std::string> Tokens{"[",
                                      "]",
                                      "{",
                                      "}",
                                      "\"",
                                      "=",
                                      "\n",
                                      "\\",
                                      ",",
                                      "-1",
                                      "1e999",
                                      "null",
                                      "\\ud800",
                                      "[x]",
                                      "[plan ",
                                      "\xff",
                                      "\x80",
                                      "\xc0\xaf",
                                      "\xf0\x9f",
                                      "\xed\xa0\x80",
                                      "\xef\xbb\xbf",
                                      "99999999999999999999",
                                      "unknown = 1\n",
                                      "\"x\":1,"};

using Reader = std::function<void(const std::string &)>;

std::string randomText(Random &random) {
  std::string out(random.between(0, MaxRandomBytes), '\0');
  for (char &it : out)
    it = static_cast<char>(random.between(0, 255));
  return out;
}

void edit(std::string &text, Random &random) {
  const std::size_t at = random.between(0, text.size());
  const std::size_t rest = text.size() - at;
  switch (random.between(0, 5)) {
  case 0:
    text.resize(at);
    break;
  case 1:
    text.erase(at, random.between(0, std::min<std::size_t>(rest, 16)));
    break;
  case 2:
    text.insert(at, Tokens.at(random.between(0, Tokens.size() - 1)));
    break;
  case 3:
    text.insert(at, text.substr(random.between(0, text.size()), 32));
    break;
  case 4:
    text.insert(at, 1, '\0');
    break;
  default:
    if (rest > 0)
      text[at] = static_cast<char>(random.between(0, 255));
  }
}

/// `good` after one to `MaxEdits` edits.
std::string mutant(const std::string &good, Random &random) {
  std::string out = good;
  for (auto n = random.between(1, MaxEdits); n > 0; --n)
    edit(out, random);
  return out;
}

/// Random inputs, every truncation of each good one, and mutants of them.
void fuzz(const std::vector<std::string> &good, const Reader &read) {
  Random random(Seed);
  for (int n = 0; n < RandomInputs; ++n)
    read(randomText(random));
  for (const auto &it : good) {
    for (std::size_t size = 0; size <= it.size(); ++size)
      read(it.substr(0, size));
    for (int n = 0; n < MutantsOfEach; ++n)
      read(mutant(it, random));
  }
}

/// One failure a text, with the text as hexadecimal digits.
void requirePlaces(const Findings &findings, const std::string &text) {
  bool placed = !findings.empty();
  for (const auto &it : findings.items())
    placed = placed && !it.Location.empty() && !it.Message.empty();
  if (placed)
    return;
  std::string hex;
  for (const char it : text.substr(0, MaxRandomBytes))
    hex += fmt::format("{:02x}", static_cast<unsigned char>(it));
  BOOST_ERROR("refused without a place: " + hex);
}

template <typename T>
void requireFindings(const Checked<T> &result, const std::string &text) {
  if (const auto *findings = std::get_if<Findings>(&result))
    requirePlaces(*findings, text);
}

void readSettingsText(const std::string &text) {
  Findings findings;
  auto doc = IniDocument::fromText("vm.ini", text, findings);
  if (!findings.empty())
    return requirePlaces(findings, text);
  requireFindings(readSettings(std::move(doc)), text);
}

/// The text as either list, next to an empty other one.
void readListsText(const std::string &text) {
  for (const bool first : {true, false}) {
    Findings findings;
    auto doc = IniDocument::fromText("list.ini", text, findings);
    auto other = IniDocument::fromText("other.ini", "", findings);
    if (!findings.empty())
      return requirePlaces(findings, text);
    requireFindings(first
                        ? parseConfiguration(std::move(doc), std::move(other))
                        : parseConfiguration(std::move(other), std::move(doc)),
                    text);
  }
}

void readSubmission(const std::string &text) {
  const auto parsed = parseSubmission(text);
  requireFindings(parsed, text);
  if (const auto *findings = std::get_if<Findings>(&parsed))
    BOOST_REQUIRE(!findingsJson(*findings).empty());
}

/// A change that can't be read says why.
void readChange(const std::string &text) {
  const auto record = decodeRecord(text);
  if (const auto *broken = std::get_if<BrokenRecord>(&record))
    BOOST_REQUIRE(!broken->Reason.empty());
}

/// What was read can be written and read again.
void readJobRecord(const std::string &text) {
  if (const auto record = decodeJobRecord(text))
    BOOST_REQUIRE(decodeJobRecord(encodeJobRecord(*record)).has_value());
}

void readAttempt(const std::string &text) {
  if (const auto record = decodeAttempt(text))
    BOOST_REQUIRE(decodeAttempt(encodeAttempt(*record)).has_value());
}

void readRequest(const std::string &bytes) {
  PeerRequest out;
  if (decodeRequest(bytes, out))
    BOOST_REQUIRE(decodeRequest(encodeRequest(out), out));
}

void readAnswer(const std::string &bytes) {
  PeerAnswer out;
  if (decodeAnswer(bytes, out))
    BOOST_REQUIRE(decodeAnswer(encodeAnswer(out), out));
}

const std::string GoodSettings =
    "[entry_vm]\nid = e1\ndata_centre = dc\nip = 127.0.0.1\n"
    "http_port = 1\npeer_port = 2\n[platform]\nip = 127.0.0.2\nport = 3\n";
const std::string GoodPlans = "[account batching]\nplan = large\n";
const std::string GoodEntitlements =
    "[data_centre lahore-1]\nracks = 2\nservers_per_rack = 6\n"
    "accelerators_per_server = 8\n[plan large]\nguaranteed = 2x4, 16x1\n"
    "weight = 3\nurgent_per_hour = 60\n";
const std::string GoodSubmission =
    R"({"account":"a","key":"k","class":"urgent","gang":16,)"
    R"("repeatable":false,"deadline_ms":5000,"run_ms":20,"kind":"x",)"
    R"("payload":{"n":1}})";

JobRequest goodJob() {
  return std::get<JobRequest>(parseSubmission(GoodSubmission));
}

std::string goodAttempt() {
  return encodeAttempt({goodJob(), "f00", {{{BackendServerId("s1"), {0, 1}}}}});
}

std::vector<std::string> goodRequests() {
  const PodId pod("dc");
  const JobRequest job = goodJob();
  return {encodeRequest(SubmitJob{pod, job, true}),
          encodeRequest(QueryJob{pod, job.Id}),
          encodeRequest(CancelJob{pod, job.Id}),
          encodeRequest(EndNotice{pod, job.Id, NotRun{"full", 5}, false}),
          encodeRequest(GuardJob{pod, job}),
          encodeRequest(HandOverPod{
              pod, {{BackendServerId("s1"), FencingToken(7)}}, {job, job}}),
          encodeRequest(FetchConfiguration{}),
          encodeRequest(PodReport{pod, {}})};
}

std::vector<std::string> goodAnswers() {
  return {encodeAnswer(NotOwner{}), encodeAnswer(Acknowledged{}),
          encodeAnswer(JobView{JobStage::Ended, Done{"x"}, PodId("dc")}),
          encodeAnswer(ConfigurationState{"text"})};
}

std::vector<std::string> goodChanges() {
  Configuration lists;
  lists.Accounts[ClientAccountId("a")] = {ClientAccountId("a"), PlanId("p")};
  lists.Plans[PlanId("p")] = {PlanId("p"), {{Accelerators{8}, 1}}};
  lists.DataCentres[DataCentreId("dc")] = {DataCentreId("dc")};
  std::vector<std::string> out =
      encodeParts({LogOffset(3), Revision(2), lists}, "part");
  out.push_back(encodeChange({"id", Revision(1), "op", difference({}, lists)}));
  return out;
}

std::vector<std::string> goodJobRecords() {
  const JobId job = goodJob().Id;
  const PodId pod("dc");
  const PodHolding by{EntryVmId("e1"), PodTerm(4)};
  const ClaimId claim("c");
  const WallTime at = wallFromMillis(5000);
  const EndedClaim under{claim, pod, by.Term, LogOffset(6)};
  const JobEntry entry{job,
                       at,
                       "body",
                       ClaimHolding{claim, pod, by.Term, at, LogOffset(6)},
                       Outcome(Failed{"x"}),
                       at};
  std::vector<std::string> out;
  for (const JobRecordBody &it : std::vector<JobRecordBody>{
           JobAccepted{job, at, "body"}, JobClaim{claim, job, pod, by, at, at},
           ClaimVoid{claim, job, pod, by.Term, at, LogOffset(6)},
           PodTakeOver{pod, by}, JobEnded{job, under, at, Done{"x"}},
           JobKept{entry}})
    out.push_back(encodeJobRecord({"id", at, it}));
  return out;
}

/// Deep nesting, and more bytes than any reader takes.
std::vector<std::string> hugeInputs() {
  return {std::string(HugeBytes, 'x'), std::string(HugeBytes, '\xff'),
          std::string(NestingDepth, '['),
          R"({"payload":)" + std::string(NestingDepth, '['),
          R"({"account":")" + std::string(HugeBytes, 'a') + "\"}"};
}

} // namespace

BOOST_AUTO_TEST_CASE(broken_settings_give_findings_with_places) {
  fuzz({GoodSettings}, readSettingsText);
}

BOOST_AUTO_TEST_CASE(broken_lists_give_findings_with_places) {
  fuzz({GoodPlans, GoodEntitlements}, readListsText);
}

BOOST_AUTO_TEST_CASE(broken_submissions_give_findings_with_places) {
  fuzz({GoodSubmission}, readSubmission);
}

BOOST_AUTO_TEST_CASE(broken_attempts_are_refused) {
  fuzz({goodAttempt()}, readAttempt);
}

BOOST_AUTO_TEST_CASE(broken_peer_requests_are_refused) {
  fuzz(goodRequests(), readRequest);
}

BOOST_AUTO_TEST_CASE(broken_peer_answers_are_refused) {
  fuzz(goodAnswers(), readAnswer);
}

BOOST_AUTO_TEST_CASE(truncated_peer_messages_are_refused) {
  PeerRequest request;
  for (const auto &it : goodRequests()) {
    BOOST_TEST(decodeRequest(it, request));
    for (std::size_t size = 0; size < it.size(); ++size)
      BOOST_TEST(!decodeRequest(it.substr(0, size), request));
  }
  PeerAnswer answer;
  for (const auto &it : goodAnswers()) {
    BOOST_TEST(decodeAnswer(it, answer));
    for (std::size_t size = 0; size < it.size(); ++size)
      BOOST_TEST(!decodeAnswer(it.substr(0, size), answer));
  }
}

BOOST_AUTO_TEST_CASE(broken_configuration_records_say_why) {
  for (const auto &it : goodChanges())
    BOOST_TEST(!std::holds_alternative<BrokenRecord>(decodeRecord(it)));
  fuzz(goodChanges(), readChange);
}

BOOST_AUTO_TEST_CASE(broken_job_records_are_refused) {
  for (const auto &it : goodJobRecords())
    BOOST_TEST(decodeJobRecord(it).has_value());
  fuzz(goodJobRecords(), readJobRecord);
}

BOOST_AUTO_TEST_CASE(huge_inputs_are_refused) {
  for (const auto &it : hugeInputs()) {
    readSettingsText(it);
    readListsText(it);
    readSubmission(it);
    readAttempt(it);
    readRequest(it);
    readAnswer(it);
    readChange(it);
    readJobRecord(it);
  }
}
