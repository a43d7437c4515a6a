// Histograms: read from the text exposition, drawn, and printed as JSON.
#include "histogram.h"

#include "citrongap/daemon/metrics.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace citrongap;
using namespace citrongap::cli;

namespace {

const std::string Text =
    "# TYPE citrongap_job_finish_seconds histogram\n"
    "citrongap_open_requests 5\n"
    "citrongap_job_finish_seconds_bucket{account=\"a\",class=\"urgent\","
    "le=\"0.5\"} 0\n"
    "citrongap_job_finish_seconds_bucket{account=\"a\",class=\"urgent\","
    "le=\"1\"} 8\n"
    "citrongap_job_finish_seconds_bucket{account=\"a\",class=\"urgent\","
    "le=\"5\"} 8\n"
    "citrongap_job_finish_seconds_bucket{account=\"a\",class=\"urgent\","
    "le=\"+Inf\"} 10\n"
    "citrongap_job_finish_seconds_sum{account=\"a\",class=\"urgent\"} 25\n"
    "citrongap_job_finish_seconds_count{account=\"a\",class=\"urgent\"} 10\n"
    "citrongap_job_finish_seconds_count{account=\"b\",class=\"standard\"} 1\n";

} // namespace

BOOST_AUTO_TEST_CASE(histograms_are_read_with_separate_buckets) {
  const auto all = parseHistograms(Text, "");
  BOOST_REQUIRE(all.size() == 2U);
  BOOST_TEST(all[0].Account == "a");
  BOOST_TEST(all[0].Class == "urgent");
  BOOST_TEST(all[0].Count == 10U);
  BOOST_TEST(all[0].SumSeconds == 25);
  const std::vector<Bucket> expected{{0.5, 0}, {1, 8}, {5, 0}, {INFINITY, 2}};
  BOOST_CHECK(all[0].Buckets == expected);
}

BOOST_AUTO_TEST_CASE(one_account_can_be_picked) {
  const auto picked = parseHistograms(Text, "b");
  BOOST_REQUIRE(picked.size() == 1U);
  BOOST_TEST(picked[0].Account == "b");
  BOOST_TEST(parseHistograms(Text, "c").empty());
}

BOOST_AUTO_TEST_CASE(bars_are_drawn_between_the_first_and_last_full_bucket) {
  BOOST_TEST(drawHistogram(parseHistograms(Text, "a")[0]) ==
             "a urgent: 10 finished, mean 2.5 s\n"
             "       1 s        8 ########################################\n"
             "       5 s        0\n"
             "    longer        2 ##########\n");
}

BOOST_AUTO_TEST_CASE(no_finished_job_draws_only_the_title) {
  BOOST_TEST(drawHistogram({"a", "urgent", {{1, 0}}, 0, 0}) ==
             "a urgent: 0 finished, mean 0 s\n");
}

BOOST_AUTO_TEST_CASE(broken_lines_are_passed_over) {
  const std::string name = "citrongap_job_finish_seconds_count";
  for (const char *rest :
       {"", "{", "{account=\"a", "{account=\"a\"", "{account=\"a\"}",
        "{account=\"a\"} x", "{account=\"a\"} -1", "{account=\"a\\",
        "{account} 1", "{account=\"a\"} nan"})
    BOOST_TEST(parseHistograms(name + rest, "").empty());
}

BOOST_AUTO_TEST_CASE(what_metrics_write_is_read_with_its_escaped_account) {
  const ClientAccountId account("a\"\\\n}");
  Metrics metrics;
  metrics.onOutcome(account, ServiceClass::Background, Done{}, Millis(70));
  const auto all = parseHistograms(metrics.text({}), "");
  BOOST_REQUIRE(all.size() == 1U);
  BOOST_TEST(all[0].Account == account.str());
  BOOST_TEST(all[0].Class == "background");
  BOOST_TEST(all[0].Count == 1U);
  BOOST_REQUIRE(all[0].Buckets.size() > 1U);
  BOOST_TEST(all[0].Buckets[1].Count == 1U);
}

BOOST_AUTO_TEST_CASE(json_gives_the_open_bucket_no_bound) {
  BOOST_TEST(
      histogramsJson({{"a", "urgent", {{1, 8}, {INFINITY, 2}}, 25, 10}}) ==
      R"([{"account":"a","buckets":[{"count":8,"up_to_seconds":1.0},)"
      R"({"count":2,"up_to_seconds":null}],"class":"urgent","count":10,)"
      R"("sum_seconds":25.0}])");
}
