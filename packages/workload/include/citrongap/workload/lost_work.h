// Core-seconds of runs that did not end as done, by cause. Work that a
// checkpoint saved is not lost.
#ifndef CITRONGAP_WORKLOAD_LOST_WORK_H
#define CITRONGAP_WORKLOAD_LOST_WORK_H

#include "citrongap/base/time.h"
#include "citrongap/workload/resources.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace citrongap {

/// Why the work of a run was lost.
enum class LossCause : std::uint8_t {
  /// Stopped for more urgent work.
  Preemption,
  /// Stopped because it reported no progress.
  Stall,
  LeavingServer,
  /// Another member of the gang ended, for a reason that did not become known.
  GangBroken,
  /// Failure of the run, or of the job beside it.
  Failure,
  ExpiredLease,
  /// The server's process ended, or the server no longer knew the run.
  LostServer,
  Cancellation,
  /// Whether the run had started was not known.
  UncertainStart,
  /// Another run of the task had ended as done.
  ReplacedRun,
  /// Stopped, but not by this owner: an order of an earlier one.
  Unknown
};

inline constexpr std::size_t LossCauses = 11;

/// Label of the metric, such as "leaving_server".
const char *describe(LossCause cause);

/// Cores that the resources count for; the price list counts an accelerator as
/// eight cores.
double coresOf(const Resources &resources);

/// The part of a run that the loss depends on.
struct EndedRun {
  Resources Requested;
  MonoTime StartedAt;
  MonoTime EndedAt;
};

/// Core-seconds of the run after `savedAt`, the time of its latest checkpoint;
/// a time before its start means that it has none.
double lostCoreSeconds(const EndedRun &run, MonoTime savedAt);

/// Loss of one run or gang.
struct RunLoss {
  LossCause Cause = LossCause::Unknown;
  double CoreSeconds = 0;
};

/// Totals by cause.
class LostWork {
public:
  void add(const RunLoss &loss) {
    Totals[static_cast<std::size_t>(loss.Cause)] += loss.CoreSeconds;
  }
  double total(LossCause cause) const {
    return Totals[static_cast<std::size_t>(cause)];
  }

private:
  std::array<double, LossCauses> Totals{};
};

/// Run of a gang that ends before it is done. Its members end one after the
/// other, and what broke it is often reported last: a lost server is recognised
/// only seconds after the other members have ended. The loss is therefore
/// determined once all members have ended.
class GangBreak {
public:
  /// The first known cause stays; GangBroken and Unknown give way to others.
  void noteCause(LossCause cause);
  LossCause cause() const { return Cause; }
  void addMember(const EndedRun &run) { Members.push_back(run); }
  /// `savedAt` is the time of the gang's latest checkpoint.
  RunLoss loss(MonoTime savedAt) const;

private:
  LossCause Cause = LossCause::Unknown;
  std::vector<EndedRun> Members;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_LOST_WORK_H
