// Take-over and rounds of the owner.
#include "citrongap/control/pod_controller.h"

#include <utility>

namespace citrongap {

namespace {

/// All owners write under one producer, so that a newer epoch fences the rest.
constexpr const char *OwnerProducer = "owner";
/// Events of one moment are planned for together; a third of an append's time.
constexpr Millis GatherFor{2};
/// Ended jobs are kept 30 s longer than is asked, so this need not be exact.
constexpr Millis SweepEvery{10000};
/// Keys dropped in one append: 1,500 short records, far below a call's limit.
constexpr std::size_t MaxForgottenAtOnce = 500;

} // namespace

PodController::PodController(EventLoop &loop, StorePort &store,
                             FleetPort &fleet, WorkRegistry &board,
                             TopicReader &jobsTail, EventLog &log,
                             ControlMetrics &metrics, TopicId jobs,
                             TopicId servers, ReadServerEntry readEntry,
                             ControllerOptions terms)
    : Loop(loop), Store(store), Fleet(fleet), Board(board), JobsTail(jobsTail),
      Log(log), Metrics(metrics), Jobs(std::move(jobs)),
      ReadEntry(std::move(readEntry)), Terms(terms),
      ServersTail(
          loop, store, std::move(servers),
          TopicReaderOptions{.Wait = Millis(0),
                             .ReadInterval = terms.ServerListInterval},
          [this](const KeyedRecord &it) { onServerRecord(it); },
          [this] { changed(); }) {}

PodController::~PodController() = default;

void PodController::takeOver(Epoch epoch) {
  Token = epoch;
  TookOverAt = monoNow();
  Planner = std::make_unique<PodPlanner>(Terms.Planner);
  Planner->setGuarantees(Guarantees);
  Appender = std::make_unique<BatchAppender>(Loop, Store, Jobs, OwnerProducer,
                                             epoch, Terms.Appender);
  Appender->OnFenced = [this] {
    stepDown("a newer epoch has written");
    if (OnFenced)
      OnFenced();
  };
  Appender->OnRetry = [this](const std::string &why) {
    Log("owner", "append_retry", "epoch={} why=\"{}\"", Token.value(), why);
  };
  Log("owner", "taking_over", "epoch={}", epoch.value());
  ServersTail.start();
  Appender->append({}, [this](bool appended) { onFenceWritten(appended); });
}

void PodController::onFenceWritten(bool appended) {
  if (!appended || !Planner)
    return;
  CatchUpTo = Appender->end();
  JobsTail.readNow();
  onTailAt(JobsTail.nextOffset());
}

void PodController::onTailAt(LogOffset next) {
  if (!Planner || ActiveOwner || !CatchUpTo || !JobsTail.loaded() ||
      next < *CatchUpTo)
    return;
  activate();
}

void PodController::activate() {
  ActiveOwner = true;
  ++Metrics.TakeOvers;
  for (const auto &[id, entry] : Board.all())
    adopt(id);
  Log("owner", "took_over", "epoch={} jobs={} servers={} read_to={}",
      Token.value(), Board.all().size(), Listed.size(), CatchUpTo->value());
  for (const auto &[id, entry] : Listed)
    addLink(entry);
  Tick = Loop.every(Terms.TickInterval, [this] { step(); });
  Sweep = Loop.every(SweepEvery, [this] { forgetEnded(); });
  changed();
}

void PodController::stepDown(const char *reason) {
  if (!Planner)
    return;
  Log("owner", "stepped_down", "epoch={} why=\"{}\"", Token.value(), reason);
  ActiveOwner = false;
  Recording = false;
  CatchUpTo.reset();
  Tick.cancel();
  Sweep.cancel();
  ServersTail.stop();
  for (auto &[life, link] : Links) {
    link->setActive(false);
    Retired.push_back(std::move(link));
  }
  Links.clear();
  Listed.clear();
  Vanished.clear();
  LatestLives.clear();
  OverLives.clear();
  // Callbacks of the appender and the links may be on the stack.
  StepSoon = Loop.at(monoNow(), [this] { step(); });
  if (Appender) {
    Appender->OnFenced = nullptr;
    Appender->OnRetry = nullptr;
  }
  OldPlanner = std::move(Planner);
  OldAppender = std::move(Appender);
}

void PodController::setGuarantees(
    std::map<ClientAccountId, std::int64_t> gpus) {
  Guarantees = std::move(gpus);
  if (Planner)
    Planner->setGuarantees(Guarantees);
  changed();
}

void PodController::adopt(const WorkId &id) {
  const RegistryEntry *entry = Board.find(id);
  if (!entry)
    return;
  if (!Planner->find(id)) {
    WorkRecord record;
    if (!entry->State.empty()) {
      auto read = decodeWorkRecord(entry->State);
      if (auto *known = std::get_if<WorkRecord>(&read)) {
        record = std::move(*known);
      } else {
        // Starting it anew could run it twice.
        Log("owner", "job_left_out", "request={} why=\"{}\"", id.str(),
            std::get<Findings>(read).text());
        return;
      }
    }
    if (ended(record.Phase) && !record.anyPlaced())
      return;
    Planner->addWork(*entry->Spec, std::move(record), monoNow());
  }
  if (entry->CancelAsked)
    Planner->cancel(id, toMillis(wallNow()));
}

void PodController::onNews(const WorkId &id) {
  if (!ActiveOwner)
    return;
  adopt(id);
  changed();
}

void PodController::changed() {
  if (!ActiveOwner || StepSoon.pending())
    return;
  StepSoon = Loop.at(monoNow() + GatherFor, [this] {
    StepSoon.cancel();
    step();
  });
}

void PodController::step() {
  Retired.clear();
  OldPlanner.reset();
  OldAppender.reset();
  if (!ActiveOwner || Recording)
    return;
  dropVanished();
  releaseUnlisted();
  PlannedRound round = Planner->plan(monoNow(), toMillis(wallNow()));
  for (const StopOrder &it : round.Stops) {
    ++Metrics.StopsByReason[it.Reason];
    if (const auto link = Links.find(it.Server); link != Links.end())
      link->second->stop(it);
  }
  round.Stops.clear();
  record(std::move(round));
}

void PodController::record(PlannedRound round) {
  std::map<ServerIncarnation, std::uint64_t> seen;
  for (const auto &[life, link] : Links)
    seen[life] = link->seenUpTo();
  std::vector<KeyedRecord> records;
  for (const WorkId &id : Planner->takeChangedWork()) {
    const PlannedWork &work = *Planner->find(id);
    WorkRecord copy = work.Record;
    if (ended(copy.Phase) && !copy.anyPlaced())
      copy.Occurrences.clear();
    records.push_back({stateKey(id), encode(copy)});
    if (ended(copy.Phase) && copy.Occurrences.empty())
      Log("job", describe(copy.Phase), "request={} account={} age_ms={}",
          id.str(), work.Spec.Account.str(),
          toMillis(wallNow()) - work.Spec.AcceptedAtMs);
  }
  Planner->removeEndedWork();
  if (records.empty()) {
    for (const auto &[life, number] : seen)
      Links.at(life)->recordedUpTo(number);
    return;
  }
  Recording = true;
  Appender->append(std::move(records),
                   [this, round = std::move(round), seen = std::move(seen)](
                       bool appended) { onRecorded(round, seen, appended); });
}

void PodController::onRecorded(
    const PlannedRound &round,
    const std::map<ServerIncarnation, std::uint64_t> &seen, bool appended) {
  Recording = false;
  if (!ActiveOwner)
    return;
  if (!appended) {
    // The records are not in the store, and the planner believes they are.
    stepDown("the store refused a record");
    if (OnFenced)
      OnFenced();
    return;
  }
  send(round);
  for (const auto &[life, number] : seen)
    if (const auto link = Links.find(life); link != Links.end())
      link->second->recordedUpTo(number);
  changed();
}

void PodController::send(const PlannedRound &round) {
  for (const StartOrder &it : round.Starts) {
    if (!Planner->isCurrentRun(it.Task, it.Run, it.Server))
      continue;
    const auto link = Links.find(it.Server);
    if (link == Links.end())
      continue;
    Log("order", "start",
        "task={} run={} server={} resumed={} rank={} waited_ms={} near={} "
        "late={}",
        it.Task.str(), it.Run, it.Server.Id.str(), !it.Checkpoint.empty(),
        it.Rank, it.Waited.count(), it.PreferredPlacement, it.ExpectedLate);
    Metrics.StartWait[it.Rank].observe(it.Waited);
    link->second->start(it);
  }
}

void PodController::forgetEnded() {
  if (!ActiveOwner || Recording)
    return;
  const std::int64_t before =
      toMillis(wallNow()) - Terms.EndedJobRetention.count();
  std::vector<KeyedRecord> drops;
  for (const auto &[id, entry] : Board.all()) {
    if (drops.size() >= MaxForgottenAtOnce)
      break;
    if (!ended(entry.Phase) || entry.EndedAtMs > before || Planner->find(id))
      continue;
    drops.push_back({cancelKey(id), std::nullopt});
    drops.push_back({stateKey(id), std::nullopt});
    drops.push_back({specKey(id), std::nullopt});
  }
  if (!drops.empty())
    Appender->append(std::move(drops), nullptr);
}

} // namespace citrongap
