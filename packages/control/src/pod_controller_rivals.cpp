// Which life of a machine is the current one. Entries of the server list claim
// that others have ended; a server that still answers refutes that.
#include "citrongap/control/pod_controller.h"

#include <algorithm>
#include <utility>

namespace citrongap {

std::set<ServerIncarnation>
PodController::rivalsOf(const ServerEntry &entry) const {
  std::set<ServerIncarnation> rivals;
  const auto listed = ListedServers.find(entry.Incarnation.Id);
  if (listed != ListedServers.end())
    rivals.insert(listed->second.Incarnation);
  const auto latest = LatestIncarnations.find(entry.Machine);
  if (latest != LatestIncarnations.end() &&
      !EndedIncarnations.contains(latest->second))
    rivals.insert(latest->second);
  rivals.erase(entry.Incarnation);
  return rivals;
}

bool PodController::replaceRivals(const ServerEntry &entry,
                                  const KeyedRecord &record) {
  const ServerIncarnation &added = entry.Incarnation;
  const std::set<ServerIncarnation> rivals = rivalsOf(entry);
  for (const ServerIncarnation &it : rivals)
    if (!mayReplace(it, added)) {
      Log("servers", "entry_of_a_past_life", "server={} born={} latest={}",
          added.Id.str(), added.StartedAtMs, it.Id.str());
      return false;
    }
  if (awaitsRivals(rivals, entry, record))
    return false;
  Claims.erase(added);
  for (const ServerIncarnation &it : rivals) {
    if (it.Id == added.Id)
      replaceServer(it, added, "the server restarted");
    else
      dropServer(it, "its machine runs another server");
    if (added.StartedAtMs < it.StartedAtMs) {
      // Not certain to have ended: it may only have been silent.
      EndedIncarnations.erase(it);
      ReplacedByEarlier.insert(it);
    }
  }
  if (!entry.Machine.empty())
    LatestIncarnations.insert_or_assign(entry.Machine, added);
  return true;
}

bool PodController::awaitsRivals(const std::set<ServerIncarnation> &rivals,
                                 const ServerEntry &entry,
                                 const KeyedRecord &record) {
  const ServerIncarnation &added = entry.Incarnation;
  const bool mayAsk = !MayAct || MayAct();
  bool awaits = false;
  for (const ServerIncarnation &it : rivals) {
    const auto link = Links.find(it);
    if (link == Links.end() || link->second->lastPollFailed())
      continue;
    if (!mayAsk)
      return true;
    Claim &claim = Claims[added];
    claim.Record = record;
    const auto [asked, isNew] = claim.Silent.try_emplace(it, false);
    if (asked->second)
      continue;
    awaits = true;
    if (isNew)
      link->second->checkAlive(
          [this, it, added](bool alive) { onRivalChecked(it, added, alive); });
  }
  return awaits;
}

void PodController::onRivalChecked(const ServerIncarnation &rival,
                                   const ServerIncarnation &claimant,
                                   bool alive) {
  const auto found = Claims.find(claimant);
  if (found == Claims.end())
    return;
  Log("servers", alive ? "entry_beside_a_live_server" : "server_silent",
      "server={} born={} entry={} entry_born={}", rival.Id.str(),
      rival.StartedAtMs, claimant.Id.str(), claimant.StartedAtMs);
  if (alive) {
    Claims.erase(found);
    return;
  }
  found->second.Silent[rival] = true;
  reviewClaims();
}

void PodController::reviewClaims() {
  const auto isSettled = [this](const Claim &claim) {
    return std::all_of(
        claim.Silent.begin(), claim.Silent.end(), [this](const auto &it) {
          return it.second || EndedIncarnations.contains(it.first);
        });
  };
  std::vector<std::pair<ServerIncarnation, KeyedRecord>> settled;
  for (const auto &[claimant, it] : Claims)
    if (isSettled(it))
      settled.emplace_back(claimant, it.Record);
  for (const auto &[claimant, record] : settled) {
    onServerRecord(record);
    // It was appended some time ago.
    ReportedAfter.erase(claimant.Id);
    // Refused for another reason, unless it has further rivals.
    if (const auto it = Claims.find(claimant);
        it != Claims.end() && isSettled(it->second))
      Claims.erase(it);
  }
}

bool PodController::mayReplace(const ServerIncarnation &known,
                               const ServerIncarnation &other) const {
  if (other.StartedAtMs > known.StartedAtMs &&
      !ReplacedByEarlier.contains(other))
    return true;
  // A late entry, or the server's clock was set back before it restarted.
  const auto read = LastReadAt.find(known);
  const bool silent = read == LastReadAt.end() ||
                      monoNow() - read->second >= Options.ReportTimeout;
  return Active && silent && Planner->runsPlacedOn(known).empty();
}

} // namespace citrongap
