// The owner's view of the server list: listed, missing and ended incarnations
// of the backend servers.
#include "citrongap/control/pod_controller.h"

#include <utility>

namespace citrongap {

void PodController::onServerRecord(const KeyedRecord &record) {
  if (!Planner)
    return;
  const BackendServerId id(record.Key);
  if (!record.Value) {
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
  if (hasEnded(*entry))
    return;
  noteReport(id);
  MissingSince.erase(id);
  Planner->setListed(id, true);
  const auto known = ListedServers.find(id);
  if (known != ListedServers.end() && known->second == *entry)
    return;
  if (known == ListedServers.end() ||
      known->second.Incarnation != entry->Incarnation ||
      known->second.Draining != entry->Draining)
    Log("servers", "entry", "server={} born={} draining={} leaves_in_ms={}",
        id.str(), entry->Incarnation.StartedAtMs, entry->Draining,
        entry->DrainRemainingMs);
  if (known != ListedServers.end() &&
      known->second.Incarnation != entry->Incarnation)
    dropServer(ServerIncarnation(known->second.Incarnation),
               "the server restarted");
  ListedServers[id] = *entry;
  if (Active)
    addLink(*entry);
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
    const auto report = ReportedAfter.find(id);
    const bool deregistered =
        report != ReportedAfter.end() &&
        monoNow() - report->second < Options.ReportTimeout;
    MissingSince.try_emplace(id, MissingEntry{monoNow(), deregistered});
  }
  ReportedAfter.erase(id);
  Planner->setListed(id, false);
}

void PodController::onServersLoaded(const std::set<std::string> &keys) {
  std::vector<BackendServerId> removed;
  for (const auto &[id, entry] : ListedServers)
    if (!keys.contains(id.str()) && !MissingSince.contains(id))
      removed.push_back(id);
  for (const BackendServerId &it : removed) {
    Log("servers", "entry_removed_unseen", "server={}", it.str());
    onEntryRemoved(it);
  }
}

void PodController::noteReport(const BackendServerId &id) {
  // A record that is read in order was appended after the previous read.
  const auto previousRead = ServersReader.currentAsOf();
  if (previousRead && !ServersReader.loading())
    ReportedAfter.insert_or_assign(id, *previousRead);
  else
    ReportedAfter.erase(id);
}

bool PodController::hasEnded(const ServerEntry &entry) {
  if (EndedIncarnations.contains(entry.Incarnation))
    return true;
  if (entry.Machine.empty())
    return false;
  // A machine runs one incarnation at a time: the one that started last.
  const auto [it, added] =
      LatestIncarnations.try_emplace(entry.Machine, entry.Incarnation);
  const ServerIncarnation latest = it->second;
  if (added || latest == entry.Incarnation)
    return false;
  if (entry.Incarnation.StartedAtMs < latest.StartedAtMs) {
    Log("servers", "entry_of_a_past_life", "server={} born={} latest={}",
        entry.Incarnation.Id.str(), entry.Incarnation.StartedAtMs,
        latest.Id.str());
    EndedIncarnations.insert(entry.Incarnation);
    return true;
  }
  it->second = entry.Incarnation;
  dropServer(latest, "its machine runs another server");
  return false;
}

void PodController::addLink(const ServerEntry &entry) {
  const MonoTime now = monoNow();
  Planner->putServer(entry, now);
  if (Links.contains(entry.Incarnation))
    return;
  auto link = std::make_unique<ServerLink>(
      Loop, Fleet, *Planner, Log, entry.Incarnation,
      Endpoint{entry.Ip, entry.Port}, Token, Options.Link, inheritedLeaseEnd(),
      linkEvents());
  ServerLink &added = *link;
  Links.emplace(entry.Incarnation, std::move(link));
  added.pollIfNeeded();
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
  events.RunEnded = [this](RunOutcome outcome, bool replaced) {
    ++Metrics.EndsByKind[describe(outcome)];
    if (outcome == RunOutcome::Done && replaced)
      ++Metrics.DoneAfterReplacement;
  };
  events.LeasesExpired = [this](const ServerIncarnation &incarnation) {
    Planner->expireLeases(incarnation, monoNow());
    scheduleRound();
  };
  return events;
}

void PodController::dropServer(const ServerIncarnation &incarnation,
                               const char *reason) {
  EndedIncarnations.insert(incarnation);
  Log("servers", "gone", "server={} born={} runs={} why=\"{}\"",
      incarnation.Id.str(), incarnation.StartedAtMs,
      Planner ? Planner->runsPlacedOn(incarnation).size() : 0, reason);
  const auto link = Links.find(incarnation);
  if (link != Links.end()) {
    link->second->setActive(false);
    RetiredLinks.push_back(std::move(link->second));
    Links.erase(link);
  }
  const auto listed = ListedServers.find(incarnation.Id);
  if (listed != ListedServers.end() &&
      listed->second.Incarnation == incarnation)
    ListedServers.erase(listed);
  MissingSince.erase(incarnation.Id);
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

MonoTime PodController::inheritedLeaseEnd() const {
  return Options.Link.latestLeaseEnd(TookOverAt + Options.OwnershipTimeout);
}

void PodController::releaseUnlistedRuns() {
  if (!ServersReader.loaded())
    return;
  const MonoTime now = monoNow();
  for (const ServerIncarnation &incarnation : Planner->incarnationsWithRuns()) {
    if (Links.contains(incarnation))
      continue;
    // An incarnation has ended once the next one of its server is listed.
    // Otherwise, leases that an earlier owner renewed must expire first.
    if (!ListedServers.contains(incarnation.Id) && now < inheritedLeaseEnd())
      continue;
    Log("servers", "unlisted_runs_released", "server={} born={}",
        incarnation.Id.str(), incarnation.StartedAtMs);
    Planner->expireLeases(incarnation, now);
  }
}

} // namespace citrongap
