// The owner's view of the server list: listed, missing and ended incarnations
// of the backend servers.
#include "citrongap/control/pod_controller.h"

#include "citrongap/store/owner_election.h"

#include <algorithm>
#include <utility>

namespace citrongap {

void PodController::onServerRecord(const KeyedRecord &record) {
  if (!Planner)
    return;
  const BackendServerId id(record.Key);
  UnnamedEntries.erase(id);
  if (!record.Value) {
    std::erase_if(Claims, [&](const auto &it) { return it.first.Id == id; });
    onEntryRemoved(id);
    return;
  }
  auto read = ParseServerEntry(record);
  const auto *entry = std::get_if<ServerEntry>(&read);
  if (!entry) {
    Log("servers", "entry_ignored", "server={} why=\"{}\"", id.str(),
        std::get<Findings>(read).text());
    return;
  }
  if (!NamedServices.empty() && !NamedServices.contains(entry->Service)) {
    Log("servers", "entry_ignored", "server={} why=\"names service '{}'\"",
        id.str(), entry->Service);
    UnnamedEntries.emplace(id, record);
    return;
  }
  if (EndedIncarnations.contains(entry->Incarnation) ||
      !replaceRivals(*entry, record))
    return;
  LastReadAt[entry->Incarnation] = monoNow();
  noteReport(id);
  MissingSince.erase(id);
  Planner->setListed(id, true);
  const auto known = ListedServers.find(id);
  if (known != ListedServers.end() && known->second == *entry)
    return;
  if (known == ListedServers.end() || known->second.Draining != entry->Draining)
    Log("servers", "entry", "server={} born={} draining={} leaves_in_ms={}",
        id.str(), entry->Incarnation.StartedAtMs, entry->Draining,
        entry->DrainRemainingMs);
  ListedServers[id] = *entry;
  if (Active)
    addLink(*entry);
}

void PodController::addServices(const std::set<std::string> &names) {
  const std::size_t before = NamedServices.size();
  NamedServices.insert(names.begin(), names.end());
  if (NamedServices.size() > before)
    reviewUnnamedEntries();
}

void PodController::reviewUnnamedEntries() {
  for (const auto &[id, record] : std::exchange(UnnamedEntries, {})) {
    onServerRecord(record);
    // It was appended some time ago.
    ReportedAfter.erase(id);
  }
  scheduleRound();
}

Millis PodController::listAge() const {
  return monoNow() - ServersReader.currentAsOf().value_or(TookOverAt);
}

StartPermission PodController::mayStart(const ServerIncarnation &incarnation) {
  const auto listed = ListedServers.find(incarnation.Id);
  if (listed != ListedServers.end() &&
      listed->second.Incarnation == incarnation && listed->second.Draining)
    return StartPermission::Leaving;
  const bool stale =
      !ServersReader.currentAsOf() || listAge() > Options.MaxListAge;
  if (std::exchange(ListStale, stale) != stale)
    Log("servers", stale ? "starts_wait" : "starts_resume", "list_age_ms={}",
        listAge().count());
  return stale ? StartPermission::ListStale : StartPermission::Granted;
}

void PodController::onEntryRemoved(const BackendServerId &id) {
  if (ListedServers.contains(id)) {
    const MonoTime now = monoNow();
    const auto report = ReportedAfter.find(id);
    const auto previousRead = ServersReader.currentAsOf();
    const bool deregistered = report != ReportedAfter.end() && previousRead &&
                              now - report->second < Options.ReportTimeout &&
                              now - *previousRead <= Options.MaxReadGap;
    MissingSince.try_emplace(id, MissingEntry{now, deregistered});
  }
  ReportedAfter.erase(id);
  Planner->setListed(id, false);
}

void PodController::onServersLoaded(const std::set<std::string> &keys) {
  std::erase_if(UnnamedEntries,
                [&](const auto &it) { return !keys.contains(it.first.str()); });
  std::vector<BackendServerId> removed;
  for (const auto &[id, entry] : ListedServers)
    if (!keys.contains(id.str()) && !MissingSince.contains(id))
      removed.push_back(id);
  for (const BackendServerId &it : removed) {
    Log("servers", "entry_removed_unseen", "server={}", it.str());
    onEntryRemoved(it);
  }
}

void PodController::onServersRead() {
  const auto asOf = ServersReader.currentAsOf();
  if (asOf && ServersReadAsOf && *asOf - *ServersReadAsOf > Options.MaxReadGap)
    ReportedAfter.clear();
  ServersReadAsOf = asOf;
  ServersReadFailed = false;
}

void PodController::noteReport(const BackendServerId &id) {
  // A record that is read in order was appended after the previous read, but
  // after a failed one perhaps before the outage.
  const auto previousRead = ServersReader.currentAsOf();
  if (previousRead && !ServersReader.loading() && !ServersReadFailed)
    ReportedAfter.insert_or_assign(id, *previousRead);
  else
    ReportedAfter.erase(id);
}

bool PodController::hasEnded(const ServerIncarnation &incarnation) const {
  if (EndedIncarnations.contains(incarnation))
    return true;
  const auto listed = ListedServers.find(incarnation.Id);
  return listed != ListedServers.end() &&
         listed->second.Incarnation.StartedAtMs > incarnation.StartedAtMs;
}

void PodController::addLink(const ServerEntry &entry) {
  const MonoTime now = monoNow();
  Planner->putServer(entry, now);
  if (Links.contains(entry.Incarnation))
    return;
  readLeaseEnd(entry.Incarnation);
  auto link = std::make_unique<ServerLink>(
      Loop, Fleet, *Planner, Log, entry.Incarnation,
      Endpoint{entry.Ip, entry.Port}, tokenFor(entry.Incarnation.Id),
      Options.Link, inheritedLeaseEnd(entry.Incarnation), linkEvents());
  ServerLink &added = *link;
  if (LeasesEndFrom.contains(entry.Incarnation))
    added.barRenewals();
  Links.emplace(entry.Incarnation, std::move(link));
  barLateStarts(entry.Incarnation, added);
  added.pollIfNeeded();
}

LinkToken PodController::tokenFor(const BackendServerId &id) const {
  constexpr std::uint64_t Last = OwnerElection::EpochsPerOwnership - 1;
  const auto found = DroppedLinks.find(id);
  const std::uint64_t dropped = found == DroppedLinks.end() ? 0 : found->second;
  return {Epoch(Token.value() + std::min(dropped, Last)), dropped <= Last};
}

void PodController::barLateStarts(const ServerIncarnation &incarnation,
                                  ServerLink &link) {
  const auto found = StartsOfDroppedLinks.find(incarnation.Id);
  if (found == StartsOfDroppedLinks.end())
    return;
  const LateStarts late = std::move(found->second);
  StartsOfDroppedLinks.erase(found);
  if (monoNow() >= late.Until)
    return;
  Log("servers", "late_starts_barred", "server={} born={} runs={}",
      incarnation.Id.str(), incarnation.StartedAtMs, late.Runs.size());
  for (const auto &[task, run] : late.Runs)
    link.stop({task, run, incarnation, "its server has restarted"});
}

ServerLink::Events PodController::linkEvents() {
  ServerLink::Events events;
  events.MayAct = [this] { return !MayAct || MayAct(); };
  events.MayStart = [this](const ServerIncarnation &incarnation) {
    return mayStart(incarnation);
  };
  events.Changed = [this] { scheduleRound(); };
  events.Fenced = [this](const ServerIncarnation &incarnation) {
    Log("owner", "fenced_by_server", "server={} epoch={}", incarnation.Id.str(),
        Token.value());
    stepDown("a backend server accepted a newer owner");
    if (OnFenced)
      OnFenced();
  };
  events.IncarnationChanged = [this](const ServerIncarnation &incarnation) {
    dropServer(ServerIncarnation(incarnation), "another incarnation answered");
  };
  events.Restarted = [this](const ServerIncarnation &ended,
                            const ServerIncarnation &next) {
    replaceServer(ServerIncarnation(ended), next,
                  "another incarnation answered");
  };
  events.RunEnded = [this](RunOutcome outcome, bool replaced) {
    ++Metrics.EndsByKind[describe(outcome)];
    if (outcome == RunOutcome::Done && replaced)
      ++Metrics.DoneAfterReplacement;
  };
  events.UseOfLeftOut = [this](const TaskName &it) { return useOfLeftOut(it); };
  events.LeftOutEnded = [this](const ServerIncarnation &server,
                               const RunEndReport &end) {
    ++Metrics.EndsByKind[describe(end.Outcome)];
    UnrecordedLeftOutEnds.push_back(storedRunEnd(server, end));
  };
  events.LeasesExpired = [this](const ServerIncarnation &incarnation,
                                const std::set<RunId> &late) {
    Planner->expireLeases(incarnation, monoNow(), late);
    scheduleRound();
  };
  return events;
}

void PodController::replaceServer(const ServerIncarnation &ended,
                                  const ServerIncarnation &next,
                                  const char *reason) {
  const auto link = Links.find(ended);
  if (link != Links.end())
    moveRuns(link->second->unsettledStarts(), ended, next);
  if (Planner)
    expectLateCalls(next);
  dropServer(ended, reason);
}

void PodController::moveRuns(const std::vector<RunId> &runs,
                             const ServerIncarnation &from,
                             const ServerIncarnation &to) {
  if (runs.empty())
    return;
  const MonoTime now = monoNow();
  Log("servers", "runs_moved", "server={} born={} next={} runs={}",
      from.Id.str(), from.StartedAtMs, to.StartedAtMs, runs.size());
  for (const auto &[task, run] : runs)
    Planner->moveUncertainRun(task, run, from, to, now);
  expectLateCalls(to);
}

void PodController::expectLateCalls(const ServerIncarnation &next) {
  const MonoTime end =
      Options.Link.latestLeaseEnd(monoNow() + Options.Link.MaxOrderDelay);
  LateLeaseEnds.insert_or_assign(next, end);
  if (const auto link = Links.find(next); link != Links.end())
    link->second->extendOthersLeaseEnd(end);
}

bool PodController::moveUnlistedRuns(const ServerIncarnation &from) {
  const auto listed = ListedServers.find(from.Id);
  const MonoTime lastStart =
      TookOverAt + Options.OwnershipTimeout + Options.Link.MaxOrderDelay;
  if (listed == ListedServers.end() || listed->second.Incarnation == from ||
      (monoNow() >= lastStart && !LateLeaseEnds.contains(from)))
    return false;
  std::vector<RunId> runs;
  for (const StartOrder &it : Planner->runsPlacedOn(from))
    runs.emplace_back(it.Task, it.Run);
  moveRuns(runs, from, ServerIncarnation(listed->second.Incarnation));
  scheduleRound();
  return true;
}

void PodController::dropServer(const ServerIncarnation &incarnation,
                               const char *reason) {
  EndedIncarnations.insert(incarnation);
  Log("servers", "gone", "server={} born={} runs={} why=\"{}\"",
      incarnation.Id.str(), incarnation.StartedAtMs,
      Planner ? Planner->runsPlacedOn(incarnation).size() : 0, reason);
  const auto link = Links.find(incarnation);
  if (link != Links.end()) {
    std::vector<RunId> late = link->second->unsettledStarts();
    if (!late.empty())
      StartsOfDroppedLinks.insert_or_assign(
          incarnation.Id, LateStarts{monoNow() + Options.Link.AnswerTimeout +
                                         Options.Link.MaxOrderDelay,
                                     std::move(late)});
    ++DroppedLinks[incarnation.Id];
    link->second->noteOutcomes("server_gone");
    link->second->setActive(false);
    RetiredLinks.push_back(std::move(link->second));
    Links.erase(link);
  }
  const auto listed = ListedServers.find(incarnation.Id);
  if (listed != ListedServers.end() &&
      listed->second.Incarnation == incarnation)
    ListedServers.erase(listed);
  MissingSince.erase(incarnation.Id);
  LastReadAt.erase(incarnation);
  if (Planner)
    Planner->removeIncarnation(incarnation, monoNow());
  scheduleRound();
}

void PodController::dropMissingServers() {
  const MonoTime now = monoNow();
  std::vector<ServerIncarnation> gone;
  for (const auto &[id, missing] : MissingSince) {
    const auto listed = ListedServers.find(id);
    if (listed == ListedServers.end())
      continue;
    const ServerEntry &entry = listed->second;
    const auto link = Links.find(entry.Incarnation);
    const bool reachable = link != Links.end() && link->second->reachable();
    const bool left = entry.Draining && !reachable && missing.Deregistered;
    const bool silent = !reachable &&
                        now - missing.Since >= Options.EntryReturnTimeout &&
                        Planner->runsPlacedOn(entry.Incarnation).empty();
    if (left || silent)
      gone.push_back(entry.Incarnation);
  }
  for (const ServerIncarnation &it : gone)
    dropServer(it, "its entry was removed from the server list");
  // A server that was only unreachable may return with the same incarnation.
  for (const ServerIncarnation &it : gone)
    EndedIncarnations.erase(it);
}

MonoTime
PodController::inheritedLeaseEnd(const ServerIncarnation &incarnation) const {
  MonoTime end =
      Options.Link.latestLeaseEnd(TookOverAt + Options.OwnershipTimeout);
  if (const auto from = LeasesEndFrom.find(incarnation);
      from != LeasesEndFrom.end())
    end = std::min(end, Options.Link.latestLeaseEnd(from->second));
  const auto late = LateLeaseEnds.find(incarnation);
  return late == LateLeaseEnds.end() ? end : std::max(end, late->second);
}

void PodController::readLeaseEnd(const ServerIncarnation &incarnation) {
  if (const auto from = Registry.leasesEndFrom(incarnation))
    LeasesEndFrom.try_emplace(
        incarnation, std::min(*from, TookOverAt + Options.OwnershipTimeout));
}

void PodController::recordLeaseEnds(std::vector<KeyedRecord> &records,
                                    std::vector<ServerIncarnation> &renewable) {
  std::vector<ServerIncarnation> ending = std::exchange(UnlistedLeaseEnds, {});
  for (const auto &[incarnation, link] : Links) {
    if (link->leaseEndIsDue()) {
      link->barRenewals();
      ending.push_back(incarnation);
    } else if (link->awaitsRenewals()) {
      records.push_back({leaseEndKey(incarnation.Id), std::nullopt});
      renewable.push_back(incarnation);
    }
  }
  for (const ServerIncarnation &it : ending) {
    LeasesEndFrom.emplace(it, monoNow());
    records.push_back({leaseEndKey(it.Id), std::to_string(it.StartedAtMs)});
  }
}

void PodController::releaseUnlistedRuns() {
  if (!ServersReader.loaded())
    return;
  const MonoTime now = monoNow();
  for (const ServerIncarnation &incarnation : Planner->incarnationsWithRuns()) {
    if (Links.contains(incarnation))
      continue;
    // Unless it has ended, leases that an earlier owner renewed must expire
    // first.
    if (hasEnded(incarnation) && moveUnlistedRuns(incarnation))
      continue;
    const MonoTime leaseEnd = inheritedLeaseEnd(incarnation);
    if (!hasEnded(incarnation) && now < leaseEnd) {
      if (!LeasesEndFrom.contains(incarnation) &&
          leaseEnd <= Options.Link.latestLeaseEnd(now))
        UnlistedLeaseEnds.push_back(incarnation);
      continue;
    }
    Log("servers", "unlisted_runs_released", "server={} born={}",
        incarnation.Id.str(), incarnation.StartedAtMs);
    Planner->expireLeases(incarnation, now);
  }
}

} // namespace citrongap
