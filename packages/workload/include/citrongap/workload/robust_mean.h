// Mean that leaves outliers out, in time linear in the number of values.
#ifndef CITRONGAP_WORKLOAD_ROBUST_MEAN_H
#define CITRONGAP_WORKLOAD_ROBUST_MEAN_H

#include <cstddef>
#include <vector>

namespace citrongap {

/// Logarithms to the base 2 with their weights.
class WeightedLogs {
public:
  void clear() {
    Values.clear();
    Weights.clear();
  }
  void add(double value, double weight) {
    Values.push_back(value);
    Weights.push_back(weight);
  }
  bool empty() const { return Values.empty(); }
  /// Mean of the values within three quarters of an octave of the median, which
  /// is determined to an eighth of an octave. There must be values.
  double robustMean() const;

private:
  // Of the same size.
  std::vector<double> Values;
  std::vector<double> Weights;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_ROBUST_MEAN_H
