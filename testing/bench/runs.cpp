// Our scheduler and the baselines on one workload.
#include "report.h"

#include <chrono>

namespace citrongap::bench {

namespace {

constexpr std::size_t Schedulers = 4;
constexpr std::array<const char *, Schedulers> Names = {
    "ours", "first fit", "class, best fit", "quotas"};

AnyScheduler makeScheduler(std::size_t n, const Workload &workload) {
  switch (n) {
  case 0:
    return PodScheduler(PodId("pod"), workload.Site.DataCentre);
  case 1:
    return BaselineScheduler({Fit::First, false, false});
  case 2:
    return BaselineScheduler({Fit::Best, true, false});
  default:
    return BaselineScheduler({Fit::Best, true, true});
  }
}

/// From the first to the last arrival of an aggressor's job.
std::pair<MonoTime, MonoTime> aggression(const Workload &workload) {
  MonoTime from = workload.Horizon;
  MonoTime until;
  for (const auto &it : workload.Jobs)
    if (workload.Aggressors.contains(it.Request.Id.Account)) {
      from = std::min(from, it.Arrival);
      until = std::max(until, it.Arrival);
    }
  return {from, until};
}

SchedulerRun runOne(const Workload &workload, std::size_t n) {
  using Clock = std::chrono::steady_clock;
  SchedulerRun run;
  run.Scheduler = Names.at(n);
  const auto begin = Clock::now();
  run.Result = simulate(workload, makeScheduler(n, workload));
  run.Seconds = std::chrono::duration<double>(Clock::now() - begin).count();
  run.Figures = measure(workload, run.Result);
  if (workload.Aggressors.empty())
    return run;
  const auto [from, until] = aggression(workload);
  run.Beside = measureOthers(workload, run.Result, from, until);
  const Workload calm = withoutAggressors(workload);
  run.Alone = measureOthers(calm, simulate(calm, makeScheduler(n, workload)),
                            from, until);
  return run;
}

} // namespace

std::vector<SchedulerRun> runAll(const Workload &workload) {
  std::vector<SchedulerRun> runs;
  for (std::size_t n = 0; n < Schedulers; ++n)
    runs.push_back(runOne(workload, n));
  return runs;
}

} // namespace citrongap::bench
