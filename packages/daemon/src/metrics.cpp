// Counters per account and class by Boost.Accumulators, and their exposition
// in the text format 0.0.4. Histograms count in fixed buckets, since the
// accumulators have none with an open end; quantiles are estimates that store
// no samples.
#include "citrongap/daemon/metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>
#include <fmt/format.h>
#include <iterator>
#include <string_view>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace citrongap {

namespace {

namespace acc = boost::accumulators;

constexpr std::size_t Classes = 3;
constexpr double MillisPerSecond = 1e3;
constexpr double MicrosPerSecond = 1e6;

/// Upper bounds of the latency buckets, in seconds; the last one is open.
constexpr std::array<double, 12> BucketBounds{0.05, 0.1, 0.25, 0.5, 1,    2.5,
                                              5,    15,  60,   300, 1800, 7200};
constexpr std::array<double, 3> Quantiles{0.5, 0.9, 0.99};
/// The estimate's markers hold raw samples until there are so many.
constexpr std::size_t MinSamplesForQuantiles = 2 * Quantiles.size() + 3;

/// Label values of `outcome`.
enum class Answered : std::uint8_t {
  Done,
  Failed,
  NotRun,
  Unknown,
  Open,
  TurnedAway
};
constexpr std::array<std::string_view, 6> AnsweredNames{
    "done", "failed", "not_run", "unknown", "open", "turned_away"};

using Latency =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;
using Out = std::back_insert_iterator<std::string>;

/// All that is kept of one account and class.
struct Series {
  std::array<std::uint64_t, AnsweredNames.size()> Answers{};
  /// Not cumulative; what is above the last bound is only in the count.
  std::array<std::uint64_t, BucketBounds.size()> Buckets{};
  /// Seconds; made with the first sample.
  std::unique_ptr<Latency> Took;

  void add(double seconds) {
    if (!Took)
      Took = std::make_unique<Latency>(
          acc::tag::extended_p_square::probabilities = Quantiles);
    (*Took)(seconds);
    const auto *bound =
        std::lower_bound(BucketBounds.begin(), BucketBounds.end(), seconds);
    if (bound != BucketBounds.end())
      ++Buckets.at(static_cast<std::size_t>(bound - BucketBounds.begin()));
  }
};

/// A label value as the format wants it.
std::string escaped(const std::string &text) {
  std::string out;
  for (const char it : text) {
    if (it == '\\' || it == '"')
      out += '\\';
    if (it == '\n')
      out += "\\n";
    else
      out += it;
  }
  return out;
}

void head(Out out, std::string_view name, std::string_view type,
          std::string_view help) {
  fmt::format_to(out, "# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, type);
}

template <typename T>
void single(Out out, std::string_view name, std::string_view type,
            std::string_view help, const T &value) {
  head(out, name, type, help);
  fmt::format_to(out, "{} {}\n", name, value);
}

void answersText(Out out, const std::string &labels, const Series &it) {
  for (std::size_t n = 0; n < it.Answers.size(); ++n)
    if (it.Answers.at(n) > 0)
      fmt::format_to(out,
                     "citrongap_submissions_total{{{},outcome=\"{}\"}} {}\n",
                     labels, AnsweredNames.at(n), it.Answers.at(n));
}

void histogramText(Out out, const std::string &labels, const Series &it) {
  if (!it.Took)
    return;
  constexpr std::string_view Name = "citrongap_job_finish_seconds";
  std::uint64_t below = 0;
  for (std::size_t n = 0; n < BucketBounds.size(); ++n) {
    below += it.Buckets.at(n);
    fmt::format_to(out, "{}_bucket{{{},le=\"{}\"}} {}\n", Name, labels,
                   BucketBounds.at(n), below);
  }
  const std::size_t all = acc::count(*it.Took);
  fmt::format_to(out, "{0}_bucket{{{1},le=\"+Inf\"}} {2}\n", Name, labels, all);
  fmt::format_to(out, "{}_sum{{{}}} {}\n", Name, labels, acc::sum(*it.Took));
  fmt::format_to(out, "{}_count{{{}}} {}\n", Name, labels, all);
}

void quantilesText(Out out, const std::string &labels, const Series &it) {
  if (!it.Took || acc::count(*it.Took) < MinSamplesForQuantiles)
    return;
  const auto values = acc::extended_p_square(*it.Took);
  for (std::size_t n = 0; n < Quantiles.size(); ++n)
    fmt::format_to(
        out, "citrongap_job_finish_quantile_seconds{{{},quantile=\"{}\"}} {}\n",
        labels, Quantiles.at(n), values[static_cast<std::ptrdiff_t>(n)]);
}

double cpuSeconds() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  const auto seconds = [](const timeval &it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / MicrosPerSecond;
  };
  return seconds(use.ru_utime) + seconds(use.ru_stime);
}

/// Zero when the system does not tell.
std::uint64_t residentBytes() {
  std::FILE *file = std::fopen("/proc/self/statm", "re");
  if (file == nullptr)
    return 0;
  std::array<char, 128> buf{};
  const bool read = std::fgets(buf.data(), buf.size(), file) != nullptr;
  std::fclose(file);
  const std::string_view text(buf.data());
  const auto space = text.find(' ');
  if (!read || space == std::string_view::npos)
    return 0;
  // The second field is the resident pages.
  return std::strtoull(buf.data() + space, nullptr, 10) *
         static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

void nodeText(Out out, const NodeFigures &node) {
  single(out, "citrongap_configuration_revision", "gauge",
         "Revision of the configuration in force.", node.InForce.value());
  single(out, "citrongap_open_requests", "gauge",
         "Callers' requests taken and not yet answered.", node.OpenRequests);
  single(out, "citrongap_pod_free_accelerators", "gauge",
         "Free accelerators of the pod owned here.", node.Free.Count);
  single(out, "citrongap_pod_running_jobs", "gauge",
         "Jobs that run in the pod owned here.", node.RunningJobs);
  single(out, "citrongap_process_cpu_seconds_total", "counter",
         "Processor time of this process, user and system.", cpuSeconds());
  single(out, "citrongap_process_resident_memory_bytes", "gauge",
         "Resident memory of this process.", residentBytes());
}

/// Accounts past the bound are added up.
std::map<std::string, std::size_t>
bounded(const std::map<ClientAccountId, std::size_t> &counts) {
  std::map<std::string, std::size_t> out;
  std::size_t own = 0;
  for (const auto &[account, n] : counts)
    out[own++ < MaxMetricAccounts ? account.str() : OtherAccount] += n;
  return out;
}

void queuesText(Out out, const NodeFigures &node) {
  head(out, "citrongap_queued_jobs", "gauge",
       "Jobs of the account that wait at the pod owned here.");
  for (const auto &[account, n] : bounded(node.Queued))
    fmt::format_to(out, "citrongap_queued_jobs{{account=\"{}\"}} {}\n",
                   escaped(account), n);
}

Answered answeredBy(const Outcome &outcome) {
  return std::visit(
      Overloaded{[](const Done &) { return Answered::Done; },
                 [](const Failed &) { return Answered::Failed; },
                 [](const NotRun &) { return Answered::NotRun; },
                 [](const Unknown &) { return Answered::Unknown; }},
      outcome);
}

} // namespace

class Metrics::Impl {
public:
  Series &of(const ClientAccountId &account, ServiceClass it) {
    auto found = Accounts.find(account.str());
    if (found == Accounts.end()) {
      const bool own = Accounts.size() < MaxMetricAccounts;
      found = Accounts.try_emplace(own ? account.str() : OtherAccount).first;
    }
    auto &series = found->second.at(static_cast<std::size_t>(it));
    if (!series)
      series = std::make_unique<Series>();
    return *series;
  }

  /// Calls `visit(labels, series)` for each.
  template <typename Visit> void each(const Visit &visit) const {
    for (const auto &[account, classes] : Accounts)
      for (std::size_t n = 0; n < Classes; ++n)
        if (classes.at(n))
          visit(fmt::format(R"(account="{}",class="{}")", escaped(account),
                            toString(static_cast<ServiceClass>(n))),
                *classes.at(n));
  }

private:
  /// By the label's value, so that no series appears twice.
  std::map<std::string, std::array<std::unique_ptr<Series>, Classes>> Accounts;
};

Metrics::Metrics() : Counted(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::onOutcome(const ClientAccountId &account, ServiceClass it,
                        const Outcome &outcome, Millis took) {
  Series &series = Counted->of(account, it);
  const Answered answered = answeredBy(outcome);
  ++series.Answers.at(static_cast<std::size_t>(answered));
  // What did not run, or perhaps did not, has not finished.
  if (answered == Answered::Done || answered == Answered::Failed)
    series.add(static_cast<double>(took.count()) / MillisPerSecond);
}

void Metrics::onOpen(const ClientAccountId &account, ServiceClass it) {
  ++Counted->of(account, it)
        .Answers.at(static_cast<std::size_t>(Answered::Open));
}

void Metrics::onTurnedAway(const ClientAccountId &account, ServiceClass it) {
  ++Counted->of(account, it)
        .Answers.at(static_cast<std::size_t>(Answered::TurnedAway));
}

std::size_t Metrics::series() const {
  std::size_t n = 0;
  Counted->each([&](const std::string &, const Series &) { ++n; });
  return n;
}

std::string Metrics::text(const NodeFigures &node) const {
  std::string text;
  const Out out(text);
  nodeText(out, node);
  queuesText(out, node);
  head(out, "citrongap_submissions_total", "counter",
       "Answers to submissions; open ones were accepted without an outcome "
       "yet, those turned away started nothing.");
  Counted->each([&](const std::string &labels, const Series &it) {
    answersText(out, labels, it);
  });
  head(out, "citrongap_job_finish_seconds", "histogram",
       "Time from a submission to its answer of done or failed.");
  Counted->each([&](const std::string &labels, const Series &it) {
    histogramText(out, labels, it);
  });
  head(out, "citrongap_job_finish_quantile_seconds", "gauge",
       "Estimated quantiles of that time since the start.");
  Counted->each([&](const std::string &labels, const Series &it) {
    quantilesText(out, labels, it);
  });
  return text;
}

} // namespace citrongap
