// The owner's view of the list of backend servers: which lives there are, and
// which of them are over.
#include "citrongap/control/pod_controller.h"

#include <utility>

namespace citrongap {

void PodController::onServerRecord(const KeyedRecord &record) {
  if (!Planner)
    return;
  const BackendServerId id(record.Key);
  if (!record.Value) {
    if (Listed.contains(id))
      Vanished.try_emplace(id, monoNow());
    Planner->setListed(id, false);
    return;
  }
  auto read = ReadEntry(record);
  const auto *entry = std::get_if<ServerEntry>(&read);
  if (!entry) {
    Log("servers", "entry_ignored", "server={} why=\"{}\"", id.str(),
        std::get<Findings>(read).text());
    return;
  }
  if (isOver(*entry))
    return;
  Vanished.erase(id);
  Planner->setListed(id, true);
  const auto known = Listed.find(id);
  if (known != Listed.end() && known->second == *entry)
    return;
  if (known == Listed.end() ||
      known->second.Incarnation != entry->Incarnation ||
      known->second.Draining != entry->Draining)
    Log("servers", "entry", "server={} born={} draining={} leaves_in_ms={}",
        id.str(), entry->Incarnation.StartedAtMs, entry->Draining,
        entry->DrainRemainingMs);
  if (known != Listed.end() && known->second.Incarnation != entry->Incarnation)
    dropServer(ServerIncarnation(known->second.Incarnation),
               "it started again");
  Listed[id] = *entry;
  if (ActiveOwner)
    addLink(*entry);
}

bool PodController::isOver(const ServerEntry &entry) {
  if (OverLives.contains(entry.Incarnation))
    return true;
  if (entry.Machine.empty())
    return false;
  // A machine carries one life at a time: the one that began last.
  const auto [it, added] =
      LatestLives.try_emplace(entry.Machine, entry.Incarnation);
  const ServerIncarnation latest = it->second;
  if (added || latest == entry.Incarnation)
    return false;
  if (entry.Incarnation.StartedAtMs < latest.StartedAtMs) {
    Log("servers", "entry_of_a_past_life", "server={} born={} latest={}",
        entry.Incarnation.Id.str(), entry.Incarnation.StartedAtMs,
        latest.Id.str());
    OverLives.insert(entry.Incarnation);
    return true;
  }
  it->second = entry.Incarnation;
  dropServer(latest, "its machine carries another server");
  return false;
}

void PodController::addLink(const ServerEntry &entry) {
  const MonoTime now = monoNow();
  Planner->putServer(entry, now);
  if (Links.contains(entry.Incarnation))
    return;
  auto link = std::make_unique<ServerLink>(
      Loop, Fleet, *Planner, Log, entry.Incarnation,
      Endpoint{entry.Ip, entry.Port}, Token, Terms.Link, inheritedLeasesEndBy(),
      linkEvents());
  ServerLink &added = *link;
  Links.emplace(entry.Incarnation, std::move(link));
  added.wake();
}

ServerLink::Events PodController::linkEvents() {
  ServerLink::Events events;
  events.Changed = [this] { changed(); };
  events.Fenced = [this](const ServerIncarnation &life) {
    Log("owner", "fenced_by_server", "server={} epoch={}", life.Id.str(),
        Token.value());
    stepDown("a server obeys a newer owner");
    if (OnFenced)
      OnFenced();
  };
  events.Reborn = [this](const ServerIncarnation &life) {
    dropServer(ServerIncarnation(life), "another life answers");
  };
  events.Ended = [this](RunOutcome how) {
    ++Metrics.EndsByKind[describe(how)];
  };
  events.Lapsed = [this](const ServerIncarnation &life) {
    Planner->expireLeases(life, monoNow());
    changed();
  };
  return events;
}

void PodController::dropServer(const ServerIncarnation &life,
                               const char *reason) {
  OverLives.insert(life);
  Log("servers", "gone", "server={} born={} why=\"{}\"", life.Id.str(),
      life.StartedAtMs, reason);
  const auto link = Links.find(life);
  if (link != Links.end()) {
    link->second->setActive(false);
    Retired.push_back(std::move(link->second));
    Links.erase(link);
  }
  const auto listed = Listed.find(life.Id);
  if (listed != Listed.end() && listed->second.Incarnation == life)
    Listed.erase(listed);
  Vanished.erase(life.Id);
  if (Planner)
    Planner->removeIncarnation(life, monoNow());
  changed();
}

void PodController::dropVanished() {
  const MonoTime now = monoNow();
  std::vector<ServerIncarnation> gone;
  for (const auto &[id, since] : Vanished) {
    const auto listed = Listed.find(id);
    if (listed == Listed.end())
      continue;
    const ServerEntry &entry = listed->second;
    const auto link = Links.find(entry.Incarnation);
    const bool reachable = link != Links.end() && link->second->reachable();
    const bool left = entry.Draining && !reachable;
    const bool silent = !reachable && now - since >= Terms.EntryReturnTimeout &&
                        Planner->runsPlacedOn(entry.Incarnation).empty();
    if (left || silent)
      gone.push_back(entry.Incarnation);
  }
  for (const ServerIncarnation &it : gone)
    dropServer(it, "its entry vanished");
  // It may come back under the same life, if it only was out of reach.
  for (const ServerIncarnation &it : gone)
    OverLives.erase(it);
}

MonoTime PodController::inheritedLeasesEndBy() const {
  return Terms.Link.lapseOf(TookOverAt + Terms.OwnershipTimeout);
}

void PodController::releaseUnlisted() {
  if (!ServersTail.loaded())
    return;
  const MonoTime now = monoNow();
  for (const ServerIncarnation &life : Planner->incarnationsWithRuns()) {
    if (Links.contains(life))
      continue;
    // A life is over once the next one of the same server is listed.
    if (!Listed.contains(life.Id) && now < inheritedLeasesEndBy())
      continue;
    Log("servers", "unlisted_runs_released", "server={} born={}", life.Id.str(),
        life.StartedAtMs);
    Planner->expireLeases(life, now);
  }
}

} // namespace citrongap
