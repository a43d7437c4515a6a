// What an entry VM counts of its callers' jobs, per client account and class,
// and its text exposition on /metrics.
#ifndef CITRONGAP_DAEMON_METRICS_H
#define CITRONGAP_DAEMON_METRICS_H

#include "citrongap/base/ids.h"
#include "citrongap/base/outcome.h"
#include "citrongap/base/time.h"
#include "citrongap/base/units.h"
#include "citrongap/policy/job.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace citrongap {

/// Accounts that have series of their own; all others share `OtherAccount`.
inline constexpr std::size_t MaxMetricAccounts = 710;
inline constexpr const char *OtherAccount = "other";

/// The node's own figures at the moment of the exposition.
struct NodeFigures {
  Revision InForce;
  std::size_t OpenRequests = 0;
  Accelerators Free;
  std::size_t RunningJobs = 0;
  /// Jobs that wait at the pod which this entry VM owns.
  std::map<ClientAccountId, std::size_t> Queued;
};

/// Counters and latencies. Invariant: at most (`MaxMetricAccounts` + 1) x 3
/// series of each kind, whatever accounts are counted.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// A submission was answered with the job's outcome, `took` after it came.
  void onOutcome(const ClientAccountId &account, ServiceClass it,
                 const Outcome &outcome, Millis took);
  /// A submission was answered before the job had an outcome.
  void onOpen(const ClientAccountId &account, ServiceClass it);
  /// A submission was refused before anybody was asked about its key.
  void onTurnedAway(const ClientAccountId &account, ServiceClass it);

  /// Pairs of account and class that are counted.
  std::size_t series() const;
  std::string text(const NodeFigures &node) const;

private:
  /// Hides Boost.Accumulators, which is slow to compile.
  class Impl;
  std::unique_ptr<Impl> Counted;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_METRICS_H
