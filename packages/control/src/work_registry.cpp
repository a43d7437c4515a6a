// Keys of the jobs topic. With the id of a job: "j/" submission, "s/" state,
// "c/" cancellation. With the id of an entry VM: "v/" address for peers, "w/"
// the same of one that loads all jobs, "m/" that it writes lease ends. With the
// id of a backend server: "l/" end of the leases on it. With the number of a
// group of machines: "x/" their speeds. With a task and the number of a run:
// "e/" its end, if the job is left out.
#include "citrongap/control/work_registry.h"

#include "citrongap/control/speed_records.h"
#include "citrongap/control/stored_run_ends.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace citrongap {

namespace {

/// Begins the value of a cancellation that came before the submission; the
/// account follows.
constexpr std::string_view EarlyMark = "?";

} // namespace

std::string specKey(const WorkId &id) { return "j/" + id.str(); }
std::string stateKey(const WorkId &id) { return "s/" + id.str(); }
std::string cancelKey(const WorkId &id) { return "c/" + id.str(); }
KeyedRecord cancellation(const WorkId &id) { return {cancelKey(id), "1"}; }
KeyedRecord earlyCancellation(const WorkId &id, const ClientAccountId &by) {
  return {cancelKey(id), std::string(EarlyMark) + by.str()};
}
std::string peerKey(const EntryVmId &id) { return "v/" + id.str(); }
std::string holderKey(const EntryVmId &id) { return "w/" + id.str(); }
std::string leaseEndKey(const BackendServerId &id) { return "l/" + id.str(); }
std::string leaseEndWriterKey(const EntryVmId &id) { return "m/" + id.str(); }
std::string keyBeforePeers() { return "u"; }

bool belongsTo(const WorkSpec &spec, const ClientAccountId &account) {
  return spec.Account.empty() || spec.Account == account;
}

void WorkRegistry::apply(const KeyedRecord &record) {
  const auto slash = record.Key.find('/');
  if (slash != 1)
    return;
  const char kind = record.Key[0];
  if (kind == 'l') {
    applyLeaseEnd(BackendServerId(record.Key.substr(2)), record);
    return;
  }
  if (kind == 'x') {
    applySpeeds(record);
    return;
  }
  if (kind == 'e') {
    applyRunEnd(record);
    return;
  }
  if (record.Value && (kind == 'v' || kind == 'm'))
    noteVm(EntryVmId(record.Key.substr(2)), kind == 'm');
  if (kind == 'm')
    return;
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
  if (kind == 'c') {
    applyCancellation(id, *record.Value);
    return;
  }
  RegistryEntry &entry = Entries[id];
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

void WorkRegistry::applyCancellation(const WorkId &id,
                                     const std::string &value) {
  RegistryEntry &entry = Entries[id];
  if (value.starts_with(EarlyMark)) {
    const ClientAccountId by(value.substr(EarlyMark.size()));
    entry.CancelledEarly = {by, monoNow()};
    entry.CancellationUnfound = false;
    if (!entry.Spec || !belongsTo(*entry.Spec, by))
      return;
  }
  if (!std::exchange(entry.CancelRequested, true) && OnJobChange)
    OnJobChange(id);
}

void WorkRegistry::applyLeaseEnd(const BackendServerId &id,
                                 const KeyedRecord &record) {
  LeaseEnds.erase(id);
  if (!record.Value)
    return;
  const std::string &text = *record.Value;
  LeaseEnd end{0, monoNow()};
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), end.StartedAtMs);
  if (read.ec == std::errc() && read.ptr == text.data() + text.size())
    LeaseEnds.emplace(id, end);
}

void WorkRegistry::applySpeeds(const KeyedRecord &record) {
  const std::optional<std::size_t> group = speedGroupOfKey(record.Key);
  if (!group)
    return;
  if (record.Value)
    SpeedRecordOfGroup[*group] = *record.Value;
  else
    SpeedRecordOfGroup.erase(*group);
}

void WorkRegistry::applyRunEnd(const KeyedRecord &record) {
  const WorkId id = workOfRunEnd(record.Key);
  std::map<std::string, std::string> &ends = RunEnds[id];
  if (record.Value)
    ends.insert_or_assign(record.Key, *record.Value);
  else
    ends.erase(record.Key);
  if (ends.empty())
    RunEnds.erase(id);
}

const std::map<std::string, std::string> &
WorkRegistry::runEnds(const WorkId &id) const {
  static const std::map<std::string, std::string> None;
  const auto found = RunEnds.find(id);
  return found == RunEnds.end() ? None : found->second;
}

void WorkRegistry::noteVm(const EntryVmId &id, bool writesLeaseEnds) {
  bool &writes = Vms[id];
  writes = writes || writesLeaseEnds;
  const bool all = std::all_of(Vms.begin(), Vms.end(),
                               [](const auto &it) { return it.second; });
  if (!all)
    AllWriteSince.reset();
  else if (!AllWriteSince)
    AllWriteSince = monoNow();
}

std::optional<MonoTime>
WorkRegistry::leasesEndFrom(const ServerIncarnation &server) const {
  const auto it = LeaseEnds.find(server.Id);
  if (it == LeaseEnds.end() || it->second.StartedAtMs != server.StartedAtMs)
    return std::nullopt;
  // An owner of an earlier build may have renewed leases until then.
  return std::max(it->second.ReadAt, AllWriteSince.value_or(MonoTime::max()));
}

std::vector<BackendServerId>
WorkRegistry::leaseEndsReadBefore(MonoTime at) const {
  std::vector<BackendServerId> out;
  for (const auto &[id, end] : LeaseEnds)
    if (end.ReadAt < at)
      out.push_back(id);
  return out;
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
    entry.CancelledEarly.reset();
  } else if (kind == 's') {
    entry.Phase = WorkPhase::Queued;
    entry.WasPlaced = false;
    entry.EndedAtMs = 0;
    entry.State.clear();
  }
  if (!entry.Spec && !entry.CancelRequested && !entry.CancelledEarly &&
      entry.State.empty())
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
  if (entry.CancelledEarly && belongsTo(*entry.Spec, entry.CancelledEarly->By))
    entry.CancelRequested = true;
  if (OnJobChange)
    OnJobChange(id);
}

std::size_t WorkRegistry::removeEndedExcept(const std::set<std::string> &keys) {
  std::erase_if(LeaseEnds, [&](const auto &it) {
    return !keys.contains(leaseEndKey(it.first));
  });
  std::erase_if(SpeedRecordOfGroup, [&](const auto &it) {
    return !keys.contains(speedKey(it.first));
  });
  for (auto &[id, ends] : RunEnds)
    std::erase_if(ends,
                  [&](const auto &it) { return !keys.contains(it.first); });
  std::erase_if(RunEnds, [](const auto &it) { return it.second.empty(); });
  for (auto &[id, entry] : Entries) {
    entry.Unfound = !keys.contains(specKey(id)) && !keys.contains(stateKey(id));
    entry.CancellationUnfound = !keys.contains(cancelKey(id));
  }
  return std::erase_if(Entries, [](const auto &it) {
    return it.second.Unfound && ended(it.second.Phase);
  });
}

std::size_t WorkRegistry::removeUnfound() {
  for (auto &[id, entry] : Entries)
    if (entry.Unfound && entry.CancelledEarly && !entry.CancellationUnfound) {
      RegistryEntry kept;
      kept.CancelledEarly = std::move(entry.CancelledEarly);
      entry = std::move(kept);
    }
  return std::erase_if(Entries,
                       [](const auto &it) { return it.second.Unfound; });
}

const RegistryEntry *WorkRegistry::find(const WorkId &id) const {
  const auto it = Entries.find(id);
  return it == Entries.end() || !it->second.Spec ? nullptr : &it->second;
}

bool WorkRegistry::cancelledEarly(const WorkId &id,
                                  const ClientAccountId &by) const {
  const auto it = Entries.find(id);
  return it != Entries.end() && it->second.CancelledEarly &&
         it->second.CancelledEarly->By == by;
}

std::vector<WorkId> WorkRegistry::earlyCancellationsBefore(MonoTime at) const {
  std::vector<WorkId> out;
  for (const auto &[id, entry] : Entries)
    if (entry.CancelledEarly && entry.CancelledEarly->ReadAt < at &&
        !entry.Spec && entry.State.empty())
      out.push_back(id);
  return out;
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
