// Stops runs whose server is leaving, gangs as a whole.
#include "citrongap/workload/leaving_server.h"
#include "citrongap/workload/pod_planner.h"

#include <algorithm>
#include <map>

namespace citrongap {

std::optional<MonoTime> PodPlanner::expectedEndOf(const TaskName &name,
                                                  MonoTime now) const {
  if (Works.at(name.Work).Spec.LongRunning)
    return std::nullopt;
  const auto endOf = [&](const TaskRecord &it) {
    return expectedEnd(
        {it.PlacedAt, it.Percent, it.PaceFromPercent, it.PaceFrom}, now);
  };
  if (!specOf(name).Gang)
    return endOf(*findTask(name));
  std::optional<MonoTime> last;
  for (const TaskRecord &it : Works.at(name.Work)
                                  .Record.Occurrences[name.Occurrence]
                                  .Steps[name.Step]
                                  .Tasks)
    if (it.Stage == TaskStage::Placed)
      last = std::max(last, endOf(it));
  return last;
}

void PodPlanner::evictFromDraining(MonoTime now) {
  std::map<TaskName, LeavingRun> leaving;
  for (const auto &[incarnation, tasks] : Placed) {
    const ServerSlot *slot = Servers.find(incarnation.Id);
    if (!slot || !slot->Entry.Draining)
      continue;
    for (const TaskName &name : tasks) {
      const StepSpec &spec = specOf(name);
      if (findTask(name)->StopRequested || !spec.Checkpoints)
        continue;
      TaskName key = name;
      if (spec.Gang)
        key.Index = 0;
      const auto [it, added] = leaving.try_emplace(key);
      if (added)
        it->second = {true, expectedEndOf(name, now),
                      slot->EarliestDepartureAt};
      it->second.EarliestDepartureAt =
          std::min(it->second.EarliestDepartureAt, slot->EarliestDepartureAt);
    }
  }
  // A round that comes just before the end of the interval leaves the decision
  // to the next one.
  const LeavingBounds bounds{Options.MaxStopTime, Options.OrderTime,
                             Options.SweepInterval * 2};
  for (const auto &[name, run] : leaving) {
    if (!stopsNow(run, now, bounds))
      continue;
    if (specOf(name).Gang)
      stopGang(name, "a member's server is leaving", LossCause::LeavingServer);
    else
      requestStop(name, stepOf(name).Tasks[name.Index], "the server is leaving",
                  LossCause::LeavingServer);
  }
}

} // namespace citrongap
