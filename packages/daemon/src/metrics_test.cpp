// Metrics: what is counted where, the bound on series, and their memory.
#include "citrongap/daemon/metrics.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <malloc.h>

using namespace citrongap;

namespace {

constexpr std::size_t Classes = 3;
/// Control may take 32 MB a node; its metrics a sixteenth of that.
constexpr std::size_t MaxMetricBytes = 2U << 20U;

bool has(const std::string &text, const std::string &line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

/// Every class of `accounts` accounts has latencies.
void fill(Metrics &metrics, std::size_t accounts) {
  for (std::size_t n = 0; n < accounts; ++n)
    for (std::size_t it = 0; it < Classes; ++it)
      for (int ms = 10; ms <= 100; ms += 10)
        metrics.onOutcome(ClientAccountId(fmt::format("account-{}", n)),
                          static_cast<ServiceClass>(it), Done{}, Millis(ms));
}

} // namespace

BOOST_AUTO_TEST_CASE(each_answer_counts_under_its_account_class_and_outcome) {
  Metrics metrics;
  const ClientAccountId a("a");
  metrics.onOutcome(a, ServiceClass::Urgent, Done{}, Millis(70));
  metrics.onOutcome(a, ServiceClass::Urgent, Failed{}, Millis(9000000));
  metrics.onOutcome(a, ServiceClass::Urgent, NotRun{}, Millis(1));
  metrics.onOutcome(a, ServiceClass::Background, Unknown{}, Millis(1));
  metrics.onOpen(a, ServiceClass::Urgent);
  metrics.onTurnedAway(a, ServiceClass::Urgent);
  const std::string text = metrics.text({});
  for (const char *outcome :
       {"done", "failed", "not_run", "open", "turned_away"})
    BOOST_TEST(has(text, fmt::format("citrongap_submissions_total{{account="
                                     "\"a\",class=\"urgent\",outcome=\"{}\"}} "
                                     "1",
                                     outcome)));
  BOOST_TEST(has(text, "citrongap_submissions_total{account=\"a\",class="
                       "\"background\",outcome=\"unknown\"} 1"));
}

BOOST_AUTO_TEST_CASE(buckets_are_cumulative_and_hold_only_what_finished) {
  Metrics metrics;
  const ClientAccountId a("a");
  metrics.onOutcome(a, ServiceClass::Urgent, Done{}, Millis(50));
  metrics.onOutcome(a, ServiceClass::Urgent, Done{}, Millis(70));
  metrics.onOutcome(a, ServiceClass::Urgent, Failed{}, Millis(9000000));
  metrics.onOutcome(a, ServiceClass::Urgent, NotRun{}, Millis(1));
  const std::string text = metrics.text({});
  const std::string name = "citrongap_job_finish_seconds";
  const std::string labels = R"({account="a",class="urgent")";
  BOOST_TEST(has(text, name + "_bucket" + labels + R"(,le="0.05"} 1)"));
  BOOST_TEST(has(text, name + "_bucket" + labels + R"(,le="0.1"} 2)"));
  BOOST_TEST(has(text, name + "_bucket" + labels + R"(,le="7200"} 2)"));
  BOOST_TEST(has(text, name + "_bucket" + labels + R"(,le="+Inf"} 3)"));
  BOOST_TEST(has(text, name + "_sum" + labels + "} 9000.12"));
  BOOST_TEST(has(text, name + "_count" + labels + "} 3"));
}

BOOST_AUTO_TEST_CASE(quantiles_are_near_those_of_the_samples) {
  Metrics metrics;
  for (int n = 0; n < 1000; ++n)
    metrics.onOutcome(ClientAccountId("a"), ServiceClass::Standard, Done{},
                      Millis(n * 617 % 1000));
  const std::string text = metrics.text({});
  for (const double expected : {0.5, 0.9, 0.99}) {
    const std::string start =
        fmt::format("citrongap_job_finish_quantile_seconds{{account=\"a\","
                    "class=\"standard\",quantile=\"{}\"}} ",
                    expected);
    const auto at = text.find(start);
    BOOST_REQUIRE(at != std::string::npos);
    const double value = std::stod(text.substr(at + start.size()));
    BOOST_TEST(std::abs(value - expected) < 0.03);
  }
}

BOOST_AUTO_TEST_CASE(label_values_are_escaped) {
  Metrics metrics;
  metrics.onOpen(ClientAccountId("a\"\\\n"), ServiceClass::Urgent);
  BOOST_TEST(has(metrics.text({}),
                 R"(citrongap_submissions_total{account="a\"\\\n",)"
                 R"(class="urgent",outcome="open"} 1)"));
}

BOOST_AUTO_TEST_CASE(the_node_tells_its_own_figures_with_help_and_type) {
  NodeFigures node;
  node.InForce = Revision(7);
  node.OpenRequests = 3;
  node.Queued[ClientAccountId("a")] = 2;
  const std::string text = Metrics().text(node);
  BOOST_TEST(has(text, "citrongap_configuration_revision 7"));
  BOOST_TEST(has(text, "citrongap_open_requests 3"));
  BOOST_TEST(has(text, "citrongap_queued_jobs{account=\"a\"} 2"));
  BOOST_TEST(has(text, "# TYPE citrongap_process_cpu_seconds_total counter"));
  BOOST_TEST(!has(text, "citrongap_process_resident_memory_bytes 0"));
}

BOOST_AUTO_TEST_CASE(accounts_past_the_bound_share_one_and_memory_is_bounded) {
  constexpr std::size_t All = 2 * MaxMetricAccounts;
  Metrics metrics;
  const std::size_t before = mallinfo2().uordblks;
  fill(metrics, All);
  const std::size_t bytes = mallinfo2().uordblks - before;
  const std::size_t series = metrics.series();
  BOOST_TEST(series == (MaxMetricAccounts + 1) * Classes);
  const MonoTime start = monoNow();
  const std::string text = metrics.text({});
  const Millis took = monoNow() - start;
  BOOST_TEST_MESSAGE(fmt::format(
      "{} series, {} bytes each, {} in all; exposition {} bytes in {} ms",
      series, bytes / series, bytes, text.size(), took.count()));
  BOOST_TEST(bytes < MaxMetricBytes);
  BOOST_TEST(has(text, fmt::format("citrongap_submissions_total{{account="
                                   "\"other\",class=\"urgent\",outcome="
                                   "\"done\"}} {}",
                                   10 * (All - MaxMetricAccounts))));
}

BOOST_AUTO_TEST_CASE(queues_past_the_bound_are_added_up) {
  NodeFigures node;
  for (std::size_t n = 0; n < MaxMetricAccounts + 5; ++n)
    node.Queued[ClientAccountId(fmt::format("account-{}", n))] = 2;
  BOOST_TEST(
      has(Metrics().text(node), "citrongap_queued_jobs{account=\"other\"} 10"));
}
