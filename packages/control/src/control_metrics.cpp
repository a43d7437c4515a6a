// Writes the metrics in the text format that common collectors read.
#include "citrongap/control/control_metrics.h"

#include <algorithm>
#include <fmt/format.h>

namespace citrongap {

void LatencyHistogram::observe(Millis duration) {
  const auto bucket =
      std::lower_bound(BoundsMs.begin(), BoundsMs.end(), duration.count());
  ++Counts[static_cast<std::size_t>(bucket - BoundsMs.begin())];
}

std::string LatencyHistogram::text(const std::string &name,
                                   const std::string &labels) const {
  std::string out;
  std::uint64_t cumulative = 0;
  const std::string comma = labels.empty() ? "" : ",";
  for (std::size_t n = 0; n < Counts.size(); ++n) {
    cumulative += Counts[n];
    const std::string bound =
        n < BoundsMs.size() ? fmt::format("{}", BoundsMs[n]) : "+Inf";
    out += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, comma,
                       bound, cumulative);
  }
  return out;
}

std::string SpeedMetrics::text() const {
  std::string out;
  for (const auto &[speed, count] : Machines)
    out += fmt::format("citrongap_machines_by_speed{{speed=\"{:.2f}\"}} {}\n",
                       speed, count);
  for (const auto &[result, count] :
       {std::pair("used", SamplesUsed), std::pair("ignored", SamplesIgnored)})
    out += fmt::format("citrongap_speed_samples_total{{result=\"{}\"}} {}\n",
                       result, count);
  out +=
      fmt::format("citrongap_starts_waited_for_speed_total {}\n", WaitedStarts);
  out += fmt::format("citrongap_speed_records_unreadable_total {}\n",
                     UnreadableRecords);
  out += Wait.text("citrongap_speed_wait_ms", "");
  return out;
}

std::string WaitMetrics::text() const {
  return fmt::format("citrongap_oldest_stop_order_ms {}\n"
                     "citrongap_oldest_unconfirmed_start_ms {}\n"
                     "citrongap_servers_awaiting_leases {}\n"
                     "citrongap_due_occurrences_not_planned {}\n",
                     OldestStopOrder.count(), OldestUnconfirmedStart.count(),
                     ServersAwaitingLeases, DueOccurrencesNotPlanned);
}

std::string ControlMetrics::text() const {
  std::string out;
  const auto counts = [&](const char *name, const char *label,
                          const std::map<std::string, std::uint64_t> &by) {
    for (const auto &[value, count] : by)
      out += fmt::format("{}{{{}=\"{}\"}} {}\n", name, label, value, count);
  };
  counts("citrongap_answers_total", "answer", Answers);
  counts("citrongap_stops_total", "reason", StopsByReason);
  counts("citrongap_run_ends_total", "how", EndsByKind);
  for (std::size_t n = 0; n < LossCauses; ++n) {
    const auto cause = static_cast<LossCause>(n);
    out += fmt::format(
        "citrongap_lost_core_seconds_total{{cause=\"{}\"}} {:.1f}\n",
        describe(cause), Losses.total(cause));
  }
  out += fmt::format("citrongap_done_after_replacement_total {}\n",
                     DoneAfterReplacement);
  out += fmt::format("citrongap_take_overs_total {}\n", TakeOvers);
  out += fmt::format("citrongap_store_losses_total {}\n", StoreLosses);
  out += fmt::format("citrongap_servers_quarantined {}\n", QuarantinedServers);
  counts("citrongap_idle_steps", "reason", IdleSteps);
  out += Waits.text();
  out += AnswerTime.text("citrongap_answer_ms", "");
  for (const auto &[rank, times] : StartWait)
    out +=
        times.text("citrongap_start_wait_ms", fmt::format("rank=\"{}\"", rank));
  out += Speeds.text();
  return out;
}

} // namespace citrongap
