// Choice of servers by speed: which speeds let a unit of work meet its
// objective, and in which order they are tried.
#ifndef CITRONGAP_WORKLOAD_SPEED_CHOICE_H
#define CITRONGAP_WORKLOAD_SPEED_CHOICE_H

#include "citrongap/base/time.h"

#include <limits>
#include <optional>
#include <vector>

namespace citrongap {

/// Speeds relative to the median machine, both bounds inclusive.
struct SpeedRange {
  double Min = 0;
  double Max = std::numeric_limits<double>::infinity();
  /// Admits servers of unknown speed.
  bool Unknown = true;

  /// `speed` is empty if it is unknown.
  bool contains(const std::optional<double> &speed) const {
    return speed ? *speed >= Min && *speed <= Max : Unknown;
  }
  /// Whether each speed in `other` is in this range.
  bool covers(const SpeedRange &other) const {
    return Min <= other.Min && Max >= other.Max && (Unknown || !other.Unknown);
  }
  bool operator==(const SpeedRange &) const = default;
};

/// What is left of a job and of the time in which its objective can be met.
struct ObjectiveOutlook {
  /// Run time of the remaining critical path at speed 1.
  Millis Left{0};
  /// Negative once the objective is missed.
  Millis TimeLeft{0};

  /// Whether the objective is missed even by a start now at `speed`.
  bool missedAt(double speed) const;
};

/// Lowest speed at which a start now meets the objective, with `margin` as a
/// factor on top, at most `fastest`. 0 if `fastest` misses it, too.
double neededSpeed(const ObjectiveOutlook &outlook, double margin,
                   double fastest);

/// The lowest of the speeds (ascending) that is at least `needed`; `needed` if
/// it is 0 or none is. All servers of known speed run at one of the speeds, so
/// this admits the same ones, and few distinct values occur: requests that
/// differ in speed only can share the outcome of one search of the servers.
double lowestSufficient(const std::vector<double> &speeds, double needed);

/// The order in which servers are tried for work that needs speed `needed`, and
/// for which `safe` suffices even on a server that is rated too high:
/// each of the speeds (ascending) that suffice safely by itself, each that just
/// suffices, all of them, then servers of unknown speed as well. Work with
/// slack thus leaves fast servers to work without, and a gang gets servers of
/// one speed where it can, since its slowest member sets its pace. Work that
/// any speed suffices for takes servers of unknown speed first, which become
/// known by it. Unless the speed is `required`, any speed comes last.
std::vector<SpeedRange> speedsToTry(const std::vector<double> &speeds,
                                    double needed, double safe, bool required);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_SPEED_CHOICE_H
