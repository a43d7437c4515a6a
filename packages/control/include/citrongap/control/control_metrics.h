// Counters and histograms of an entry VM, as text for its metrics address.
#ifndef CITRONGAP_CONTROL_CONTROL_METRICS_H
#define CITRONGAP_CONTROL_CONTROL_METRICS_H

#include "citrongap/base/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace citrongap {

/// Counts of times up to fixed bounds.
class LatencyHistogram {
public:
  void observe(Millis duration);
  /// One line a bound: "NAME_bucket{LABELS,le="5"} 3", and a count.
  std::string text(const std::string &name, const std::string &labels) const;

private:
  /// Upper bounds in milliseconds; callers of urgent work notice a second.
  static constexpr std::array<std::int64_t, 9> BoundsMs{
      5, 10, 25, 50, 100, 250, 1000, 3000, 10000};
  std::array<std::uint64_t, BoundsMs.size() + 1> Counts{};
};

struct ControlMetrics {
  std::map<std::string, std::uint64_t> Answers;
  LatencyHistogram AnswerTime;
  /// Of the owner: orders, and how runs ended.
  std::map<std::string, std::uint64_t> StopsByReason;
  std::map<std::string, std::uint64_t> EndsByKind;
  /// From the moment that a task could start until its start, by rank.
  std::map<std::uint32_t, LatencyHistogram> StartWait;
  std::uint64_t TakeOvers = 0;
  std::uint64_t StoreLosses = 0;

  std::string text() const;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_CONTROL_METRICS_H
