// Lost core-seconds of runs and gangs.
#include "citrongap/workload/lost_work.h"

#include <algorithm>

namespace citrongap {

const char *describe(LossCause cause) {
  switch (cause) {
  case LossCause::Preemption:
    return "preemption";
  case LossCause::Stall:
    return "stall";
  case LossCause::LeavingServer:
    return "leaving_server";
  case LossCause::GangBroken:
    return "gang_broken";
  case LossCause::Failure:
    return "failure";
  case LossCause::ExpiredLease:
    return "expired_lease";
  case LossCause::LostServer:
    return "lost_server";
  case LossCause::Cancellation:
    return "cancellation";
  case LossCause::UncertainStart:
    return "uncertain_start";
  case LossCause::ReplacedRun:
    return "replaced_run";
  case LossCause::Unknown:
    return "unknown";
  }
  return "unknown";
}

double coresOf(const Resources &resources) {
  constexpr double CoresPerGpu = 8;
  return static_cast<double>(resources.CpuMillis) / 1000 +
         CoresPerGpu * static_cast<double>(resources.GpuCount);
}

double lostCoreSeconds(const EndedRun &run, MonoTime savedAt) {
  const Millis lost = run.EndedAt - std::max(run.StartedAt, savedAt);
  return coresOf(run.Requested) *
         static_cast<double>(std::max(lost, Millis(0)).count()) / 1000;
}

void GangBreak::noteCause(LossCause cause) {
  if (Cause == LossCause::Unknown ||
      (Cause == LossCause::GangBroken && cause != LossCause::Unknown))
    Cause = cause;
}

RunLoss GangBreak::loss(MonoTime savedAt) const {
  RunLoss loss{Cause, 0};
  for (const EndedRun &it : Members)
    loss.CoreSeconds += lostCoreSeconds(it, savedAt);
  return loss;
}

} // namespace citrongap
