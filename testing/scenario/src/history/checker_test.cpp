// Histories that are wrong in one way each must be found wrong by the rule of
// that way, and good ones found good.
#include "citrongap/history/checker.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>
#include <sstream>

using namespace citrongap;
using namespace citrongap::history;

namespace {

/// Writes a history line by line.
class Story {
public:
  Story &asked(int at, const std::string &ask, const std::string &key,
               bool repeatable = true, int gang = 1) {
    return line(fmt::format(
        R"({{"at":{},"who":"caller","event":"asked","ask":"{}","account":"garam","key":"{}","call":"submit","repeatable":{},"gang":{},"node":"e1","expected":"{}"}})",
        at, ask, key, repeatable, gang, key));
  }
  Story &answered(int at, const std::string &ask, const std::string &outcome) {
    return line(fmt::format(
        R"({{"at":{},"who":"caller","event":"answered","ask":"{}","outcome":"{}"}})",
        at, ask, outcome));
  }
  /// `results` are JSON objects, joined by commas.
  Story &done(int at, const std::string &ask, const std::string &results) {
    return line(fmt::format(
        R"({{"at":{},"who":"caller","event":"answered","ask":"{}","outcome":"done","results":[{}]}})",
        at, ask, results));
  }
  Story &prepared(int at, const std::string &key, const std::string &task,
                  const std::string &server = "b1") {
    return task_(at, "prepared", key, task, 0, 1, server, "");
  }
  Story &released(int at, const std::string &key, const std::string &task,
                  int part = 0, int parts = 1,
                  const std::string &server = "b1") {
    return task_(at, "released", key, task, part, parts, server, "");
  }
  Story &ended(int at, const std::string &key, const std::string &task,
               const std::string &status = "done", int part = 0, int parts = 1,
               const std::string &server = "b1") {
    return task_(at, "ended", key, task, part, parts, server,
                 fmt::format(R"(,"status":"{}","result":"")", status));
  }
  Story &inForce(int at, const std::string &node, int revision,
                 const std::string &digest = "") {
    return line(fmt::format(
        R"({{"at":{},"who":"node","event":"in_force","node":"{}","revision":{},"digest":"{}"}})",
        at, node, revision, digest));
  }
  Story &line(const std::string &text) {
    Text += text + "\n";
    return *this;
  }

  History history() const {
    HistoryReader reader;
    Findings findings;
    std::istringstream lines(Text);
    reader.read("story", lines, findings);
    BOOST_TEST(findings.text() == "");
    return reader.history();
  }

  /// The rules that the story breaks.
  std::set<Rule> broken() const {
    std::set<Rule> out;
    for (const auto &it : check(history(), Bounds{}))
      out.insert(it.Broken);
    return out;
  }

private:
  Story &task_(int at, const std::string &event, const std::string &key,
               const std::string &task, int part, int parts,
               const std::string &server, const std::string &more) {
    return line(fmt::format(
        R"({{"at":{},"who":"backend","event":"{}","server":"{}","account":"garam","key":"{}","task":"{}","part":{},"parts":{},"slots":[0]{}}})",
        at, event, server, key, task, part, parts, more));
  }

  std::string Text;
};

std::string result(const std::string &task, int part, const std::string &text) {
  return fmt::format(R"({{"task":"{}","part":{},"result":"{}"}})", task, part,
                     text);
}

const std::set<Rule> Good;

std::set<Rule> only(Rule it) { return {it}; }

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(std::set<Rule>)

BOOST_AUTO_TEST_CASE(a_plain_run_is_good) {
  Story story;
  story.asked(0, "1", "k").released(10, "k", "t").ended(20, "k", "t");
  story.done(30, "1", result("t", 0, "k"));
  BOOST_TEST(story.broken() == Good);
  const Counts n = count(story.history());
  BOOST_TEST(n.Jobs == 1U);
  BOOST_TEST(n.Done == 1U);
  BOOST_TEST(n.Runs == 1U);
}

BOOST_AUTO_TEST_CASE(a_whole_gang_is_good) {
  Story story;
  story.asked(0, "1", "k", false, 2);
  story.released(10, "k", "t0", 0, 2).released(12, "k", "t1", 1, 2, "b2");
  story.ended(110, "k", "t0", "done", 0, 2);
  story.ended(112, "k", "t1", "done", 1, 2, "b2");
  story.done(120, "1", result("t0", 0, "k") + "," + result("t1", 1, "k"));
  BOOST_TEST(story.broken() == Good);
}

BOOST_AUTO_TEST_CASE(a_refused_retry_of_a_job_that_never_ran_is_good) {
  Story story;
  story.asked(0, "1", "k").answered(10, "1", "not_run");
  story.asked(20, "2", "k").answered(30, "2", "not_run");
  BOOST_TEST(story.broken() == Good);
}

BOOST_AUTO_TEST_CASE(an_unrepeatable_job_that_runs_twice_is_found) {
  Story story;
  story.asked(0, "1", "k", false);
  story.released(10, "k", "t").ended(20, "k", "t", "lapsed");
  story.released(30, "k", "u", 0, 1, "b2")
      .ended(40, "k", "u", "done", 0, 1, "b2");
  story.done(50, "1", result("u", 0, "k"));
  BOOST_TEST(story.broken() == only(Rule::AtMostOnce));
}

BOOST_AUTO_TEST_CASE(an_unrepeatable_job_rerun_in_another_shape_is_found) {
  Story story;
  story.asked(0, "1", "k", false);
  story.released(10, "k", "t", 1, 2).ended(20, "k", "t", "stopped", 1, 2);
  story.released(30, "k", "u").ended(40, "k", "u");
  story.done(50, "1", result("u", 0, "k"));
  BOOST_TEST(story.broken() == only(Rule::AtMostOnce));
}

BOOST_AUTO_TEST_CASE(a_repeatable_job_may_run_again_after_a_loss) {
  Story story;
  story.asked(0, "1", "k");
  story.released(10, "k", "t").ended(20, "k", "t", "lapsed");
  story.released(30, "k", "u").ended(40, "k", "u");
  story.done(50, "1", result("u", 0, "k"));
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

BOOST_AUTO_TEST_CASE(a_job_on_too_few_accelerators_is_found) {
  Story story;
  story.asked(0, "1", "k", true, 2).released(10, "k", "t").ended(20, "k", "t");
  story.done(30, "1", result("t", 0, "k"));
  BOOST_TEST(story.broken() == only(Rule::WholeGang));
}

BOOST_AUTO_TEST_CASE(two_results_for_one_key_are_found) {
  Story story;
  story.asked(0, "1", "k").released(10, "k", "t").ended(20, "k", "t");
  story.done(30, "1", result("t", 0, "k"));
  story.asked(40, "2", "k").released(50, "k", "u").ended(60, "k", "u");
  story.done(70, "2", result("u", 0, "k"));
  BOOST_TEST(story.broken() == only(Rule::OneResultPerKey));
}

BOOST_AUTO_TEST_CASE(a_gang_that_runs_in_part_is_found) {
  Story story;
  story.asked(0, "1", "k", true, 2).answered(3000, "1", "failed");
  story.released(10, "k", "t0", 0, 2).released(12, "k", "t1", 1, 2, "b2");
  story.ended(100, "k", "t0", "lapsed", 0, 2);
  story.ended(1200, "k", "t1", "stopped", 1, 2, "b2");
  BOOST_TEST(story.broken() == only(Rule::WholeGang));
}

BOOST_AUTO_TEST_CASE(a_gang_part_that_never_started_is_found) {
  Story story;
  story.asked(0, "1", "k", true, 2).answered(3000, "1", "failed");
  story.released(10, "k", "t0", 0, 2);
  story.ended(2000, "k", "t0", "done", 0, 2);
  BOOST_TEST(story.broken() == only(Rule::WholeGang));
}

BOOST_AUTO_TEST_CASE(a_partial_gang_at_the_end_of_the_history_is_found) {
  Story story;
  story.asked(0, "1", "k", true, 2).answered(3000, "1", "unknown");
  story.released(10, "k", "t0", 0, 2);
  BOOST_TEST(story.broken() == only(Rule::WholeGang));
}

BOOST_AUTO_TEST_CASE(a_gang_stopped_within_the_bound_is_good) {
  Story story;
  story.asked(0, "1", "k", true, 2).answered(3000, "1", "failed");
  story.released(10, "k", "t0", 0, 2).released(12, "k", "t1", 1, 2, "b2");
  story.ended(100, "k", "t0", "lapsed", 0, 2);
  story.ended(1000, "k", "t1", "stopped", 1, 2, "b2");
  BOOST_TEST(story.broken() == Good);
}

BOOST_AUTO_TEST_CASE(a_job_that_runs_twice_at_once_is_found) {
  Story story;
  story.asked(0, "1", "k");
  story.released(10, "k", "t").released(20, "k", "u", 0, 1, "b2");
  story.ended(2000, "k", "t").ended(2000, "k", "u", "done", 0, 1, "b2");
  story.done(2010, "1", result("t", 0, "k"));
  BOOST_TEST(story.broken() == only(Rule::NotTwiceAtOnce));
}

BOOST_AUTO_TEST_CASE(a_revision_that_goes_back_is_found) {
  Story story;
  story.inForce(0, "e1", 4).inForce(5, "e2", 2).inForce(10, "e1", 3);
  BOOST_TEST(story.broken() == only(Rule::MonotoneConfiguration));
}

BOOST_AUTO_TEST_CASE(other_lists_under_one_revision_are_found) {
  Story story;
  story.inForce(0, "e1", 4, "aa").inForce(5, "e2", 4, "bb");
  BOOST_TEST(story.broken() == only(Rule::MonotoneConfiguration));
}

BOOST_AUTO_TEST_CASE(a_node_that_does_not_converge_is_found) {
  Story story;
  story.line(
      R"({"at":0,"who":"scenario","event":"converge","revision":4,"by":3000,"nodes":["e1","e2"]})");
  story.inForce(100, "e1", 4).inForce(3001, "e2", 4);
  BOOST_TEST(story.broken() == only(Rule::Convergence));
  story.inForce(2900, "e2", 4);
  BOOST_TEST(story.broken() == Good);
}

BOOST_AUTO_TEST_CASE(new_work_on_a_leaving_server_is_found) {
  Story story;
  story.line(
      R"({"at":0,"who":"scenario","event":"leaving","server":"b1","seen_at":1000})");
  story.asked(0, "1", "k").asked(0, "2", "l").answered(9000, "1", "unknown");
  story.answered(9000, "2", "unknown").prepared(4000, "k", "t");
  BOOST_TEST(story.broken() == Good);
  story.prepared(4001, "l", "u");
  BOOST_TEST(story.broken() == only(Rule::LeavingServer));
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
  BOOST_TEST(findings.items()[0].Place == "h:1");
  BOOST_TEST(findings.items()[1].Message == "missing or malformed: ask");
  BOOST_TEST(reader.history().Asks.empty());
}
