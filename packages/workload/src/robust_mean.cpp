// Finds the median by a histogram: to sort the values took most of the time of
// an update of thousands of machines.
#include "citrongap/workload/robust_mean.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace citrongap {

namespace {

/// Values further from the median are outliers, in octaves.
constexpr double OutlierDistance = 0.75;
constexpr std::size_t BinsPerOctave = 8;
/// The histogram covers so many octaves on either side of the mean.
constexpr std::size_t HalfRange = 4;
constexpr std::size_t Bins = 2 * HalfRange * BinsPerOctave;

} // namespace

double WeightedLogs::robustMean() const {
  double total = 0;
  double sum = 0;
  for (std::size_t n = 0; n < Values.size(); ++n) {
    total += Weights[n];
    sum += Values[n] * Weights[n];
  }
  const double mean = sum / total;
  const double lowest = mean - static_cast<double>(HalfRange);
  std::array<double, Bins> histogram{};
  for (std::size_t n = 0; n < Values.size(); ++n) {
    const double bin =
        std::clamp((Values[n] - lowest) * static_cast<double>(BinsPerOctave),
                   0.0, static_cast<double>(Bins - 1));
    histogram[static_cast<std::size_t>(bin)] += Weights[n];
  }
  std::size_t middle = 0;
  double below = histogram[0];
  while (below * 2 < total && middle + 1 < Bins)
    below += histogram[++middle];
  const double median = lowest + (static_cast<double>(middle) + 0.5) /
                                     static_cast<double>(BinsPerOctave);
  double nearSum = 0;
  double near = 0;
  for (std::size_t n = 0; n < Values.size(); ++n) {
    const bool isNear = std::abs(Values[n] - median) <= OutlierDistance;
    near += isNear ? Weights[n] : 0;
    nearSum += isNear ? Values[n] * Weights[n] : 0;
  }
  // Beyond the histogram, no value may be near its outermost bin.
  return near > 0 ? nearSum / near : mean;
}

} // namespace citrongap
