// Decides when a run is stopped because its server is leaving. A stop makes a
// last checkpoint, so a late stop leaves less work to another server, and one
// that is too late loses the work since the checkpoint before.
#ifndef CITRONGAP_WORKLOAD_LEAVING_SERVER_H
#define CITRONGAP_WORKLOAD_LEAVING_SERVER_H

#include "citrongap/base/time.h"

#include <optional>

namespace citrongap {

/// Progress of a run as its server reported it.
struct RunProgress {
  MonoTime StartedAt;
  int Percent = 0;
  /// An earlier report of the run, -1 for none. A resumed run may begin at any
  /// percentage.
  int EarlierPercent = -1;
  MonoTime EarlierAt;
};

/// When the run ends if it goes on at its pace; empty without progress.
std::optional<MonoTime> expectedEnd(const RunProgress &run, MonoTime now);

/// A run, or a gang as a whole, on a leaving server.
struct LeavingRun {
  bool Checkpoints = false;
  /// Of a gang, that of its last member.
  std::optional<MonoTime> ExpectedEnd;
  /// Until then the server stays at least; of a gang, the first of its servers.
  MonoTime EarliestDepartureAt;
};

struct LeavingBounds {
  /// Longest duration of a stop.
  Millis StopTime{0};
  /// Longest time until a server carries out an order.
  Millis OrderTime{0};
  /// Longest time until the next decision.
  Millis NextDecision{0};
};

/// Whether the run is stopped now. It goes on if it ends before the server may
/// leave, if it has no checkpoints, or if a stop after the next decision is
/// still in time.
bool stopsNow(const LeavingRun &run, MonoTime now, const LeavingBounds &bounds);

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_LEAVING_SERVER_H
