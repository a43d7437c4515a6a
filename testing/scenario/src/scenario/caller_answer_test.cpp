// How answers of the callers' interface become history lines.
#include "caller_answer.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;
using namespace citrongap::scenario;

namespace {

std::string outcomeOf(const HttpResult &result) {
  return answerOf(result)["outcome"].get<std::string>();
}

HttpResult response(int status, const std::string &body) {
  return HttpResponse{status, body, "application/json"};
}

} // namespace

BOOST_AUTO_TEST_CASE(outcomes_are_taken_as_told) {
  const auto done = answerOf(response(
      200,
      R"({"outcome":"done","result":{"parts":[{"task":"t","part":0,"result":"k"}]}})"));
  BOOST_TEST(done["outcome"] == "done");
  BOOST_TEST(done["results"].size() == 1U);
  BOOST_TEST(outcomeOf(response(503, R"({"outcome":"not_run"})")) == "not_run");
  BOOST_TEST(outcomeOf(response(504, R"({"outcome":"unknown"})")) == "unknown");
  BOOST_TEST(outcomeOf(response(200, R"({"outcome":"failed"})")) == "failed");
}

BOOST_AUTO_TEST_CASE(a_refused_submission_is_told_as_not_run) {
  BOOST_TEST(outcomeOf(response(400, R"({"findings":[]})")) == "not_run");
}

BOOST_AUTO_TEST_CASE(a_job_that_is_held_or_not_known_has_no_outcome) {
  BOOST_TEST(outcomeOf(response(202, R"({"state":"waiting"})")) == "accepted");
  BOOST_TEST(outcomeOf(response(404, R"({"findings":[]})")) == "unknown");
  BOOST_TEST(holds(response(202, "{}")));
  BOOST_TEST(!holds(response(404, "{}")));
}

BOOST_AUTO_TEST_CASE(a_broken_or_truncated_answer_is_a_cut) {
  BOOST_TEST(outcomeOf(HttpError::Broken) == "cut");
  BOOST_TEST(outcomeOf(HttpError::Truncated) == "cut");
  BOOST_TEST(outcomeOf(HttpError::TimedOut) == "timed_out");
  BOOST_TEST(outcomeOf(HttpError::NotSent) == "not_sent");
}

BOOST_AUTO_TEST_CASE(the_time_to_retry_is_read) {
  BOOST_TEST(retryAfter(response(503, R"({"retry_after_ms":100})")) == 100);
  BOOST_TEST(retryAfter(response(503, "{}")) == 0);
}
