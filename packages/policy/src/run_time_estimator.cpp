// Logarithmic histograms; the least recently updated kind is evicted.
#include "citrongap/policy/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace citrongap {

namespace {

constexpr double BucketsPerOctave = 2;
/// Total weight at which old samples are halved.
constexpr float MaxTotalWeight = 128;
/// Weight of the declared time, in samples.
constexpr float DeclaredWeight = 2;
constexpr std::int64_t UndeclaredRunMs = 10LL * 60 * 1000;

/// Bucket index of a run time, 0 for 1 ms. The fraction is the position within
/// the bucket.
double bucketPosition(std::int64_t ms) {
  const double octaves =
      std::log2(static_cast<double>(std::max<std::int64_t>(ms, 1)));
  return std::min(octaves * BucketsPerOctave,
                  static_cast<double>(RunTimeHistogram::Buckets) - 1);
}

/// Inverse of bucketPosition(), in milliseconds.
std::int64_t millisAt(double position) {
  const double ms = std::exp2(position / BucketsPerOctave);
  return std::max<std::int64_t>(1, std::llround(ms));
}

std::string keyOf(const ClientAccountId &account, const std::string &kind) {
  return account.str() + '\n' + kind;
}

} // namespace

void RunTimeHistogram::add(std::int64_t ranMs) {
  if (Total >= MaxTotalWeight) {
    for (auto &it : Counts)
      it /= 2;
    Total /= 2;
  }
  Counts.at(static_cast<std::size_t>(bucketPosition(ranMs))) += 1;
  Total += 1;
}

std::int64_t RunTimeHistogram::quantile(double quantile,
                                        std::int64_t declaredMs) const {
  if (Total <= 0)
    return declaredMs;
  const auto declared = static_cast<std::size_t>(bucketPosition(declaredMs));
  double left = quantile * static_cast<double>(Total + DeclaredWeight);
  std::size_t last = 0;
  for (std::size_t i = 0; i < Buckets; ++i) {
    const double count = Counts[i] + (i == declared ? DeclaredWeight : 0);
    if (count <= 0)
      continue;
    if (left <= count)
      return millisAt(static_cast<double>(i) + left / count);
    left -= count;
    last = i;
  }
  return millisAt(static_cast<double>(last) + 1);
}

void RunTimeEstimator::addSample(const ClientAccountId &account,
                                 const std::string &kind, std::int64_t ranMs) {
  const std::string key = keyOf(account, kind);
  const auto it = Index.find(key);
  if (it != Index.end()) {
    Recent.splice(Recent.begin(), Recent, it->second);
  } else {
    Recent.push_front({key, {}});
    Index[key] = Recent.begin();
  }
  Recent.front().Times.add(ranMs);
  if (Recent.size() > MaxKinds) {
    Index.erase(Recent.back().Key);
    Recent.pop_back();
  }
}

bool RunTimeEstimator::informed(const JobRequest &job) const {
  return job.DeclaredRunMs > 0 ||
         Index.contains(keyOf(job.Id.Account, job.Kind));
}

std::int64_t RunTimeEstimator::estimateMs(const JobRequest &job,
                                          double quantile) const {
  return estimateMs(job.Id.Account, job.Kind, job.DeclaredRunMs, quantile);
}

std::int64_t RunTimeEstimator::estimateMs(const ClientAccountId &account,
                                          const std::string &kind,
                                          std::int64_t declaredMs,
                                          double quantile) const {
  const std::int64_t declared = declaredMs > 0 ? declaredMs : UndeclaredRunMs;
  const auto it = Index.find(keyOf(account, kind));
  if (it == Index.end())
    return declared;
  return it->second->Times.quantile(quantile, declared);
}

} // namespace citrongap
