// Run times learned for each account and kind of job.
//
// A histogram with logarithmic buckets and decay, not an extended P-square
// accumulator: P-square never forgets, so that a kind whose run time changes
// keeps its old quantile, and it is undefined before as many samples as it has
// markers. The histogram is 256 bytes, exact to its bucket's width and mixes
// with the declared time from the first sample on.
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

/// Used to charge an account before the true run time is known.
inline constexpr double ChargeQuantile = 0.5;
/// Used where a job must end in time, as in backfill.
inline constexpr double BackfillQuantile = 0.9;

/// Counts of run times in buckets whose bounds grow by the square root of two.
class RunTimeHistogram {
public:
  static constexpr std::size_t Buckets = 64;

  /// Old samples lose half their weight each time the total gets full.
  void add(std::int64_t ranMs);
  /// `quantile` in [0, 1]; the declared time counts like a few samples.
  std::int64_t quantile(double quantile, std::int64_t declaredMs) const;

private:
  std::array<float, Buckets> Counts{};
  float Total = 0;
};

class RunTimeEstimator {
public:
  /// Memory is bounded: beyond `maxKinds` the one used least recently goes.
  explicit RunTimeEstimator(std::size_t maxKinds = 2048) : MaxKinds(maxKinds) {}

  /// The estimate rests on a declared or a learned time, not on a default.
  bool informed(const JobRequest &job) const;
  void addSample(const ClientAccountId &account, const std::string &kind,
                 std::int64_t ranMs);
  /// Milliseconds, at least 1; the declared time while nothing is known, and a
  /// fixed guess when nothing was declared either.
  std::int64_t estimateMs(const JobRequest &job, double quantile) const;
  std::int64_t estimateMs(const ClientAccountId &account,
                          const std::string &kind, std::int64_t declaredMs,
                          double quantile) const;
  std::size_t kinds() const { return Recent.size(); }

private:
  struct Entry {
    std::string Key;
    RunTimeHistogram Times;
  };

  std::size_t MaxKinds;
  /// Most recently recorded first. Invariant: Index points at each entry.
  std::list<Entry> Recent;
  std::unordered_map<std::string, std::list<Entry>::iterator> Index;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_RUN_TIME_ESTIMATOR_H
