// Histogram buckets are cumulative and keep their labels.
#include "citrongap/control/control_metrics.h"

#include <boost/test/unit_test.hpp>

using namespace citrongap;

BOOST_AUTO_TEST_CASE(histogram_counts_up_to_each_bound) {
  ControlMetrics metrics;
  for (const int ms : {5, 6, 20000})
    metrics.StartWait[1].observe(Millis(ms));
  metrics.QuarantinedServers = 2;
  const std::string text = metrics.text();
  const auto has = [&](const char *line) {
    return text.find(line) != std::string::npos;
  };
  BOOST_TEST(has("citrongap_start_wait_ms_bucket{rank=\"1\",le=\"5\"} 1\n"));
  BOOST_TEST(has("citrongap_start_wait_ms_bucket{rank=\"1\",le=\"10\"} 2\n"));
  BOOST_TEST(has("citrongap_start_wait_ms_bucket{rank=\"1\",le=\"+Inf\"} 3\n"));
  BOOST_TEST(has("citrongap_take_overs_total 0\n"));
  BOOST_TEST(has("citrongap_servers_quarantined 2\n"));
  BOOST_TEST(has("citrongap_done_after_replacement_total 0\n"));
}

// Guards against machines of a speed that are counted under another one.
BOOST_AUTO_TEST_CASE(speeds_are_shown_by_class) {
  ControlMetrics metrics;
  metrics.Speeds.Machines = {{0.5946, 7}, {1, 20}};
  metrics.Speeds.SamplesUsed = 5;
  metrics.Speeds.SamplesIgnored = 2;
  metrics.Speeds.WaitedStarts = 1;
  metrics.Speeds.Wait.observe(Millis(300));
  const std::string text = metrics.text();
  for (const char *line :
       {"citrongap_machines_by_speed{speed=\"0.59\"} 7\n",
        "citrongap_machines_by_speed{speed=\"1.00\"} 20\n",
        "citrongap_speed_samples_total{result=\"used\"} 5\n",
        "citrongap_speed_samples_total{result=\"ignored\"} 2\n",
        "citrongap_starts_waited_for_speed_total 1\n",
        "citrongap_speed_records_unreadable_total 0\n",
        "citrongap_speed_wait_ms_bucket{le=\"1000\"} 1\n"})
    BOOST_TEST(text.find(line) != std::string::npos, line);
}

// Guards against a cause without a series until its first loss, which a rate
// would miss.
BOOST_AUTO_TEST_CASE(lost_work_has_a_series_for_each_cause) {
  ControlMetrics metrics;
  metrics.Losses.add({LossCause::LeavingServer, 12.25});
  const std::string text = metrics.text();
  const auto has = [&](const char *line) {
    return text.find(line) != std::string::npos;
  };
  BOOST_TEST(has(
      "citrongap_lost_core_seconds_total{cause=\"leaving_server\"} 12.2\n"));
  BOOST_TEST(
      has("citrongap_lost_core_seconds_total{cause=\"preemption\"} 0.0\n"));
}

BOOST_AUTO_TEST_CASE(waits_of_the_owner_are_shown) {
  ControlMetrics metrics;
  metrics.Waits = {Millis(2500), Millis(3500), 4, 5};
  const std::string text = metrics.text();
  for (const char *line : {"citrongap_oldest_stop_order_ms 2500\n",
                           "citrongap_oldest_unconfirmed_start_ms 3500\n",
                           "citrongap_servers_awaiting_leases 4\n",
                           "citrongap_due_occurrences_not_planned 5\n"})
    BOOST_TEST(text.find(line) != std::string::npos, line);
}
