// What the pod's owner waits for, for logs and metrics: stop orders that no
// link tracks any more, and servers whose leases must expire.
#ifndef CITRONGAP_CONTROL_OWNER_WAITS_H
#define CITRONGAP_CONTROL_OWNER_WAITS_H

#include "citrongap/base/event_log.h"
#include "citrongap/control/order_review.h"
#include "citrongap/workload/pod_planner.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace citrongap {

/// Time left until then, in milliseconds, negative once it has passed; "-" if
/// it is not known.
std::string untilText(std::optional<MonoTime> until, MonoTime now);

class OwnerWaits {
public:
  explicit OwnerWaits(EventLog &log) : Log(log) {}

  /// The planner has ordered this stop.
  void noteStop(const StopOrder &order, MonoTime now);
  /// Reviews the stops of runs that the planner still counts as placed.
  /// `isTracked`: a link waits for the end of the run.
  void reviewStops(
      const PodPlanner &planner,
      const std::function<bool(const RunId &, const ServerIncarnation &)>
          &isTracked,
      OrderReview &review);
  /// `waits` are the servers whose leases must expire now, `outcome` tells of
  /// the others how the wait ended.
  void reviewLeases(
      const std::map<ServerIncarnation, WaitReason> &waits, Millis ownedFor,
      const std::function<const char *(const ServerIncarnation &)> &outcome,
      OrderReview &review);
  void clear();

private:
  struct OrderedStop {
    const char *Reason = "";
    MonoTime At;
    /// As logged.
    BackendServerId Server;
    /// It was logged that no link waits for the end.
    bool Logged = false;
  };
  struct LeaseWait {
    WaitReason Reason;
    MonoTime Since;
  };

  EventLog &Log;
  /// Until the planner has released the run.
  std::map<RunId, OrderedStop> Stops;
  /// As logged.
  std::map<ServerIncarnation, LeaseWait> Leases;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_OWNER_WAITS_H
