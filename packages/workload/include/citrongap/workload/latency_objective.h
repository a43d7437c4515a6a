// Latency objective of a queue: a job is in time when it completes within a
// multiple of the run time of its critical path plus a fixed allowance.
#ifndef CITRONGAP_WORKLOAD_LATENCY_OBJECTIVE_H
#define CITRONGAP_WORKLOAD_LATENCY_OBJECTIVE_H

#include "citrongap/base/time.h"

#include <algorithm>
#include <cstdint>

namespace citrongap {

struct LatencyObjective {
  /// Multiple of the critical path's run time; 0 for no objective.
  double Stretch = 0;
  /// Fixed milliseconds in addition, for submitting and starting the job.
  std::int64_t AllowanceMs = 0;

  bool isSet() const { return Stretch > 0; }
  /// Longest time from acceptance, or from the due time, to completion for a
  /// job whose critical path runs for `criticalPath`.
  Millis latencyBound(Millis criticalPath) const {
    // A larger bound is never exceeded, and the sum would overflow.
    constexpr double Longest = 1e15;
    const double stretched =
        std::min(Stretch * static_cast<double>(criticalPath.count()), Longest);
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
