// Take-over and planning rounds of the owner.
#include "citrongap/control/pod_controller.h"

#include "citrongap/workload/state_room.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace citrongap {

namespace {

/// All owners share one producer name, so that a newer epoch fences the others.
constexpr const char *OwnerProducer = "owner";
/// Batches simultaneous events into one round; a third of an append's time.
constexpr Millis RoundDelay{2};
/// Several times the longest lease, after which the record is of no use.
constexpr Millis LeaseEndRetention{60000};
/// Most jobs that one clean-up removes: the next round waits for their records.
constexpr std::size_t MaxDeletedJobs = 5000;

// A job's records have keys of at most 64 bytes.
static_assert(MaxEncodedBytes + 64 < StoreLimits::RecordBytes);

/// Splits the records, in their order, into parts of at most `maxBytes`; a
/// larger record is a part of its own.
std::vector<std::vector<KeyedRecord>>
splitForAppends(std::vector<KeyedRecord> records, std::size_t maxBytes) {
  std::vector<std::vector<KeyedRecord>> parts;
  std::size_t bytes = 0;
  for (KeyedRecord &it : records) {
    bytes += storedBytes(it);
    if (parts.empty() || bytes > maxBytes) {
      parts.emplace_back();
      bytes = storedBytes(it);
    }
    parts.back().push_back(std::move(it));
  }
  return parts;
}

/// The state without its occurrences.
WorkRecord headOf(const WorkRecord &record) {
  WorkRecord head;
  head.Phase = record.Phase;
  head.EndedAtMs = record.EndedAtMs;
  return head;
}

} // namespace

PodController::PodController(EventLoop &loop, StorePort &store,
                             FleetPort &fleet, WorkRegistry &registry,
                             TopicReader &jobsReader, EventLog &log,
                             ControlMetrics &metrics, TopicId jobs,
                             TopicId servers,
                             ServerEntryParser parseServerEntry,
                             ControllerOptions options)
    : Loop(loop), Store(store), Fleet(fleet), Registry(registry),
      JobsReader(jobsReader), Log(log), Metrics(metrics),
      JobsTopic(std::move(jobs)), ParseServerEntry(std::move(parseServerEntry)),
      Options(options),
      ServersReader(
          loop, store, std::move(servers),
          TopicReaderOptions{.Wait = Millis(0),
                             .ReadInterval = options.ServerListInterval},
          [this](const KeyedRecord &it) { onServerRecord(it); },
          [this] {
            onServersRead();
            scheduleRound();
          }),
      Waits(log) {
  ServersReader.OnLoaded = [this](const std::set<std::string> &keys) {
    onServersLoaded(keys);
  };
  ServersReader.OnHealth = [this](bool works, const std::string &reason) {
    if (!works) {
      ReportedAfter.clear();
      ServersReadFailed = true;
    }
    Log("store", works ? "regained" : "lost",
        "topic=servers list_age_ms={} why=\"{}\"", listAge().count(), reason);
  };
}

PodController::~PodController() = default;

void PodController::takeOver(Epoch epoch) {
  Token = epoch;
  TookOverAt = monoNow();
  Planner = std::make_unique<PodPlanner>(Options.Planner);
  Planner->setGuarantees(Guarantees);
  Planner->setEvacuated(Evacuated);
  // The next epoch is that of this entry VM's next ownership.
  AppenderOptions appending = Options.Appender;
  appending.EndsWhenUnknown = true;
  Appender = std::make_unique<BatchAppender>(Loop, Store, JobsTopic,
                                             OwnerProducer, epoch, appending);
  Appender->OnFenced = [this] {
    stepDown("a newer epoch has written, or an append is of unknown outcome");
    if (OnFenced)
      OnFenced();
  };
  Appender->OnRetry = [this](const std::string &why) {
    Log("owner", "append_retry", "epoch={} why=\"{}\"", Token.value(), why);
  };
  Log("owner", "taking_over", "epoch={}", epoch.value());
  ServersReader.start();
  Appender->append({}, [this](AppendOutcome it) { onFenceWritten(it); });
}

void PodController::onFenceWritten(AppendOutcome outcome) {
  if (outcome != AppendOutcome::Appended || !Planner)
    return;
  ReplayUpTo = Appender->end();
  JobsReader.readNow();
  onJobsReadUpTo(JobsReader.nextOffset());
}

void PodController::onJobsReadUpTo(LogOffset next) {
  std::erase_if(UnreadEnds, [this](const WorkId &id) {
    const RegistryEntry *entry = Registry.find(id);
    return !entry || ended(entry->Phase);
  });
  if (!Planner || Active || !ReplayUpTo || !JobsReader.loaded() ||
      next < *ReplayUpTo)
    return;
  activate();
}

void PodController::activate() {
  Active = true;
  ++Metrics.TakeOvers;
  for (const auto &[id, entry] : Registry.all())
    loadJob(id);
  for (const ServerIncarnation &it : Planner->incarnationsWithRuns())
    readLeaseEnd(it);
  restoreSpeeds();
  Log("owner", "took_over", "epoch={} jobs={} servers={} read_to={}",
      Token.value(), Registry.all().size(), ListedServers.size(),
      ReplayUpTo->value());
  for (const auto &[id, entry] : ListedServers)
    addLink(entry);
  TickTimer = Loop.every(Options.TickInterval, [this] { runRound(); });
  CleanupTimer = Loop.every(Options.EndedJobCleanupInterval,
                            [this] { deleteEndedJobs(); });
  WaitsTimer =
      Loop.every(Options.WaitReviewInterval, [this] { reviewWaits(); });
  scheduleRound();
}

void PodController::stepDown(const char *reason) {
  if (!Planner)
    return;
  Log("owner", "stepped_down", "epoch={} why=\"{}\"", Token.value(), reason);
  Active = false;
  AppendInFlight = false;
  ReplayUpTo.reset();
  TickTimer.cancel();
  CleanupTimer.cancel();
  clearWaits();
  ServersReader.stop();
  for (auto &[incarnation, link] : Links) {
    link->setActive(false);
    RetiredLinks.push_back(std::move(link));
  }
  Links.clear();
  ListedServers.clear();
  UnnamedEntries.clear();
  Claims.clear();
  MissingSince.clear();
  ReportedAfter.clear();
  LastReadAt.clear();
  LatestIncarnations.clear();
  EndedIncarnations.clear();
  ReplacedByEarlier.clear();
  LateLeaseEnds.clear();
  LeasesEndFrom.clear();
  UnlistedLeaseEnds.clear();
  StartsOfDroppedLinks.clear();
  DroppedLinks.clear();
  UnreadEnds.clear();
  LeftOut.clear();
  UnrecordedLeftOutEnds.clear();
  AppliedRunEnds.clear();
  Metrics.Speeds.Machines.clear();
  Metrics.IdleSteps.clear();
  IdleReasons.clear();
  // Callbacks of the appender and the links may be on the stack.
  RoundTimer = Loop.at(monoNow(), [this] { runRound(); });
  if (Appender) {
    Appender->OnFenced = nullptr;
    Appender->OnRetry = nullptr;
  }
  RetiredPlanner = std::move(Planner);
  Metrics.QuarantinedServers = 0;
  RetiredAppender = std::move(Appender);
}

void PodController::setGuarantees(
    std::map<ClientAccountId, std::int64_t> gpus) {
  Guarantees = std::move(gpus);
  if (Planner)
    Planner->setGuarantees(Guarantees);
  scheduleRound();
}

void PodController::setEvacuated(std::set<DataCentreId> dataCentres) {
  Evacuated = std::move(dataCentres);
  if (Planner)
    Planner->setEvacuated(Evacuated);
  scheduleRound();
}

void PodController::loadJob(const WorkId &id) {
  const RegistryEntry *entry = Registry.find(id);
  // An unfound job is loaded once its submission is read.
  if (!entry || entry->Unfound || UnreadEnds.contains(id))
    return;
  if (!Planner->find(id)) {
    WorkRecord record;
    if (!entry->State.empty()) {
      auto read = decodeWorkRecord(entry->State);
      if (auto *known = std::get_if<WorkRecord>(&read)) {
        record = std::move(*known);
      } else {
        leaveOut(id, std::get<Findings>(read).text());
        return;
      }
    }
    if (ended(record.Phase) && !record.anyPlaced())
      return;
    const auto ends = storedRunEnds(id);
    if (!ends) {
      leaveOut(id, "a stored end of its runs can't be read");
      return;
    }
    const Millis age(std::max<std::int64_t>(
        toMillis(wallNow()) - entry->Spec->AcceptedAtMs, 0));
    if (!NamedServices.empty())
      addServices({entry->Spec->Service});
    Planner->addWork(*entry->Spec, std::move(record), monoNow(), age);
    if (!Planner->find(id)) {
      leaveOut(id, "its state has other steps or tasks");
      return;
    }
    LeftOut.erase(id);
    applyRunEnds(*ends);
    // Accepted by a build that had no such bound.
    if (!canRunWithinState(*entry->Spec)) {
      Log("owner", "job_too_large", "request={} state_bytes={}", id.str(),
          unstartedBytes(*entry->Spec));
      Planner->fail(id, toMillis(wallNow()));
    }
  }
  if (entry->CancelRequested)
    Planner->cancel(id, toMillis(wallNow()));
}

void PodController::onJobChange(const WorkId &id) {
  if (!Active)
    return;
  loadJob(id);
  // Its runs are stopped once they are listed, if it was cancelled.
  if (LeftOut.contains(id))
    for (const auto &[incarnation, link] : Links)
      link->requestLists();
  scheduleRound();
}

void PodController::scheduleRound() {
  if (!Active || RoundTimer.pending())
    return;
  RoundTimer = Loop.at(monoNow() + RoundDelay, [this] {
    RoundTimer.cancel();
    runRound();
  });
}

void PodController::runRound() {
  RetiredLinks.clear();
  RetiredPlanner.reset();
  RetiredAppender.reset();
  if (!Active || AppendInFlight)
    return;
  reviewClaims();
  dropMissingServers();
  if (monoNow() >= NextUnlistedCheck) {
    NextUnlistedCheck = monoNow() + Options.TickInterval;
    releaseUnlistedRuns();
  }
  PlannedRound round = Planner->plan(monoNow(), toMillis(wallNow()));
  for (const StopOrder &it : round.Stops) {
    ++Metrics.StopsByReason[it.Reason];
    Waits.noteStop(it, monoNow());
    if (const auto link = Links.find(it.Server); link != Links.end())
      link->second->stop(it);
  }
  round.Stops.clear();
  reportSpeeds();
  reportIdleWork();
  Metrics.Losses = Planner->losses();
  Metrics.QuarantinedServers = Planner->quarantinedServers();
  recordRound(std::move(round));
}

void PodController::recordRound(PlannedRound round) {
  std::map<ServerIncarnation, std::uint64_t> received;
  for (const auto &[incarnation, link] : Links)
    if (link->hasUnrecordedEnds())
      received[incarnation] = link->receivedUpTo();
  std::vector<KeyedRecord> records;
  std::vector<ServerIncarnation> renewable;
  recordLeaseEnds(records, renewable);
  for (const WorkId &id : Planner->takeChangedWork()) {
    const PlannedWork &work = *Planner->find(id);
    const bool isOver = ended(work.Record.Phase) && !work.Record.anyPlaced();
    records.push_back({stateKey(id), isOver ? encode(headOf(work.Record))
                                            : encode(work.Record)});
    if (isOver)
      Log("job", describe(work.Record.Phase), "request={} account={} age_ms={}",
          id.str(), work.Spec.Account.str(),
          toMillis(wallNow()) - work.Spec.AcceptedAtMs);
  }
  for (const WorkId &id : Planner->removeEndedWork())
    UnreadEnds.insert(id);
  for (KeyedRecord &it : std::exchange(UnrecordedLeftOutEnds, {}))
    records.push_back(std::move(it));
  // After the states that include them.
  for (KeyedRecord &it : std::exchange(AppliedRunEnds, {}))
    records.push_back(std::move(it));
  if (records.empty()) {
    for (const auto &[incarnation, number] : received)
      Links.at(incarnation)->setRecordedUpTo(number);
    return;
  }
  AppendInFlight = true;
  recordSpeeds(records);
  std::vector<std::vector<KeyedRecord>> calls =
      splitForAppends(std::move(records), Options.Appender.MaxBatchBytes);
  std::vector<KeyedRecord> last = std::move(calls.back());
  calls.pop_back();
  for (std::vector<KeyedRecord> &it : calls)
    Appender->append(std::move(it), [this](AppendOutcome outcome) {
      if (outcome != AppendOutcome::Appended)
        onUnrecorded();
    });
  Appender->append(std::move(last),
                   [this, round = std::move(round),
                    received = std::move(received),
                    renewable = std::move(renewable)](AppendOutcome it) {
                     onRecorded(round, received, renewable, it);
                   });
}

void PodController::onUnrecorded() {
  if (!Active)
    return;
  // The planner's state is ahead of the store, so it must be discarded.
  stepDown("the store refused a record");
  if (OnFenced)
    OnFenced();
}

void PodController::onRecorded(
    const PlannedRound &round,
    const std::map<ServerIncarnation, std::uint64_t> &received,
    const std::vector<ServerIncarnation> &renewable, AppendOutcome outcome) {
  AppendInFlight = false;
  if (!Active)
    return;
  if (outcome != AppendOutcome::Appended) {
    onUnrecorded();
    return;
  }
  for (const ServerIncarnation &it : renewable)
    if (const auto link = Links.find(it); link != Links.end()) {
      LeasesEndFrom.erase(it);
      link->second->allowRenewals();
    }
  sendStarts(round);
  for (const auto &[incarnation, number] : received)
    if (const auto link = Links.find(incarnation); link != Links.end())
      link->second->setRecordedUpTo(number);
  scheduleRound();
}

void PodController::reportIdleWork() {
  if (Planner->idleReviewedAt() ==
      std::exchange(IdleReportOf, Planner->idleReviewedAt()))
    return;
  Metrics.IdleSteps.clear();
  std::map<TaskName, PassedOver> reasons;
  for (const IdleStep &it : Planner->idleSteps()) {
    const PassedOver reason = *it.mainReason();
    ++Metrics.IdleSteps[describe(reason)];
    reasons[it.Task] = reason;
    const auto known = IdleReasons.find(it.Task);
    if (known != IdleReasons.end() && known->second == reason)
      continue;
    std::string servers;
    for (std::size_t n = 0; n < PassedOverReasons; ++n)
      if (it.Servers[n] > 0)
        servers += fmt::format(" {}={}", describe(static_cast<PassedOver>(n)),
                               it.Servers[n]);
    Log("work", "idle", "task={} waited_ms={} reason={}{}", it.Task.str(),
        it.Waited.count(), describe(reason), servers);
  }
  IdleReasons = std::move(reasons);
}

void PodController::sendStarts(const PlannedRound &round) {
  for (const StartOrder &it : round.Starts) {
    if (!Planner->isCurrentRun(it.Task, it.Run, it.Server))
      continue;
    const auto link = Links.find(it.Server);
    if (link == Links.end())
      continue;
    Log("order", "start",
        "task={} run={} server={} resumed={} rank={} waited_ms={} near={} "
        "late={} speed={:.2f} needed={:.2f} probe={} list_age_ms={}",
        it.Task.str(), it.Run, it.Server.Id.str(), !it.Checkpoint.empty(),
        it.Rank, it.Waited.count(), it.PreferredPlacement, it.ExpectedLate,
        it.Speed, it.NeededSpeed, it.Probe, listAge().count());
    Metrics.StartWait[it.Rank].observe(it.Waited);
    if (it.SpeedWait) {
      ++Metrics.Speeds.WaitedStarts;
      Metrics.Speeds.Wait.observe(*it.SpeedWait);
    }
    link->second->start(it);
  }
}

void PodController::deleteEndedJobs() {
  if (!Active)
    return;
  const std::int64_t before =
      toMillis(wallNow()) - Options.EndedJobRetention.count();
  std::vector<KeyedRecord> tombstones;
  for (const auto &[id, entry] : Registry.all()) {
    if (tombstones.size() >= 3 * MaxDeletedJobs)
      break;
    if (!ended(entry.Phase) || entry.EndedAtMs > before || Planner->find(id) ||
        UnreadEnds.contains(id))
      continue;
    // First the submission: without its state, the job would count as queued.
    tombstones.push_back({specKey(id), std::nullopt});
    tombstones.push_back({stateKey(id), std::nullopt});
    tombstones.push_back({cancelKey(id), std::nullopt});
    for (const auto &[key, value] : Registry.runEnds(id))
      tombstones.push_back({key, std::nullopt});
  }
  for (const WorkId &it : Registry.earlyCancellationsBefore(
           monoNow() - Options.EarlyCancellationRetention))
    tombstones.push_back({cancelKey(it), std::nullopt});
  // The leases have ended long since.
  for (const BackendServerId &it :
       Registry.leaseEndsReadBefore(monoNow() - LeaseEndRetention))
    tombstones.push_back({leaseEndKey(it), std::nullopt});
  if (tombstones.empty())
    return;
  for (std::vector<KeyedRecord> &it :
       splitForAppends(std::move(tombstones), Options.Appender.MaxBatchBytes))
    Appender->append(std::move(it), nullptr);
}

} // namespace citrongap
