// Keys of the jobs topic. With the id of a job: "j/" submission, "s/" state,
// "c/" cancellation. With the id of an entry VM: "v/" address for peers, "w/"
// the same of one that loads all jobs.
#include "citrongap/control/work_registry.h"

#include <utility>

namespace citrongap {

std::string specKey(const WorkId &id) { return "j/" + id.str(); }
std::string stateKey(const WorkId &id) { return "s/" + id.str(); }
std::string cancelKey(const WorkId &id) { return "c/" + id.str(); }
std::string peerKey(const EntryVmId &id) { return "v/" + id.str(); }
std::string holderKey(const EntryVmId &id) { return "w/" + id.str(); }
std::string keyBeforePeers() { return "u"; }

void WorkRegistry::apply(const KeyedRecord &record) {
  const auto slash = record.Key.find('/');
  if (slash != 1)
    return;
  const char kind = record.Key[0];
  if (kind == 'v' || kind == 'w') {
    const auto &onAddress = kind == 'v' ? OnPeer : OnHolder;
    if (record.Value && onAddress)
      onAddress(EntryVmId(record.Key.substr(2)), *record.Value);
    return;
  }
  const WorkId id(record.Key.substr(2));
  if (!record.Value) {
    remove(kind, id);
    return;
  }
  if (kind == 'j') {
    auto spec = decodeWorkSpec(*record.Value);
    if (auto *decoded = std::get_if<WorkSpec>(&spec))
      applySpec(std::move(*decoded));
    else
      Log("board", "unreadable_submission", "request={} why=\"{}\"", id.str(),
          std::get<Findings>(spec).text());
    return;
  }
  RegistryEntry &entry = Entries[id];
  if (kind == 'c') {
    if (!std::exchange(entry.CancelRequested, true) && OnJobChange)
      OnJobChange(id);
    return;
  }
  if (kind != 's')
    return;
  // Kept even if it can't be read, so that no owner goes on from the one
  // before.
  entry.State = *record.Value;
  const auto state = decodeWorkSummary(*record.Value);
  if (const auto *decoded = std::get_if<WorkSummary>(&state)) {
    entry.Phase = decoded->Phase;
    entry.WasPlaced = decoded->WasPlaced;
    entry.EndedAtMs = decoded->EndedAtMs;
  } else {
    Log("board", "unreadable_state", "request={} why=\"{}\"", id.str(),
        std::get<Findings>(state).text());
  }
}

void WorkRegistry::remove(char kind, const WorkId &id) {
  const auto found = Entries.find(id);
  if (found == Entries.end())
    return;
  RegistryEntry &entry = found->second;
  if (kind == 'j') {
    entry.Spec.reset();
  } else if (kind == 'c') {
    entry.CancelRequested = false;
  } else if (kind == 's') {
    entry.Phase = WorkPhase::Queued;
    entry.WasPlaced = false;
    entry.EndedAtMs = 0;
    entry.State.clear();
  }
  if (!entry.Spec && !entry.CancelRequested && entry.State.empty())
    Entries.erase(found);
}

void WorkRegistry::applySpec(WorkSpec spec) {
  RegistryEntry &entry = Entries[spec.Id];
  const bool wasUnfound = std::exchange(entry.Unfound, false);
  if (entry.Spec && !wasUnfound)
    return;
  const WorkId id = spec.Id;
  if (!entry.Spec)
    entry.Spec = std::move(spec);
  if (OnJobChange)
    OnJobChange(id);
}

std::size_t WorkRegistry::removeEndedExcept(const std::set<std::string> &keys) {
  for (auto &[id, entry] : Entries)
    entry.Unfound = !keys.contains(specKey(id)) && !keys.contains(stateKey(id));
  return std::erase_if(Entries, [](const auto &it) {
    return it.second.Unfound && ended(it.second.Phase);
  });
}

std::size_t WorkRegistry::removeUnfound() {
  return std::erase_if(Entries,
                       [](const auto &it) { return it.second.Unfound; });
}

const RegistryEntry *WorkRegistry::find(const WorkId &id) const {
  const auto it = Entries.find(id);
  return it == Entries.end() || !it->second.Spec ? nullptr : &it->second;
}

std::size_t WorkRegistry::queuedJobs(const QueueId &queue) const {
  std::size_t n = 0;
  for (const auto &[id, entry] : Entries)
    if (entry.Spec && entry.Spec->Queue == queue && !entry.CancelRequested &&
        entry.Phase == WorkPhase::Queued)
      ++n;
  return n;
}

} // namespace citrongap
