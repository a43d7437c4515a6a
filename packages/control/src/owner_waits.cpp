// Lines on stops without an end, and on leases that must expire first.
#include "citrongap/control/owner_waits.h"

#include <algorithm>
#include <fmt/format.h>

namespace citrongap {

namespace {

/// Empty unless the planner counts the run as placed.
const TaskRecord *placedRun(const PodPlanner &planner, const RunId &id) {
  const auto &[task, run] = id;
  const PlannedWork *work = planner.find(task.Work);
  if (!work || task.Occurrence >= work->Record.Occurrences.size())
    return nullptr;
  const auto &steps = work->Record.Occurrences[task.Occurrence].Steps;
  if (task.Step >= steps.size() || task.Index >= steps[task.Step].Tasks.size())
    return nullptr;
  const TaskRecord &record = steps[task.Step].Tasks[task.Index];
  const bool placed = record.Stage == TaskStage::Placed && record.Run == run;
  return placed ? &record : nullptr;
}

} // namespace

std::string untilText(std::optional<MonoTime> until, MonoTime now) {
  return until ? fmt::format("{}", (*until - now).count()) : "-";
}

void OwnerWaits::noteStop(const StopOrder &order, MonoTime now) {
  Stops.try_emplace({order.Task, order.Run},
                    OrderedStop{order.Reason, now, order.Server.Id});
}

void OwnerWaits::reviewStops(
    const PodPlanner &planner,
    const std::function<bool(const RunId &, const ServerIncarnation &)>
        &isTracked,
    OrderReview &review) {
  const MonoTime now = monoNow();
  for (auto it = Stops.begin(); it != Stops.end();) {
    auto &[id, stop] = *it;
    const Millis age = now - stop.At;
    const TaskRecord *record = placedRun(planner, id);
    if (!record) {
      if (stop.Logged)
        Log("order", "stop_untracked_over",
            "task={} run={} server={} age_ms={}", id.first.str(), id.second,
            stop.Server.str(), age.count());
      it = Stops.erase(it);
      continue;
    }
    ++it;
    review.OldestStop = std::max(review.OldestStop, age);
    if (stop.Logged || isTracked(id, record->Server) || !review.takeLine(age))
      continue;
    stop.Logged = true;
    stop.Server = record->Server.Id;
    Log("order", "stop_untracked",
        "task={} run={} server={} born={} age_ms={} why=\"{}\"", id.first.str(),
        id.second, record->Server.Id.str(), record->Server.StartedAtMs,
        age.count(), stop.Reason);
  }
}

void OwnerWaits::reviewLeases(
    const std::map<ServerIncarnation, WaitReason> &waits, Millis ownedFor,
    const std::function<const char *(const ServerIncarnation &)> &outcome,
    OrderReview &review) {
  const MonoTime now = monoNow();
  std::erase_if(Leases, [&](const auto &it) {
    const auto &[server, wait] = it;
    if (waits.contains(server))
      return false;
    Log("servers", "leases_wait_over", "server={} born={} waited_ms={} how={}",
        server.Id.str(), server.StartedAtMs, (now - wait.Since).count(),
        outcome(server));
    return true;
  });
  for (const auto &[server, reason] : waits) {
    const auto known = Leases.find(server);
    if (known != Leases.end() && known->second.Reason == reason)
      continue;
    if (!review.takeLine(review.MinAge))
      return;
    if (known == Leases.end())
      Leases.emplace(server, LeaseWait{reason, now});
    else
      known->second.Reason = reason;
    Log("servers", "leases_awaited",
        "server={} born={} why={} until_ms={} owned_for_ms={}", server.Id.str(),
        server.StartedAtMs, reason.For, untilText(reason.Until, now),
        ownedFor.count());
  }
}

void OwnerWaits::clear() {
  Stops.clear();
  Leases.clear();
}

} // namespace citrongap
