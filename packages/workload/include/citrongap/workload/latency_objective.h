// What operators promise callers of a queue: a job is in time when it is done
// within a multiple of its longest chain of tasks, and a little more.
#ifndef CITRONGAP_WORKLOAD_LATENCY_OBJECTIVE_H
#define CITRONGAP_WORKLOAD_LATENCY_OBJECTIVE_H

#include "citrongap/base/time.h"

#include <algorithm>
#include <cstdint>

namespace citrongap {

struct LatencyObjective {
  /// Multiple of the run time of the longest chain; 0 for no objective.
  double Stretch = 0;
  /// Milliseconds on top, for handing in and starting.
  std::int64_t AllowanceMs = 0;

  bool isSet() const { return Stretch > 0; }
  /// A job whose longest chain runs for `chain` is in time so long after it
  /// was accepted, or was due.
  Millis latencyBound(Millis chain) const {
    // Beyond this nothing is late, and the sum would not fit.
    constexpr double Longest = 1e15;
    const double stretched =
        std::min(Stretch * static_cast<double>(chain.count()), Longest);
    return Millis(static_cast<std::int64_t>(stretched) + AllowanceMs);
  }
  bool operator==(const LatencyObjective &) const = default;
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(Stretch, AllowanceMs);
  }
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_LATENCY_OBJECTIVE_H
