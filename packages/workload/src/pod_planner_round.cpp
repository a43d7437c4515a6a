// One scheduling round: waiting steps in order of rank, each placed by best
// fit. Urgent work may preempt, and servers are reserved for waiting gangs.
#include "pod_planner_unit.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace citrongap {

bool PodPlanner::anyPlaced(PlannedWork &work) const {
  std::optional<bool> &known = work.InRound.AnyPlaced;
  if (!known)
    known = work.Record.anyPlaced();
  return *known;
}

std::vector<PackingServer> PodPlanner::packingView(MonoTime now) const {
  std::vector<PackingServer> view;
  for (const auto &[id, slot] : Servers.all()) {
    if (!slot.Reachable || !slot.Listed || slot.Entry.Draining ||
        now < slot.NoStartsBefore || Evacuated.contains(slot.Entry.DataCentre))
      continue;
    const bool quarantined = Health.quarantined(id);
    const bool early = quarantined && !Health.probeDue(id, now);
    if (early && !Health.restedFor(id, Options.MaxIdleTime, now))
      continue;
    PackingServer it;
    it.Id = id;
    it.Rack = slot.Entry.Rack;
    it.Labels = &slot.Entry.Labels;
    it.Service = &slot.Entry.Service;
    it.Capacity = slot.Entry.Capacity;
    it.Free = slot.Free;
    it.ProbeOnly = quarantined;
    it.ProbeEarly = early;
    it.ProbeOverdue = quarantined && Health.probeOverdue(id, now);
    it.FailedRecently = Health.failedRecently(id, now);
    it.SucceededRecently = Health.succeededRecently(id, now);
    if (SpeedsInUse && Speeds.rated(slot.Entry.Machine))
      it.Speed = Speeds.speedOf(slot.Entry.Machine);
    view.push_back(std::move(it));
  }
  return view;
}

const StepSpec &PodPlanner::specOf(const Unit &unit) const {
  return Works.at(unit.Work).Spec.Steps[unit.Step];
}

void PodPlanner::countTasksOfStep(const Unit &unit,
                                  std::vector<PackingServer> &view) const {
  // Only limits per server depend on the counts.
  if (specOf(unit).MaxPerServer == 0)
    return;
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
    it.TasksOfStep = found == counts.end() ? 0 : found->second;
  }
}

std::uint32_t PodPlanner::failedAttempts(const Unit &unit) const {
  const StepRecord &step =
      Works.at(unit.Work).Record.Occurrences[unit.Occurrence].Steps[unit.Step];
  if (unit.Gang)
    return step.GangFailures;
  std::uint32_t failures = 0;
  for (const std::uint32_t it : unit.Indices)
    failures = std::max(failures, step.Tasks[it].Failures);
  return failures;
}

PackingRequest PodPlanner::requestOf(const Unit &unit,
                                     const std::vector<PackingServer> &view,
                                     bool requireLocality) {
  PlannedWork &work = Works.at(unit.Work);
  const StepSpec &spec = work.Spec.Steps[unit.Step];
  PackingRequest request;
  request.Service = work.Spec.Service;
  request.PerTask = spec.allocation();
  request.Count =
      unit.Gang ? static_cast<std::uint32_t>(unit.Indices.size()) : 1;
  request.RequiredLabel = spec.RequiredLabel;
  request.MaxPerServer = spec.MaxPerServer;
  request.OneRack = requireLocality && unit.Gang && spec.OneRack;
  if (requireLocality)
    request.Rack = spec.DataRack;
  request.Access = unit.Access;
  // Its attempts are not limited, so a failed probe costs it nothing but time.
  request.ProbesEarly =
      work.Spec.LongRunning && needsQuarantinedServers(unit, view);
  if (unit.WaitsForSpeed)
    request.Speeds.Min = unit.NeededSpeed;
  const auto &tasks =
      work.Record.Occurrences[unit.Occurrence].Steps[unit.Step].Tasks;
  MonoTime since = unit.CollectedAt;
  for (const std::uint32_t it : unit.Indices) {
    since = std::min(since, tasks[it].WaitingSince);
    if (tasks[it].Failures > 0 || tasks[it].Run > 0)
      request.AvoidServers.insert(tasks[it].Server.Id);
  }
  const std::uint32_t failures = failedAttempts(unit);
  const bool last =
      !work.Spec.LongRunning && failures + 1 >= work.Spec.MaxAttempts;
  const Millis maxWait = anyPlaced(work) ? Options.LastAttemptWait
                                         : Options.IdleJobLastAttemptWait;
  const bool mayWait = unit.CollectedAt - since < maxWait;
  request.ExcludeRecentFailures = last;
  request.RequireRecentSuccess = last && failures > 0 && mayWait;
  if (last && !mayWait)
    request.ExcludeRecentFailures = wouldFitEmpty(view, request);
  return request;
}

Millis PodPlanner::localityWait(const Unit &unit) const {
  const PlannedWork &work = Works.at(unit.Work);
  // Work that lasts has no run time to lose elsewhere, only a slower start.
  if (work.Spec.LongRunning)
    return Options.MaxIdleTime;
  const Millis expected = expectedRunTime(work, work.Spec.Steps[unit.Step]);
  const auto breakEven = Millis(static_cast<std::int64_t>(
      static_cast<double>(expected.count()) * (Options.RemoteSlowdown - 1)));
  return std::clamp(breakEven, Options.MinLocalityWait,
                    Options.MaxLocalityWait);
}

bool PodPlanner::place(const Unit &unit, std::vector<PackingServer> &view,
                       MonoTime now, PlannedRound &round) {
  const PackingRequest local = requestOf(unit, view, true);
  const bool hasLocality = local.OneRack || !local.Rack.empty();
  auto found = tryPackBySpeed(unit, view, local);
  const PackingRequest anywhere =
      hasLocality ? requestOf(unit, view, false) : local;
  const bool lasting = Works.at(unit.Work).Spec.LongRunning;
  const auto idle = found ? std::nullopt : idleSince(unit);
  const bool overdue = idle && now - *idle >= Options.MaxIdleTime &&
                       hasRoomTwice(view, anywhere, lasting);
  if (overdue)
    found = packOverdue(view, local, lasting);
  const bool isLocal = found.has_value();
  if (!found && hasLocality &&
      (now - unit.WaitingSince >= localityWait(unit) ||
       !wouldFitEmpty(view, local)))
    found = tryPackBySpeed(unit, view, anywhere);
  if (!found && overdue && hasLocality &&
      now - *idle >= Options.MaxIdleTimeNearData)
    found = packOverdue(view, anywhere, lasting);
  if (!found)
    return false;
  startAt(unit, *found, isLocal, view, now, round);
  return true;
}

std::optional<std::vector<std::size_t>>
PodPlanner::tryPack(std::vector<PackingServer> &view,
                    const PackingRequest &request) {
  if (RoundOutcomes.find(request) == false)
    return std::nullopt;
  auto found = packTasks(view, request);
  // What fits now takes room from the next request.
  if (!found)
    RoundOutcomes.add(request, false);
  return found;
}

bool PodPlanner::wouldFitEmpty(const std::vector<PackingServer> &view,
                               const PackingRequest &request) {
  const auto known = EmptyOutcomes.find(request);
  if (known)
    return *known;
  const bool fits = fitsWhenEmpty(view, request);
  EmptyOutcomes.add(request, fits);
  return fits;
}

void PodPlanner::startAt(const Unit &unit, const std::vector<std::size_t> &at,
                         bool local, std::vector<PackingServer> &view,
                         MonoTime now, PlannedRound &round) {
  allocate(view, at, specOf(unit).allocation());
  start(unit, view, at, local, now, round);
  for (const std::size_t it : at)
    if (view[it].ProbeOnly) {
      view[it].Free = {};
      view[it].Kept = {};
    }
}

std::vector<std::uint32_t>
PodPlanner::placeAlike(const Unit &unit, std::vector<PackingServer> &view,
                       MonoTime now, PlannedRound &round) {
  std::vector<std::uint32_t> left = unit.Indices;
  for (const SpeedRange &speeds : unit.Speeds)
    while (!left.empty()) {
      Unit alike = unit;
      alike.Indices = {left.front()};
      PackingRequest request = requestOf(alike, view, true);
      request.Speeds = speeds;
      if (RoundOutcomes.find(request) == false)
        break;
      request.Count = static_cast<std::uint32_t>(left.size());
      const std::vector<std::size_t> found = packAsMany(view, request);
      if (found.empty())
        break;
      const auto end = left.begin() + static_cast<std::ptrdiff_t>(found.size());
      alike.Indices.assign(left.begin(), end);
      left.erase(left.begin(), end);
      startAt(alike, found, true, view, now, round);
    }
  return left;
}

bool PodPlanner::placeEach(const Unit &unit, std::vector<PackingServer> &view,
                           MonoTime now, PlannedRound &round) {
  const StepRecord &step =
      Works.at(unit.Work).Record.Occurrences[unit.Occurrence].Steps[unit.Step];
  const bool alike =
      specOf(unit).MaxPerServer == 0 &&
      std::all_of(unit.Indices.begin(), unit.Indices.end(),
                  [&](std::uint32_t it) { return step.Tasks[it].Run == 0; });
  Unit one = unit;
  bool all = true;
  for (const std::uint32_t it :
       alike ? placeAlike(unit, view, now, round) : unit.Indices) {
    one.Indices = {it};
    const bool placed = place(one, view, now, round);
    all = all && placed;
    // Tasks without failures have the same request; the next would not fit
    // either.
    if (!placed && failedAttempts(one) == 0)
      break;
    countTasksOfStep(unit, view);
  }
  return all;
}

void PodPlanner::start(const Unit &unit, const std::vector<PackingServer> &view,
                       const std::vector<std::size_t> &at, bool local,
                       MonoTime now, PlannedRound &round) {
  PlannedWork &work = Works.at(unit.Work);
  StepRecord &step = work.Record.Occurrences[unit.Occurrence].Steps[unit.Step];
  const StepSpec &spec = work.Spec.Steps[unit.Step];
  std::uint32_t run = 0;
  for (const std::uint32_t it : unit.Indices)
    run = std::max(run, step.Tasks[it].Run);
  ++run;
  if (auto &most = work.InRound.FirstStarts;
      run == 1 && most && *most != std::numeric_limits<std::size_t>::max())
    *most -= std::min(*most, at.size());
  work.InRound.AnyPlaced = true;
  for (std::size_t n = 0; n < at.size(); ++n) {
    const std::uint32_t index = unit.Indices[n];
    ServerSlot &slot = *Servers.find(view[at[n]].Id);
    TaskRecord &task = step.Tasks[index];
    const std::string &checkpoint =
        unit.Gang ? step.Tasks.front().Checkpoint : task.Checkpoint;
    task.Stage = TaskStage::Placed;
    task.Run = run;
    task.Server = slot.Entry.Incarnation;
    task.Confirmed = false;
    task.StopRequested = false;
    task.PlacedAt = now;
    task.ProgressAt = now;
    task.Percent = 0;
    task.SavedPercent = -1;
    task.ListedCheckpoint = std::hash<std::string>()(checkpoint);
    task.PaceFromPercent = -1;
    task.PaceMeasured = false;
    slot.Free -= spec.allocation();
    task.Probe = Health.quarantined(slot.Entry.Incarnation.Id);
    if (task.Probe)
      Health.startProbe(slot.Entry.Incarnation.Id, now);
    const TaskName name{unit.Work, unit.Occurrence, unit.Step, index};
    Placed[task.Server].insert(name);
    expectRelease(name, now);
    round.Starts.push_back({name, run, task.Server, work.Spec.Payload,
                            checkpoint, unit.Rank, now - task.WaitingSince,
                            local, unit.ExpectedLate,
                            view[at[n]].Speed.value_or(0), unit.NeededSpeed,
                            speedWaitOf(unit, now), task.Probe});
  }
  Changed.insert(unit.Work);
}

void PodPlanner::forgetRound() {
  RoundOutcomes = {};
  EmptyOutcomes = {};
  OverdueOutcomes = {};
  RoundCandidates.clear();
  RoundWithoutRoom.clear();
}

PlannedRound PodPlanner::plan(MonoTime now, std::int64_t wallMs) {
  PlannedRound round;
  for (const auto &[id, recordFrom] : UnrecordedBegins)
    if (now >= recordFrom)
      Changed.insert(id);
  std::erase_if(UrgentArrivals, [&](const auto &it) {
    return now - it.At >= Options.ArrivalWindow;
  });
  completeDoneWork(wallMs);
  forgetRound();
  updateQuietServices(now);
  if (now - SweptAt >= Options.SweepInterval) {
    SweptAt = now;
    stopStalledRuns(now);
    evictFromDraining(now);
    std::erase_if(SpeedWaits, [this](const auto &it) {
      const PlannedWork *work = find(std::get<WorkId>(it.first));
      return !work || ended(work->Record.Phase);
    });
  }
  std::vector<Unit> units = collectWaiting(now, wallMs);
  std::vector<PackingServer> view = packingView(now);
  std::uint32_t reservations = 0;
  bool reserved = false;
  for (Unit &unit : units) {
    if (unit.Rank > UrgentRank && !std::exchange(reserved, true)) {
      reserveForUrgent(view, now);
      EmptyOutcomes.forgetFits();
    }
    limitToStateRoom(unit);
    if (unit.Indices.empty())
      continue;
    countTasksOfStep(unit, view);
    chooseSpeeds(unit, view, now);
    if (unit.Rank > UrgentRank && needsReservedServers(unit, view))
      unit.Access = AccessLevel::Urgent;
    if (unit.Gang ? place(unit, view, now, round)
                  : placeEach(unit, view, now, round)) {
      SpeedWaits.erase(unit.step());
      continue;
    }
    noteSpeedWait(unit, now);
    if (unit.Rank <= UrgentRank) {
      preemptOnce(unit, view, now);
    } else if (unit.Gang && reservations < Options.MaxGangReservations &&
               now - unit.WaitingSince >= Options.GangReserveDelay) {
      const PackingRequest local = requestOf(unit, view, true);
      if (const auto found =
              findEarliestFit(view, expectedReleases(now), local, now)) {
        keep(view, found->Servers, local.PerTask);
        ++reservations;
      }
    }
  }
  reviewIdleWork(units, view, now);
  round.Stops = std::exchange(PendingStops, {});
  return round;
}

} // namespace citrongap
