// Latency histograms read from the text exposition of /metrics, and drawn.
#ifndef CITRONGAP_CLI_SRC_HISTOGRAM_H
#define CITRONGAP_CLI_SRC_HISTOGRAM_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citrongap::cli {

/// Jobs that took at most `UpTo` seconds and longer than the bucket before.
struct Bucket {
  /// Infinite for the last one.
  double UpTo = 0;
  std::uint64_t Count = 0;

  bool operator==(const Bucket &) const = default;
};

/// Time to finish of one account and class.
struct Histogram {
  std::string Account;
  std::string Class;
  /// Bounds rise.
  std::vector<Bucket> Buckets;
  double SumSeconds = 0;
  std::uint64_t Count = 0;
};

/// The histograms of the text, in its order; lines of other metrics and
/// unreadable ones are passed over. Only of `account` unless it is empty.
std::vector<Histogram> parseHistograms(std::string_view text,
                                       std::string_view account);

/// A title line, then one line with a bar for each bucket between the first
/// and the last that hold jobs.
std::string drawHistogram(const Histogram &it);

/// `[{"account":A,"class":C,"count":N,"sum_seconds":S,
///    "buckets":[{"up_to_seconds":B,"count":N},...]},...]`; the open bucket's
/// bound is null.
std::string histogramsJson(const std::vector<Histogram> &histograms);

} // namespace citrongap::cli

#endif // CITRONGAP_CLI_SRC_HISTOGRAM_H
