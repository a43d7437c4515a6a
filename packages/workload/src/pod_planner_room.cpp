// Preemption and reservations for urgent work, and stops of runs that stall.
#include "pod_planner_unit.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace citrongap {

namespace {

/// Assumed loss of a stop of a task with checkpoints, unless the time of a
/// restore is known.
constexpr double CheckpointLossSeconds = 1;

double secondsBetween(MonoTime from, MonoTime to) {
  return static_cast<double>((to - from).count()) / 1000;
}

} // namespace

std::vector<PodPlanner::PreemptionCandidate>
PodPlanner::preemptionCandidates(std::uint32_t rank,
                                 const std::vector<PackingServer> &view,
                                 MonoTime now) const {
  std::map<BackendServerId, std::size_t> indexOf;
  for (std::size_t at = 0; at < view.size(); ++at)
    indexOf[view[at].Id] = at;
  const double checkpointLoss =
      Options.RestoreTime
          ? static_cast<double>(Options.RestoreTime->count()) / 1000
          : CheckpointLossSeconds;
  std::map<TaskName, PreemptionCandidate> groups;
  for (const auto &[incarnation, tasks] : Placed)
    for (const TaskName &name : tasks) {
      const PlannedWork &work = Works.at(name.Work);
      const TaskRecord &task = *findTask(name);
      const auto server = indexOf.find(incarnation.Id);
      if (task.StopRequested ||
          rankOf(work) <= std::max(rank, UrgentRank - 1) ||
          (rank == UrgentRank && rankOf(work) == UrgentRank) ||
          server == indexOf.end())
        continue;
      const StepSpec &spec = work.Spec.Steps[name.Step];
      TaskName key = name;
      if (spec.Gang)
        key.Index = 0;
      double seconds = secondsBetween(task.PlacedAt, now);
      if (spec.Checkpoints)
        seconds = std::min(seconds, checkpointLoss);
      PreemptionCandidate &group = groups[key];
      group.Member = name;
      group.Group.Parts.push_back({server->second, spec.allocation()});
      // Work done until the stop takes effect is lost as well.
      seconds += static_cast<double>(Options.MaxStopTime.count()) / 1000;
      group.Group.LostCoreSeconds += seconds * coresOf(spec.Requested);
    }
  std::vector<PreemptionCandidate> out;
  out.reserve(groups.size());
  for (auto &[key, it] : groups)
    out.push_back(std::move(it));
  return out;
}

double PodPlanner::estimatedCoreSeconds(const Unit &unit) const {
  const StepSpec &spec = Works.at(unit.Work).Spec.Steps[unit.Step];
  return static_cast<double>(unit.Indices.size()) * coresOf(spec.Requested) *
         static_cast<double>(spec.EstimateMs) / 1000;
}

bool PodPlanner::preempt(const Unit &unit, std::vector<PackingServer> &view,
                         MonoTime now) {
  // Resources of runs that are being stopped count as free for urgent ranks.
  std::vector<PackingServer> later = view;
  for (PackingServer &it : later)
    it.Free += Servers.find(it.Id)->Stopping;
  const PackingRequest local = requestOf(unit, view, true);
  if (const auto found = packTasks(later, local)) {
    allocate(view, *found, local.PerTask);
    return true;
  }
  auto known = RoundCandidates.find(unit.Rank);
  if (known == RoundCandidates.end())
    known = RoundCandidates
                .emplace(unit.Rank, preemptionCandidates(unit.Rank, later, now))
                .first;
  const std::vector<PreemptionCandidate> &candidates = known->second;
  std::vector<VictimGroup> groups;
  groups.reserve(candidates.size());
  for (const PreemptionCandidate &it : candidates)
    groups.push_back(it.Group);
  const Millis maxWait = unit.Rank == GuaranteedRank
                             ? Options.GuaranteedPreemptDelay
                             : Options.UrgentPreemptDelay;
  const bool mayWait = now - unit.WaitingSince < maxWait;
  auto preemption = planPreemption(later, groups, local);
  if (!preemption && !mayWait)
    preemption = planPreemption(later, groups, requestOf(unit, view, false));
  if (!preemption ||
      (mayWait && preemption->LostCoreSeconds > Options.MaxImmediateLossShare *
                                                    estimatedCoreSeconds(unit)))
    return false;
  for (const std::size_t it : preemption->Victims) {
    const TaskName &name = candidates[it].Member;
    if (specOf(name).Gang)
      stopGang(name, "room for urgent work", LossCause::Preemption);
    else
      requestStop(name, stepOf(name).Tasks[name.Index], "room for urgent work",
                  LossCause::Preemption);
  }
  RoundCandidates.clear();
  allocate(view, preemption->Servers, local.PerTask);
  return true;
}

void PodPlanner::preemptOnce(const Unit &unit, std::vector<PackingServer> &view,
                             MonoTime now) {
  const PlannedWork &work = Works.at(unit.Work);
  const bool comesAgain = work.Spec.Repetitions > 0 &&
                          !work.Record.Occurrences[unit.Occurrence].begun();
  const std::pair step(unit.Work, unit.Step);
  if (comesAgain && RoundWithoutRoom.contains(step))
    return;
  if (!preempt(unit, view, now) && comesAgain)
    RoundWithoutRoom.insert(step);
}

void PodPlanner::reserveForUrgent(std::vector<PackingServer> &view,
                                  MonoTime now) const {
  std::map<std::string_view, std::vector<std::size_t>> services;
  for (std::size_t at = 0; at < view.size(); ++at)
    if (!view[at].ProbeEarly)
      services[*view[at].Service].push_back(at);
  for (const auto &[service, servers] : services)
    reserveForUrgent(view, service, servers, now);
}

void PodPlanner::reserveForUrgent(std::vector<PackingServer> &view,
                                  std::string_view service,
                                  const std::vector<std::size_t> &servers,
                                  MonoTime now) const {
  // Servers that are fast enough for urgent work first. Among these, empty
  // ones, in the racks with the most free accelerators, so that gangs fit. Then
  // the least used servers, which become empty once reserved.
  std::map<RackId, std::int64_t> freeInRack;
  std::int64_t capacity = 0;
  for (const std::size_t at : servers) {
    freeInRack[view[at].Rack] += view[at].Free.GpuCount;
    capacity += view[at].Capacity.GpuCount;
  }
  using Key =
      std::tuple<bool, std::int64_t, std::int64_t, const RackId &, std::size_t>;
  std::vector<Key> order;
  order.reserve(servers.size());
  for (const std::size_t at : servers) {
    const PackingServer &it = view[at];
    const auto rack = freeInRack.find(it.Rack);
    order.emplace_back(it.Speed.value_or(0) < UrgentSpeed,
                       it.Capacity.GpuCount - it.Free.GpuCount, -rack->second,
                       rack->first, at);
  }
  const auto serversOf = [&](double share) {
    return std::min(
        order.size(),
        static_cast<std::size_t>(static_cast<double>(order.size()) * share));
  };
  const std::size_t exclusive =
      serversOf(expectedArrivalShare(service, capacity, now));
  const std::size_t all =
      std::max(exclusive, serversOf(Options.UrgentReserveShare));
  std::vector<const Key *> first;
  first.reserve(order.size());
  for (const Key &it : order)
    first.push_back(&it);
  std::partial_sort(
      first.begin(), first.begin() + static_cast<std::ptrdiff_t>(all),
      first.end(), [](const Key *lhs, const Key *rhs) { return *lhs < *rhs; });
  for (std::size_t n = 0; n < all; ++n)
    view[std::get<std::size_t>(*first[n])].ReservedFor =
        n < exclusive ? AccessLevel::Urgent : AccessLevel::LongWaiting;
}

bool PodPlanner::needsReservedServers(const Unit &unit,
                                      const std::vector<PackingServer> &view) {
  // Recent failures and speeds don't count: they pass with time.
  if (unit.Gang && unit.Indices.size() > 1) {
    PackingRequest request = requestOf(unit, view, false);
    request.ExcludeRecentFailures = false;
    request.RequireRecentSuccess = false;
    request.Speeds = {};
    return !wouldFitEmpty(view, request);
  }
  return std::none_of(view.begin(), view.end(), [&](const PackingServer &it) {
    return it.ReservedFor <= unit.Access && !it.ProbeEarly &&
           couldHoldTask(it, unit);
  });
}

bool PodPlanner::needsQuarantinedServers(
    const Unit &unit, const std::vector<PackingServer> &view) const {
  return std::none_of(view.begin(), view.end(), [&](const PackingServer &it) {
    return !it.ProbeOnly && couldHoldTask(it, unit);
  });
}

bool PodPlanner::couldHoldTask(const PackingServer &server,
                               const Unit &unit) const {
  const PlannedWork &work = Works.at(unit.Work);
  const StepSpec &spec = work.Spec.Steps[unit.Step];
  return *server.Service == work.Spec.Service &&
         hasLabel(server, spec.RequiredLabel) &&
         spec.allocation().fitsIn(server.Capacity) &&
         (!spec.MaxPerServer || server.TasksOfStep < spec.MaxPerServer);
}

double PodPlanner::expectedArrivalShare(std::string_view service,
                                        std::int64_t capacity,
                                        MonoTime now) const {
  std::int64_t arrived = 0;
  for (const UrgentArrival &it : UrgentArrivals)
    if (now - it.At < Options.ArrivalWindow && it.Service == service)
      arrived += it.Gpus;
  if (capacity == 0)
    return 0;
  const double next = static_cast<double>(arrived) *
                      static_cast<double>(Options.ReserveHorizon.count()) /
                      static_cast<double>(Options.ArrivalWindow.count());
  return std::min(next / static_cast<double>(capacity),
                  Options.MaxArrivalReserveShare);
}

bool PodPlanner::isStalled(const TaskRecord &task, const StepSpec &spec,
                           MonoTime now) const {
  if (!task.Confirmed || task.Percent >= 100)
    return false;
  // Estimates are wrong by several times: a task that was stopped as stalled
  // before may merely run longer than estimated.
  constexpr std::uint32_t MaxDoublings = 8;
  const std::uint32_t times = 1U << std::min(task.StallStops, MaxDoublings);
  const Millis onePercent(spec.EstimateMs * 3 / 100);
  // Silence of a server that is cut off tells nothing of its runs.
  const ServerSlot *slot = Servers.find(task.Server.Id);
  const bool reports = slot && slot->Reachable;
  return (reports && now - task.ProgressAt >
                         std::max(Options.StallTimeout, onePercent) * times) ||
         task.ListedAt - task.ProgressAt >
             std::max(Options.ReportedStallTimeout, onePercent) * times;
}

void PodPlanner::stopStalledRuns(MonoTime now) {
  std::vector<TaskName> stalled;
  for (const auto &[incarnation, tasks] : Placed)
    for (const TaskName &name : tasks) {
      const TaskRecord &task = *findTask(name);
      const StepSpec &spec = specOf(name);
      if (task.StopRequested)
        continue;
      const bool unconfirmedGang =
          spec.Gang && !task.Confirmed &&
          now - task.PlacedAt > Options.GangConfirmTimeout;
      if (unconfirmedGang || isStalled(task, spec, now))
        stalled.push_back(name);
    }
  for (const TaskName &it : stalled) {
    TaskRecord &task = stepOf(it).Tasks[it.Index];
    const LossCause cause =
        task.Confirmed ? LossCause::Stall : LossCause::UncertainStart;
    if (task.Confirmed) {
      Health.recordFailure(task.Server.Id, now, it.Work.str());
      ++task.StallStops;
    }
    if (specOf(it).Gang)
      stopGang(it, "a member makes no progress", cause);
    else
      requestStop(it, task, "it makes no progress", cause);
  }
}

} // namespace citrongap
