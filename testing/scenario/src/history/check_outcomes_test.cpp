// What callers were told: histories that are wrong in one way each are found
// wrong by the rule of that way, and good ones are found good.
#include "story.h"

using namespace citrongap;
using namespace citrongap::history;

BOOST_AUTO_TEST_CASE(a_plain_run_is_good) {
  Story story;
  story.asked(0, "1", "k").released(10, "k", "t").ended(20, "k", "t");
  story.done(30, "1", result("t", 0, "k"));
  BOOST_TEST(story.broken() == Good);
  const Counts n = count(story.history());
  BOOST_TEST(n.Jobs == 1U);
  BOOST_TEST(n.Done == 1U);
  BOOST_TEST(n.Runs == 1U);
  BOOST_TEST(n.StartMedian.count() == 10);
}

BOOST_AUTO_TEST_CASE(a_refused_retry_of_a_job_that_never_ran_is_good) {
  Story story;
  story.asked(0, "1", "k").answered(10, "1", "not_run");
  story.asked(20, "2", "k").answered(30, "2", "not_run");
  BOOST_TEST(story.broken() == Good);
}

BOOST_AUTO_TEST_CASE(a_job_that_ran_and_was_told_not_run_is_found) {
  Story story;
  story.asked(0, "1", "k").answered(50, "1", "not_run");
  story.released(10, "k", "t").ended(20, "k", "t");
  BOOST_TEST(story.broken() == only(Rule::TruthfulNotRun));
}

BOOST_AUTO_TEST_CASE(a_start_after_not_run_was_told_is_found) {
  Story story;
  story.asked(0, "1", "k").answered(50, "1", "not_run");
  story.released(60, "k", "t").ended(70, "k", "t");
  BOOST_TEST(story.broken() == only(Rule::TruthfulNotRun));
}

BOOST_AUTO_TEST_CASE(a_retry_told_not_run_about_an_earlier_start_is_found) {
  Story story;
  story.asked(0, "1", "k").answered(50, "1", "timed_out");
  story.released(10, "k", "t").ended(20, "k", "t");
  story.asked(60, "2", "k").answered(70, "2", "not_run");
  BOOST_TEST(story.broken() == only(Rule::TruthfulNotRun));
}

BOOST_AUTO_TEST_CASE(a_lost_call_that_starts_after_not_run_is_found) {
  Story story;
  story.asked(0, "1", "k").answered(50, "1", "timed_out");
  story.asked(60, "2", "k").answered(70, "2", "not_run");
  story.released(80, "k", "t").ended(90, "k", "t");
  BOOST_TEST(story.broken() == only(Rule::TruthfulNotRun));
}

BOOST_AUTO_TEST_CASE(a_later_call_may_run_what_an_earlier_one_did_not) {
  Story story;
  story.asked(0, "1", "k").answered(10, "1", "not_run");
  story.asked(20, "2", "k").released(30, "k", "t").ended(40, "k", "t");
  story.done(50, "2", result("t", 0, "k"));
  BOOST_TEST(story.broken() == Good);
}

BOOST_AUTO_TEST_CASE(a_start_after_a_cancellation_told_not_run_is_found) {
  Story story;
  story.asked(0, "1", "k")
      .line(
          R"({"at":20,"who":"caller","event":"asked","ask":"2","account":"garam","key":"k","repeatable":true,"call":"cancel","gang":1,"node":"e1","expected":"k"})");
  story.answered(30, "2", "not_run").answered(70, "1", "accepted");
  BOOST_TEST(story.broken() == Good);
  story.released(40, "k", "t").ended(50, "k", "t");
  BOOST_TEST(story.broken() == only(Rule::TruthfulNotRun));
}

BOOST_AUTO_TEST_CASE(a_query_starts_nothing) {
  Story story;
  story.asked(0, "1", "k")
      .answered(10, "1", "not_run")
      .line(
          R"({"at":20,"who":"caller","event":"asked","ask":"2","account":"garam","key":"k","repeatable":true,"call":"query","gang":1,"node":"e1","expected":"k"})");
  story.released(30, "k", "t").ended(40, "k", "t").answered(50, "2", "unknown");
  BOOST_TEST(story.broken() == only(Rule::TruthfulNotRun));
}

BOOST_AUTO_TEST_CASE(an_accepted_job_without_an_outcome_is_found) {
  Story story;
  story.asked(0, "1", "k").answered(30, "1", "accepted");
  BOOST_TEST(story.broken() == only(Rule::EveryRequestAnswered));
}

BOOST_AUTO_TEST_CASE(a_task_that_nobody_asked_for_is_found) {
  Story story;
  story.released(10, "k", "t").ended(20, "k", "t");
  BOOST_TEST(story.broken() == only(Rule::TruthfulNotRun));
}

BOOST_AUTO_TEST_CASE(failed_without_a_run_is_found) {
  Story story;
  story.asked(0, "1", "k").answered(10, "1", "failed");
  BOOST_TEST(story.broken() == only(Rule::TruthfulFailed));
}

BOOST_AUTO_TEST_CASE(the_answer_of_another_job_is_found) {
  Story story;
  story.asked(0, "1", "k").released(10, "k", "t").ended(20, "k", "t");
  story.asked(0, "2", "l").released(10, "l", "u").ended(20, "l", "u");
  story.done(30, "1", result("u", 0, "l"));
  story.done(30, "2", result("u", 0, "l"));
  BOOST_TEST(story.broken() ==
             (std::set<Rule>{Rule::OwnAnswer, Rule::WholeGang}));
}

BOOST_AUTO_TEST_CASE(a_result_of_a_task_that_did_not_end_well_is_found) {
  Story story;
  story.asked(0, "1", "k").released(10, "k", "t");
  story.ended(20, "k", "t", "failed").done(30, "1", result("t", 0, "k"));
  BOOST_TEST(story.broken().contains(Rule::OwnAnswer));
}

BOOST_AUTO_TEST_CASE(an_answer_without_all_parts_is_found) {
  Story story;
  story.asked(0, "1", "k", true, 2);
  story.released(10, "k", "t0", 0, 2).released(12, "k", "t1", 1, 2, "b2");
  story.ended(110, "k", "t0", "done", 0, 2);
  story.ended(112, "k", "t1", "done", 1, 2, "b2");
  story.done(120, "1", result("t0", 0, "k"));
  BOOST_TEST(story.broken() == only(Rule::WholeAnswer));
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_part_doubled_is_found) {
  Story story;
  story.asked(0, "1", "k").released(10, "k", "t").ended(20, "k", "t");
  story.done(30, "1", result("t", 0, "k") + "," + result("t", 0, "k"));
  BOOST_TEST(story.broken() == only(Rule::WholeAnswer));
}

BOOST_AUTO_TEST_CASE(two_results_for_one_key_are_found) {
  Story story;
  story.asked(0, "1", "k").released(10, "k", "t").ended(20, "k", "t");
  story.done(30, "1", result("t", 0, "k"));
  story.asked(40, "2", "k").released(50, "k", "u").ended(60, "k", "u");
  story.done(70, "2", result("u", 0, "k"));
  BOOST_TEST(story.broken() == only(Rule::OneResultPerKey));
}

BOOST_AUTO_TEST_CASE(a_request_cut_by_a_planned_stop_is_found) {
  Story story;
  story.line(R"({"at":0,"who":"scenario","event":"planned_stop","node":"e1"})");
  story.asked(0, "1", "k").answered(10, "1", "cut");
  story.asked(20, "2", "k").answered(30, "2", "not_run");
  BOOST_TEST(story.broken() == only(Rule::NoCutRequest));
}

BOOST_AUTO_TEST_CASE(a_fault_excuses_only_its_own_node) {
  Story killed;
  killed.line(
      R"({"at":5,"who":"scenario","event":"fault","node":"e1","what":"kill"})");
  killed.asked(0, "1", "k").answered(10, "1", "cut");
  killed.asked(20, "2", "k").answered(30, "2", "not_run");
  BOOST_TEST(killed.broken() == Good);
  Story other;
  other.line(
      R"({"at":5,"who":"scenario","event":"fault","node":"e2","what":"kill"})");
  other.asked(0, "1", "k").answered(10, "1", "cut");
  other.asked(20, "2", "k").answered(30, "2", "not_run");
  BOOST_TEST(other.broken() == only(Rule::NoCutRequest));
}

BOOST_AUTO_TEST_CASE(a_request_without_an_outcome_is_found) {
  Story story;
  story.asked(0, "1", "k").answered(10, "1", "timed_out");
  story.asked(0, "2", "l");
  BOOST_TEST(story.broken() == only(Rule::EveryRequestAnswered));
  BOOST_TEST(check(story.history(), Bounds{}).size() == 2U);
}

BOOST_AUTO_TEST_CASE(malformed_lines_are_findings_with_their_place) {
  HistoryReader reader;
  Findings findings;
  std::istringstream lines("nonsense\n"
                           R"({"at":1,"who":"caller","event":"asked"})"
                           "\n"
                           R"({"at":1,"who":"nobody","event":"asked"})"
                           "\n");
  reader.read("h", lines, findings);
  BOOST_REQUIRE(findings.items().size() == 3U);
  BOOST_TEST(findings.items()[0].Location == "h:1");
  BOOST_TEST(findings.items()[1].Message == "missing or malformed: ask");
  BOOST_TEST(reader.history().Asks.empty());
}
