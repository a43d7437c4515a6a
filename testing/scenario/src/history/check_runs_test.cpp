// What ran, leaving servers and configuration: histories that are wrong in one
// way each are found wrong by the rule of that way, good ones are found good.
#include "story.h"

using namespace citrongap;
using namespace citrongap::history;

BOOST_AUTO_TEST_CASE(a_whole_gang_is_good) {
  Story story;
  story.asked(0, "1", "k", false, 2);
  story.released(10, "k", "t0", 0, 2).released(12, "k", "t1", 1, 2, "b2");
  story.ended(110, "k", "t0", "done", 0, 2);
  story.ended(112, "k", "t1", "done", 1, 2, "b2");
  story.done(120, "1", result("t0", 0, "k") + "," + result("t1", 1, "k"));
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

BOOST_AUTO_TEST_CASE(a_job_on_too_few_accelerators_is_found) {
  Story story;
  story.asked(0, "1", "k", true, 2).released(10, "k", "t").ended(20, "k", "t");
  story.done(30, "1", result("t", 0, "k"));
  BOOST_TEST(story.broken() == only(Rule::WholeGang));
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
