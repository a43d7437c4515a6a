// Room: what is stopped or kept free for urgent work, and runs that are moved
// because they stall or their server leaves.
#include "pod_planner_unit.h"

#include <algorithm>
#include <map>

namespace citrongap {

namespace {

/// Core-seconds that one accelerator-second counts as; from the price list.
constexpr double CoresPerGpu = 8;
/// Stopping a task that checkpoints loses at most about a second of work.
constexpr double CheckpointLossSeconds = 1;

double secondsBetween(MonoTime from, MonoTime to) {
  return static_cast<double>((to - from).count()) / 1000;
}

double coresOf(const Resources &it) {
  return static_cast<double>(it.CpuMillis) / 1000 +
         CoresPerGpu * static_cast<double>(it.GpuCount);
}

} // namespace

std::vector<PodPlanner::Victims>
PodPlanner::victimsBelow(std::uint32_t rank,
                         const std::vector<PackingServer> &view,
                         MonoTime now) const {
  std::map<BackendServerId, std::size_t> indexOf;
  for (std::size_t at = 0; at < view.size(); ++at)
    indexOf[view[at].Id] = at;
  std::map<TaskName, Victims> groups;
  for (const auto &[life, tasks] : Placed)
    for (const TaskName &name : tasks) {
      const PlannedWork &work = Works.at(name.Work);
      const TaskRecord &task = *taskOf(name);
      const auto server = indexOf.find(life.Id);
      if (task.StopWanted || rankOf(work) <= std::max(rank, UrgentRank - 1) ||
          (rank == UrgentRank && rankOf(work) == UrgentRank) ||
          server == indexOf.end())
        continue;
      const StepSpec &spec = work.Spec.Steps[name.Step];
      TaskName key = name;
      if (spec.Gang)
        key.Index = 0;
      double seconds = secondsBetween(task.PlacedAt, now);
      if (spec.Checkpoints)
        seconds = std::min(seconds, CheckpointLossSeconds);
      Victims &group = groups[key];
      group.Any = name;
      group.Group.Parts.push_back({server->second, spec.taken()});
      // What goes on until the stop is carried out is lost as well.
      seconds += static_cast<double>(Terms.StopWithin.count()) / 1000;
      group.Group.Waste += seconds * coresOf(spec.Requested);
    }
  std::vector<Victims> out;
  out.reserve(groups.size());
  for (auto &[key, it] : groups)
    out.push_back(std::move(it));
  return out;
}

double PodPlanner::ownWork(const Unit &unit) const {
  const StepSpec &spec = Works.at(unit.Work).Spec.Steps[unit.Step];
  return static_cast<double>(unit.Indices.size()) * coresOf(spec.Requested) *
         static_cast<double>(spec.EstimateMs) / 1000;
}

bool PodPlanner::preempt(const Unit &unit, std::vector<PackingServer> &view,
                         MonoTime now) {
  // What is being stopped already counts as free for the highest ranks.
  std::vector<PackingServer> later = view;
  for (PackingServer &it : later)
    it.Free += Servers.find(it.Id)->Stopping;
  const PackingRequest near = requestOf(unit, view, true);
  if (const auto found = packTasks(later, near)) {
    takeRoom(view, *found, near.Each);
    return true;
  }
  const std::vector<Victims> victims = victimsBelow(unit.Rank, later, now);
  std::vector<VictimGroup> groups;
  groups.reserve(victims.size());
  for (const Victims &it : victims)
    groups.push_back(it.Group);
  const Millis patience = unit.Rank == GuaranteedRank
                              ? Terms.PreemptAfter
                              : Terms.UrgentPreemptAfter;
  const bool patient = now - unit.WaitingSince < patience;
  auto room = makeRoom(later, groups, near);
  if (!room && !patient)
    room = makeRoom(later, groups, requestOf(unit, view, false));
  if (!room || (patient && room->Waste > Terms.CheapWaste * ownWork(unit)))
    return false;
  for (const std::size_t it : room->Victims) {
    const TaskName &name = victims[it].Any;
    if (specOf(name).Gang)
      stopGang(name, "room for urgent work");
    else
      wantStop(name, stepOf(name).Tasks[name.Index], "room for urgent work");
  }
  takeRoom(view, room->Servers, near.Each);
  return true;
}

void PodPlanner::reserveForUrgent(std::vector<PackingServer> &view,
                                  MonoTime now) const {
  // Whole servers first, in the racks with the most of them, so that gangs fit;
  // then those that are nearly whole, which then empty.
  std::map<RackId, std::int64_t> freeInRack;
  for (const PackingServer &it : view)
    freeInRack[it.Rack] += it.Free.GpuCount;
  std::vector<PackingServer *> order;
  order.reserve(view.size());
  for (PackingServer &it : view)
    order.push_back(&it);
  const auto taken = [](const PackingServer &it) {
    return it.Capacity.GpuCount - it.Free.GpuCount;
  };
  std::stable_sort(
      order.begin(), order.end(),
      [&](const PackingServer *lhs, const PackingServer *rhs) {
        return std::tuple(taken(*lhs), -freeInRack[lhs->Rack], lhs->Rack) <
               std::tuple(taken(*rhs), -freeInRack[rhs->Rack], rhs->Rack);
      });
  const auto servers = [&](double share) {
    return std::min(
        order.size(),
        static_cast<std::size_t>(static_cast<double>(view.size()) * share));
  };
  const std::size_t firm = servers(arrivingShare(view, now));
  const std::size_t all = std::max(firm, servers(Terms.UrgentReserveShare));
  for (std::size_t n = 0; n < all; ++n)
    order[n]->KeptFor = n < firm ? Standing::Urgent : Standing::Patient;
}

double PodPlanner::arrivingShare(const std::vector<PackingServer> &view,
                                 MonoTime now) const {
  std::int64_t capacity = 0;
  for (const PackingServer &it : view)
    capacity += it.Capacity.GpuCount;
  std::int64_t arrived = 0;
  for (const auto &[at, gpus] : UrgentArrivals)
    if (now - at < Terms.ArrivalsOver)
      arrived += gpus;
  if (capacity == 0)
    return 0;
  const double next = static_cast<double>(arrived) *
                      static_cast<double>(Terms.ReserveAhead.count()) /
                      static_cast<double>(Terms.ArrivalsOver.count());
  return std::min(next / static_cast<double>(capacity), Terms.MaxArrivingShare);
}

bool PodPlanner::stalls(const TaskRecord &task, const StepSpec &spec,
                        MonoTime now) const {
  if (!task.Confirmed || task.Percent >= 100)
    return false;
  // Estimates are off by several times; a task that was stopped for it before
  // may only be longer than its estimate says.
  constexpr std::uint32_t MaxDoublings = 8;
  const std::uint32_t times = 1U << std::min(task.Stalls, MaxDoublings);
  const Millis onePercent(spec.EstimateMs * 3 / 100);
  return now - task.ProgressAt >
             std::max(Terms.StalledAfter, onePercent) * times ||
         task.ListedAt - task.ProgressAt >
             std::max(Terms.ListedStalledAfter, onePercent) * times;
}

void PodPlanner::watchRuns(MonoTime now) {
  std::vector<TaskName> stalled;
  for (const auto &[life, tasks] : Placed)
    for (const TaskName &name : tasks) {
      const TaskRecord &task = *taskOf(name);
      const StepSpec &spec = specOf(name);
      if (task.StopWanted)
        continue;
      const bool unconfirmedGang =
          spec.Gang && !task.Confirmed &&
          now - task.PlacedAt > Terms.GangConfirmTimeout;
      if (unconfirmedGang || stalls(task, spec, now))
        stalled.push_back(name);
    }
  for (const TaskName &it : stalled) {
    TaskRecord &task = stepOf(it).Tasks[it.Index];
    if (task.Confirmed) {
      Health.recordFailure(task.Server.Id, now, it.Work.str());
      ++task.Stalls;
    }
    if (specOf(it).Gang)
      stopGang(it, "a member makes no progress");
    else
      wantStop(it, task, "it makes no progress");
  }
}

void PodPlanner::moveOffDraining(MonoTime now) {
  for (const auto &[life, tasks] : Placed) {
    const ServerSlot *slot = Servers.find(life.Id);
    if (!slot || !slot->Entry.Draining)
      continue;
    for (const TaskName &name : tasks) {
      TaskRecord &task = stepOf(name).Tasks[name.Index];
      const StepSpec &spec = specOf(name);
      const auto ran = now - task.PlacedAt;
      if (task.StopWanted || task.Percent <= 0 || !spec.Checkpoints)
        continue;
      const auto left = ran * (100 - task.Percent) / task.Percent;
      if (now + left < slot->LeavesAt)
        continue;
      if (spec.Gang)
        stopGang(name, "a member's server is leaving");
      else
        wantStop(name, task, "the server is leaving");
    }
  }
}

} // namespace citrongap
