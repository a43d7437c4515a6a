// One round: waiting steps in order of rank, each placed where it fits best;
// room is made for guaranteed work and kept free for large gangs.
#include "citrongap/workload/pod_planner.h"

#include <algorithm>
#include <tuple>

namespace citrongap {

/// The waiting tasks of one step: a whole gang, or tasks that start alone.
struct PodPlanner::Unit {
  WorkId Work;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;
  std::vector<std::uint32_t> Indices;
  bool Gang = false;
  std::uint32_t Rank = 0;
  std::int64_t AcceptedAtMs = 0;
  MonoTime WaitingSince;

  auto order() const {
    return std::tuple(Rank, AcceptedAtMs, Work, Occurrence, Step);
  }
};

/// Placed work that may be stopped for a unit of higher rank.
struct PodPlanner::Victim {
  TaskName Task;
  Resources Taken;
  /// Core-seconds that a stop throws away, the whole gang's for a member.
  double Waste = 0;
};

namespace {

/// Core-seconds that one accelerator-second counts as; from the price list.
constexpr double CoresPerGpu = 8;
/// Ranks: priority 0 within the guarantee, priority 0 beyond it, then the
/// other priorities.
constexpr std::uint32_t GuaranteedRank = 0;
constexpr std::uint32_t UrgentRank = 1;
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

std::uint32_t PodPlanner::rankOf(const PlannedWork &work) const {
  if (work.Spec.Priority > 0)
    return UrgentRank + work.Spec.Priority;
  const auto guaranteed = Guarantees.find(work.Spec.Account);
  const auto demand = UrgentDemand.find(work.Spec.Account);
  const bool within = guaranteed != Guarantees.end() &&
                      demand != UrgentDemand.end() &&
                      demand->second <= guaranteed->second;
  return within ? GuaranteedRank : UrgentRank;
}

void PodPlanner::countDemand() {
  UrgentDemand.clear();
  for (const auto &[id, work] : Works) {
    if (work.Spec.Priority > 0 || ended(work.Record.Phase))
      continue;
    std::int64_t gpus = 0;
    for (const Occurrence &occurrence : work.Record.Occurrences)
      for (std::size_t s = 0; s < occurrence.Steps.size(); ++s)
        if (!occurrence.Steps[s].done())
          gpus += work.Spec.Steps[s].Needs.GpuCount * work.Spec.Steps[s].Count;
    UrgentDemand[work.Spec.Account] += gpus;
  }
}

void PodPlanner::addDueOccurrences(PlannedWork &work, std::int64_t wallMs,
                                   MonoTime now) {
  auto &occurrences = work.Record.Occurrences;
  while (occurrences.size() < work.Spec.occurrences() &&
         wallMs >= work.Spec.dueAtMs(
                       static_cast<std::uint32_t>(occurrences.size()))) {
    Occurrence &added = occurrences.emplace_back();
    for (const StepSpec &it : work.Spec.Steps) {
      StepRecord &step = added.Steps.emplace_back();
      step.Tasks.resize(it.Count);
      for (TaskRecord &task : step.Tasks)
        task.WaitingSince = now;
    }
  }
}

std::vector<PodPlanner::Unit> PodPlanner::collectWaiting(MonoTime now,
                                                         std::int64_t wallMs) {
  for (auto &[id, work] : Works)
    if (!ended(work.Record.Phase))
      addDueOccurrences(work, wallMs, now);
  countDemand();
  std::vector<Unit> units;
  for (auto &[id, work] : Works) {
    if (ended(work.Record.Phase))
      continue;
    for (std::uint32_t k = 0; k < work.Record.Occurrences.size(); ++k)
      for (std::uint32_t s = 0; s < work.Spec.Steps.size(); ++s)
        collectStep(id, work, k, s, now, units);
  }
  std::sort(units.begin(), units.end(), [](const Unit &lhs, const Unit &rhs) {
    return lhs.order() < rhs.order();
  });
  return units;
}

void PodPlanner::collectStep(const WorkId &id, PlannedWork &work,
                             std::uint32_t k, std::uint32_t step, MonoTime now,
                             std::vector<Unit> &out) {
  const StepSpec &spec = work.Spec.Steps[step];
  Occurrence &occurrence = work.Record.Occurrences[k];
  const auto &tasks = occurrence.Steps[step].Tasks;
  Unit unit{id, k, step, {}, spec.Gang, 0, 0, now};
  for (std::uint32_t n = 0; n < tasks.size(); ++n) {
    if (tasks[n].Stage != TaskStage::Waiting)
      continue;
    unit.Indices.push_back(n);
    unit.WaitingSince = std::min(unit.WaitingSince, tasks[n].WaitingSince);
  }
  if (unit.Indices.empty() || (spec.Gang && unit.Indices.size() < tasks.size()))
    return;
  for (const std::uint32_t it : spec.After)
    if (!occurrence.Steps[it].done())
      return;
  unit.Rank = rankOf(work);
  unit.AcceptedAtMs = std::max(work.Spec.AcceptedAtMs, work.Spec.dueAtMs(k));
  out.push_back(std::move(unit));
}

std::vector<PackingServer> PodPlanner::packingView(MonoTime now) const {
  std::vector<PackingServer> view;
  for (const auto &[id, slot] : Servers.all()) {
    if (!slot.Reachable || slot.Entry.Draining || now < slot.NoStartsBefore)
      continue;
    PackingServer it;
    it.Id = id;
    it.Rack = slot.Entry.Rack;
    it.Labels = &slot.Entry.Labels;
    it.Service = &slot.Entry.Service;
    it.Capacity = slot.Entry.Capacity;
    it.Free = slot.Free;
    it.ProbeOnly = Health.quarantined(id);
    view.push_back(std::move(it));
  }
  return view;
}

void PodPlanner::countSameStep(const Unit &unit,
                               std::vector<PackingServer> &view) const {
  std::map<BackendServerId, std::uint32_t> counts;
  const auto &tasks = Works.at(unit.Work)
                          .Record.Occurrences[unit.Occurrence]
                          .Steps[unit.Step]
                          .Tasks;
  for (const TaskRecord &it : tasks)
    if (it.Stage == TaskStage::Placed)
      ++counts[it.Server.Id];
  for (PackingServer &it : view) {
    const auto found = counts.find(it.Id);
    it.SameStep = found == counts.end() ? 0 : found->second;
  }
}

PackingRequest PodPlanner::requestOf(const Unit &unit, bool nearOnly) const {
  const PlannedWork &work = Works.at(unit.Work);
  const StepSpec &spec = work.Spec.Steps[unit.Step];
  PackingRequest request;
  request.Service = work.Spec.Service;
  request.Each = spec.taken();
  request.Count =
      unit.Gang ? static_cast<std::uint32_t>(unit.Indices.size()) : 1;
  request.RequiredLabel = spec.RequiredLabel;
  request.MaxPerServer = spec.MaxPerServer;
  request.OneRack = nearOnly && unit.Gang && spec.OneRack;
  if (nearOnly)
    request.Rack = spec.DataRack;
  const auto &tasks =
      work.Record.Occurrences[unit.Occurrence].Steps[unit.Step].Tasks;
  for (const std::uint32_t it : unit.Indices)
    if (tasks[it].Failures > 0 || tasks[it].Run > 0)
      request.Avoid.insert(tasks[it].Server.Id);
  return request;
}

bool PodPlanner::place(const Unit &unit, std::vector<PackingServer> &view,
                       MonoTime now, PlannedRound &round) {
  const StepSpec &spec = Works.at(unit.Work).Spec.Steps[unit.Step];
  const PackingRequest near = requestOf(unit, true);
  const bool picky = near.OneRack || !near.Rack.empty();
  auto found = packTasks(view, near);
  if (!found && picky) {
    const auto breakEven = Millis(static_cast<std::int64_t>(
        static_cast<double>(spec.EstimateMs) * (Terms.FarFactor - 1)));
    const Millis patience =
        std::clamp(breakEven, Terms.MinNearWait, Terms.MaxNearWait);
    if (now - unit.WaitingSince >= patience || !fitsWhenEmpty(view, near))
      found = packTasks(view, requestOf(unit, false));
  }
  if (!found)
    return false;
  takeRoom(view, *found, near.Each);
  start(unit, view, *found, now, round);
  return true;
}

void PodPlanner::start(const Unit &unit, const std::vector<PackingServer> &view,
                       const std::vector<std::size_t> &at, MonoTime now,
                       PlannedRound &round) {
  PlannedWork &work = Works.at(unit.Work);
  StepRecord &step = work.Record.Occurrences[unit.Occurrence].Steps[unit.Step];
  const StepSpec &spec = work.Spec.Steps[unit.Step];
  std::uint32_t run = 0;
  for (const std::uint32_t it : unit.Indices)
    run = std::max(run, step.Tasks[it].Run);
  ++run;
  for (std::size_t n = 0; n < at.size(); ++n) {
    const std::uint32_t index = unit.Indices[n];
    ServerSlot &slot = *Servers.find(view[at[n]].Id);
    TaskRecord &task = step.Tasks[index];
    const std::string &checkpoint =
        unit.Gang ? step.Tasks.front().Checkpoint : task.Checkpoint;
    task.Stage = TaskStage::Placed;
    task.Run = run;
    task.Server = slot.Entry.Life;
    task.Confirmed = false;
    task.StopWanted = false;
    task.PlacedAt = now;
    task.ProgressAt = now;
    task.Percent = 0;
    slot.Free -= spec.taken();
    if (Health.quarantined(slot.Entry.Life.Id))
      Health.probeStarted(slot.Entry.Life.Id);
    const TaskName name{unit.Work, unit.Occurrence, unit.Step, index};
    Placed[task.Server].insert(name);
    round.Starts.push_back(
        {name, run, task.Server, work.Spec.Payload, checkpoint});
  }
  if (work.Record.Phase == WorkPhase::Queued)
    work.Record.Phase = WorkPhase::Running;
  Changed.insert(unit.Work);
}

std::map<BackendServerId, std::vector<PodPlanner::Victim>>
PodPlanner::victimsBelow(std::uint32_t rank, MonoTime now) const {
  std::map<BackendServerId, std::vector<Victim>> victims;
  for (const auto &[life, tasks] : Placed)
    for (const TaskName &name : tasks) {
      const PlannedWork &work = Works.at(name.Work);
      const TaskRecord &task = *taskOf(name);
      const std::uint32_t victimRank = rankOf(work);
      if (task.StopWanted || victimRank <= rank ||
          (rank == UrgentRank && victimRank == UrgentRank))
        continue;
      const StepSpec &spec = work.Spec.Steps[name.Step];
      double seconds = secondsBetween(task.PlacedAt, now);
      if (spec.Checkpoints)
        seconds = std::min(seconds, CheckpointLossSeconds);
      const double members = spec.Gang ? spec.Count : 1;
      victims[life.Id].push_back(
          {name, spec.taken(), seconds * members * coresOf(spec.Needs)});
    }
  for (auto &[id, list] : victims)
    std::sort(list.begin(), list.end(),
              [](const Victim &lhs, const Victim &rhs) {
                return lhs.Waste < rhs.Waste;
              });
  return victims;
}

bool PodPlanner::preempt(const Unit &unit, std::vector<PackingServer> &view,
                         MonoTime now) {
  // What is being stopped already counts as free for the highest ranks.
  std::vector<PackingServer> later = view;
  for (PackingServer &it : later)
    it.Free += Servers.find(it.Id)->Stopping;
  const auto keep = [&](const std::vector<std::size_t> &at,
                        const Resources &each) { takeRoom(view, at, each); };
  const PackingRequest near = requestOf(unit, true);
  if (const auto found = packTasks(later, near)) {
    keep(*found, near.Each);
    return true;
  }
  if (now - unit.WaitingSince < Terms.PreemptAfter)
    return false;
  auto victims = victimsBelow(unit.Rank, now);
  std::vector<PackingServer> possible = later;
  for (PackingServer &it : possible)
    for (const Victim &victim : victims[it.Id])
      it.Free += victim.Taken;
  PackingRequest request = near;
  auto found = packTasks(possible, request);
  if (!found) {
    request = requestOf(unit, false);
    found = packTasks(possible, request);
  }
  if (!found)
    return false;
  for (const std::size_t at : *found) {
    PackingServer &server = later[at];
    for (const Victim &victim : victims[server.Id]) {
      if (request.Each.fitsIn(server.Free))
        break;
      TaskRecord &record = stepOf(victim.Task).Tasks[victim.Task.Index];
      if (record.StopWanted)
        continue;
      server.Free += victim.Taken;
      if (specOf(victim.Task).Gang)
        stopGang(victim.Task, "room for guaranteed work");
      else
        wantStop(victim.Task, record, "room for guaranteed work");
    }
    server.Free -= request.Each;
  }
  keep(*found, request.Each);
  return true;
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
          now - task.PlacedAt > Terms.GangConfirmWithin;
      const Millis onePercent(spec.EstimateMs * 3 / 100);
      const bool stalls =
          task.Confirmed && task.Percent < 100 &&
          now - task.ProgressAt > std::max(Terms.StalledAfter, onePercent);
      if (unconfirmedGang || stalls)
        stalled.push_back(name);
    }
  for (const TaskName &it : stalled) {
    TaskRecord &task = stepOf(it).Tasks[it.Index];
    if (task.Confirmed)
      Health.failed(task.Server.Id, now);
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

PlannedRound PodPlanner::plan(MonoTime now, std::int64_t wallMs) {
  PlannedRound round;
  watchRuns(now);
  moveOffDraining(now);
  std::vector<Unit> units = collectWaiting(now, wallMs);
  std::vector<PackingServer> view = packingView(now);
  std::uint32_t reservations = 0;
  for (Unit &unit : units) {
    countSameStep(unit, view);
    bool placed = false;
    if (unit.Gang) {
      placed = place(unit, view, now, round);
    } else {
      Unit one = unit;
      placed = true;
      for (const std::uint32_t it : unit.Indices) {
        one.Indices = {it};
        if (!place(one, view, now, round)) {
          placed = false;
          break;
        }
        countSameStep(unit, view);
      }
    }
    if (placed)
      continue;
    if (unit.Rank <= UrgentRank) {
      preempt(unit, view, now);
    } else if (unit.Gang && reservations < Terms.MaxReservations &&
               now - unit.WaitingSince >= Terms.ReserveAfter) {
      std::vector<PackingServer> later = view;
      for (PackingServer &it : later)
        it.Free = it.Capacity;
      const PackingRequest near = requestOf(unit, true);
      if (const auto found = packTasks(later, near)) {
        takeRoom(view, *found, near.Each);
        ++reservations;
      }
    }
  }
  round.Stops = std::exchange(PendingStops, {});
  return round;
}

std::size_t PodPlanner::waitingWork(const QueueId &queue) const {
  return static_cast<std::size_t>(
      std::count_if(Works.begin(), Works.end(), [&](const auto &it) {
        return it.second.Spec.Queue == queue &&
               it.second.Record.Phase == WorkPhase::Queued;
      }));
}

} // namespace citrongap
