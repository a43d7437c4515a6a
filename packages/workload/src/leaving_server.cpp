// Stops of runs on leaving servers.
#include "citrongap/workload/leaving_server.h"

#include <algorithm>

namespace citrongap {

std::optional<MonoTime> expectedEnd(const RunProgress &run, MonoTime now) {
  if (run.Percent <= 0)
    return std::nullopt;
  const int left = 100 - run.Percent;
  Millis time = (now - run.StartedAt) * left / run.Percent;
  // Of a resumed run, the part before its start took no time of this run.
  if (run.EarlierPercent >= 0 && run.Percent > run.EarlierPercent)
    time = std::max(time, (now - run.EarlierAt) * left /
                              (run.Percent - run.EarlierPercent));
  return now + time;
}

bool stopsNow(const LeavingRun &run, MonoTime now,
              const LeavingBounds &bounds) {
  if (!run.Checkpoints)
    return false;
  if (run.ExpectedEnd && *run.ExpectedEnd < run.EarliestDepartureAt)
    return false;
  const MonoTime latestStop =
      run.EarliestDepartureAt - bounds.StopTime - bounds.OrderTime;
  return now + bounds.NextDecision > latestStop;
}

} // namespace citrongap
