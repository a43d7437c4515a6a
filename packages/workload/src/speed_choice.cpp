// Speeds that meet an objective.
#include "citrongap/workload/speed_choice.h"

#include <algorithm>

namespace citrongap {

bool ObjectiveOutlook::missedAt(double speed) const {
  const Millis run(
      static_cast<std::int64_t>(static_cast<double>(Left.count()) / speed));
  return run > TimeLeft;
}

double neededSpeed(const ObjectiveOutlook &outlook, double margin,
                   double fastest) {
  if (outlook.TimeLeft <= Millis(0) || outlook.missedAt(fastest))
    return 0;
  const double needed = margin * static_cast<double>(outlook.Left.count()) /
                        static_cast<double>(outlook.TimeLeft.count());
  return std::min(needed, fastest);
}

double lowestSufficient(const std::vector<double> &speeds, double needed) {
  const auto it = std::lower_bound(speeds.begin(), speeds.end(), needed);
  return needed > 0 && it != speeds.end() ? *it : needed;
}

std::vector<SpeedRange> speedsToTry(const std::vector<double> &speeds,
                                    double needed, double safe, bool required) {
  std::vector<SpeedRange> ranges;
  const bool anySuffices = needed <= speeds.front();
  if (anySuffices)
    ranges.push_back({.Min = std::numeric_limits<double>::infinity()});
  const auto sufficient =
      std::lower_bound(speeds.begin(), speeds.end(), needed);
  const auto firstSafe = anySuffices
                             ? sufficient
                             : std::lower_bound(sufficient, speeds.end(), safe);
  for (auto it = firstSafe; it != speeds.end(); ++it)
    ranges.push_back({*it, *it, false});
  for (auto it = sufficient; it != firstSafe; ++it)
    ranges.push_back({*it, *it, false});
  if (!anySuffices && speeds.end() - sufficient > 1)
    ranges.push_back({.Min = needed, .Unknown = false});
  if (!anySuffices)
    ranges.push_back({.Min = needed});
  if (anySuffices || !required)
    ranges.emplace_back();
  return ranges;
}

} // namespace citrongap
