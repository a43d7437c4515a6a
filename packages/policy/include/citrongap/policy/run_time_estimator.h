// Estimates run times from completed runs, per account and kind of job.
//
// The estimator uses a histogram with logarithmic buckets and decay. An
// extended P-square accumulator does not fit for two reasons:
//
// - It never discards old samples, so a kind whose run time changes keeps its
//   old quantile.
// - It is undefined until it has as many samples as markers.
//
// The histogram takes 256 bytes, is accurate to the width of a bucket, and
// combines with the declared run time from the first sample on.
#ifndef CITRONGAP_POLICY_RUN_TIME_ESTIMATOR_H
#define CITRONGAP_POLICY_RUN_TIME_ESTIMATOR_H

#include "citrongap/base/ids.h"
#include "citrongap/policy/job.h"

#include <array>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace citrongap {

/// Quantile with which a start is charged before its run time is known.
inline constexpr double ChargeQuantile = 0.5;
/// Quantile for decisions where a job must end in time, such as backfill.
inline constexpr double BackfillQuantile = 0.9;

/// Histogram of run times; bucket bounds grow by a factor of sqrt(2).
class RunTimeHistogram {
public:
  static constexpr std::size_t Buckets = 64;

  /// Adds a sample. Each time the total weight reaches its limit, the weights
  /// of the old samples are halved.
  void add(std::int64_t ranMs);
  /// Milliseconds for `quantile` in [0, 1]. The declared time has the weight of
  /// a few samples and is the result while there are none.
  std::int64_t quantile(double quantile, std::int64_t declaredMs) const;

private:
  std::array<float, Buckets> Counts{};
  float Total = 0;
};

/// One histogram per account and kind.
class RunTimeEstimator {
public:
  /// At most `maxKinds` histograms are kept; beyond that the least recently
  /// updated one is evicted.
  explicit RunTimeEstimator(std::size_t maxKinds = 2048) : MaxKinds(maxKinds) {}

  /// Whether the estimate is based on a declared or learned time rather than on
  /// the default.
  bool informed(const JobRequest &job) const;
  void addSample(const ClientAccountId &account, const std::string &kind,
                 std::int64_t ranMs);
  /// Milliseconds, at least 1. Without samples this is the declared time, and
  /// without a declared time a fixed default.
  std::int64_t estimateMs(const JobRequest &job, double quantile) const;
  std::int64_t estimateMs(const ClientAccountId &account,
                          const std::string &kind, std::int64_t declaredMs,
                          double quantile) const;
  /// Number of histograms.
  std::size_t kinds() const { return Recent.size(); }

private:
  struct Entry {
    std::string Key;
    RunTimeHistogram Times;
  };

  std::size_t MaxKinds;
  /// Most recently updated first. Invariant: `Index` refers to every entry.
  std::list<Entry> Recent;
  std::unordered_map<std::string, std::list<Entry>::iterator> Index;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_RUN_TIME_ESTIMATOR_H
