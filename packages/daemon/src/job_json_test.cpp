// Submissions: all findings at once; attempts survive their round trip.
#include "citrongap/daemon/job_json.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

BOOST_AUTO_TEST_CASE(a_submission_is_read) {
  const auto parsed = parseSubmission(
      R"({"account":"a","key":"k","class":"urgent","gang":16,"repeatable":false,
                                          "deadline_ms":5000,"run_ms":20,"kind":"x","payload":{"n":1}})");
  BOOST_REQUIRE(std::holds_alternative<JobRequest>(parsed));
  const auto &job = std::get<JobRequest>(parsed);
  BOOST_TEST(job.Id.str() == "a/k");
  BOOST_TEST(job.Gang.Count == 16U);
  BOOST_TEST(!job.Repeatable);
  BOOST_TEST(toMillis(job.Deadline) == 5000);
  BOOST_TEST(job.Payload == R"({"n":1})");
}

BOOST_AUTO_TEST_CASE(
    all_findings_of_a_submission_come_together_with_their_place) {
  const auto parsed = parseSubmission(
      R"({"account":7,"class":"soon","gang":129,"repeatable":"yes","colour":1})");
  BOOST_REQUIRE(std::holds_alternative<Findings>(parsed));
  BOOST_TEST(std::get<Findings>(parsed).text() ==
             "/account: is not a text\n"
             "/key: is missing\n"
             "/class: is neither urgent, standard nor background\n"
             "/gang: is not a whole number from 1 to 128\n"
             "/repeatable: is neither true nor false\n"
             "/deadline_ms: is missing\n"
             "/colour: is not a known member\n");
}

BOOST_AUTO_TEST_CASE(broken_json_is_one_finding) {
  for (const char *text : {"", "{", "[]", "\"x\"", "{\"a\":\"\xff\"}"}) {
    const auto parsed = parseSubmission(text);
    BOOST_TEST(std::holds_alternative<Findings>(parsed));
  }
}

BOOST_AUTO_TEST_CASE(an_attempt_survives_its_round_trip) {
  AttemptRecord record;
  record.Job.Id = {ClientAccountId("a"), RequestKey("k")};
  record.Job.Gang.Count = 9;
  record.Job.Repeatable = false;
  record.Attempt = "f00";
  record.Where.Parts = {{BackendServerId("s1"), {0, 1}},
                        {BackendServerId("s2"), {7}}};
  const auto read = decodeAttempt(encodeAttempt(record));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->Job.Id.str() == "a/k");
  BOOST_TEST(!read->Job.Repeatable);
  BOOST_CHECK(read->Where == record.Where);
}

BOOST_AUTO_TEST_CASE(names_with_quotes_stay_json_in_every_answer) {
  const JobId job{ClientAccountId("a"), RequestKey("q\"x")};
  const std::string text =
      answerJson(job, {{"state", "waiting"}, {"retry_after_ms", "7"}}, {});
  BOOST_TEST(text == R"({"account":"a","key":"q\"x","retry_after_ms":7,)"
                     R"("state":"waiting"})");
}
