// Acceptance of configuration changes, and snapshots across retention.
#include "citrongap/ledger/configuration_log.h"

#include "citrongap/base/outcome.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace citrongap {

namespace {
/// Snapshots that may be incomplete at the same time.
constexpr std::size_t MaxAssemblies = 4;

/// Whether validate() reads anything that differs. Packing all guarantees is
/// costly, and most changes touch neither guarantees nor capacity.
bool mayInvalidate(const EntryChange &before, const EntryChange &after) {
  if (before.Value == after.Value)
    return false;
  if (!before.Value || !after.Value)
    return true;
  const auto *from = std::get_if<PlanEntry>(&*before.Value);
  const auto *to = std::get_if<PlanEntry>(&*after.Value);
  return !from || !to || from->Guaranteed != to->Guaranteed ||
         from->LargestGang != to->LargestGang;
}
} // namespace

ApplyResult ConfigurationLog::apply(const LogRecord &record) {
  if (record.Offset < Tail)
    return RecordIgnored{"already read"};
  retainFrom(record.Offset);
  Tail = record.Offset.next();
  const bool current = State.Next == record.Offset;
  if (current)
    State.Next = Tail;
  return std::visit(Overloaded{[&](const ConfigurationChange &change) {
                                 return current ? applyChange(change)
                                                : hold(record.Offset, change);
                               },
                               [&](const SnapshotPart &part) {
                                 return applyPart(part, record.Offset);
                               },
                               [&](const BrokenRecord &broken) -> ApplyResult {
                                 ++Broken;
                                 return RecordIgnored{broken.Reason};
                               }},
                    decodeRecord(record.Body));
}

void ConfigurationLog::retainFrom(LogOffset first) {
  if (first <= Tail)
    return;
  Tail = first;
  Held.clear();
  HeldFrom = first;
}

ApplyResult ConfigurationLog::applyChange(const ConfigurationChange &change) {
  Findings findings = tryChange(change);
  if (!findings.empty()) {
    ConfigurationRefused refused{change.Id, std::move(findings)};
    recordVerdict(change.Id, refused);
    return refused;
  }
  State.At = State.At.next();
  recordVerdict(change.Id, ConfigurationAccepted{State.At});
  return ConfigurationAccepted{State.At};
}

/// Empty when the change took effect; otherwise nothing has changed.
Findings ConfigurationLog::tryChange(const ConfigurationChange &change) {
  Findings findings;
  if (change.Base != State.At) {
    findings.add("base revision",
                 fmt::format("is {}, but revision {} is in force",
                             change.Base.value(), State.At.value()));
    return findings;
  }
  std::vector<EntryChange> undo;
  bool check = false;
  for (const EntryChange &it : change.Changes) {
    undo.push_back(applyEntry(State.Lists, it));
    check = check || mayInvalidate(undo.back(), it);
  }
  // What is in force is valid, so that other changes need no check.
  if (check)
    findings = validate(State.Lists);
  if (!findings.empty())
    for (auto it = undo.rbegin(); it != undo.rend(); ++it)
      applyEntry(State.Lists, *it);
  return findings;
}

ApplyResult ConfigurationLog::hold(LogOffset offset,
                                   const ConfigurationChange &change) {
  Held.emplace_back(offset, change);
  if (Held.size() > MaxHeld) {
    HeldFrom = Held.front().first.next();
    Held.pop_front();
  }
  return RecordHeld{};
}

ConfigurationLog::Assembly *
ConfigurationLog::assemblyOf(const SnapshotPart &part, LogOffset offset) {
  const auto it =
      std::find_if(Assemblies.begin(), Assemblies.end(),
                   [&](const Assembly &a) { return a.Head.Id == part.Id; });
  if (it != Assemblies.end()) {
    const bool same = it->Head.Next == part.Next && it->Head.At == part.At &&
                      it->Head.Parts == part.Parts;
    return same ? &*it : nullptr;
  }
  if (Assemblies.size() == MaxAssemblies)
    Assemblies.pop_front();
  Assemblies.push_back({part, offset, {}});
  Assemblies.back().Head.Entries.clear();
  return &Assemblies.back();
}

ApplyResult ConfigurationLog::applyPart(const SnapshotPart &part,
                                        LogOffset offset) {
  Assembly *assembly = assemblyOf(part, offset);
  if (!assembly || part.Next > offset) {
    ++Broken;
    return RecordIgnored{"a snapshot part that contradicts the others"};
  }
  // The entries themselves matter only when the snapshot would be adopted.
  assembly->Parts.emplace(part.Part, part.Next > State.Next
                                         ? part.Entries
                                         : std::vector<EntryChange>());
  if (assembly->Parts.size() < assembly->Head.Parts)
    return RecordIgnored{"part of a snapshot"};
  ConfigurationSnapshot snapshot{part.Next, part.At, {}};
  for (const auto &[n, entries] : assembly->Parts)
    for (const EntryChange &it : entries)
      applyEntry(snapshot.Lists, it);
  if (!Newest || Newest->Next < part.Next)
    Newest = SnapshotPosition{assembly->First, part.Next};
  std::erase_if(Assemblies,
                [&](const Assembly &a) { return a.Head.Id == part.Id; });
  if (!adopt(snapshot))
    return RecordIgnored{"a snapshot that is not needed"};
  return ConfigurationAccepted{State.At};
}

bool ConfigurationLog::adopt(const ConfigurationSnapshot &snapshot) {
  if (snapshot.Next <= State.Next || snapshot.At < State.At)
    return false;
  State = snapshot;
  if (State.Next >= Tail) {
    Tail = State.Next;
    Held.clear();
  } else if (State.Next >= HeldFrom) {
    replayHeld();
  }
  return true;
}

void ConfigurationLog::replayHeld() {
  for (const auto &[offset, change] : Held)
    if (offset >= State.Next)
      applyChange(change);
  State.Next = Tail;
  Held.clear();
}

void ConfigurationLog::recordVerdict(const std::string &id,
                                     ChangeVerdict verdict) {
  const auto it = Verdicts.find(id);
  if (it != Verdicts.end()) {
    if (std::holds_alternative<ConfigurationAccepted>(verdict))
      it->second = std::move(verdict);
    return;
  }
  Verdicts.emplace(id, std::move(verdict));
  VerdictOrder.push_back(id);
  if (VerdictOrder.size() <= MaxVerdicts)
    return;
  Verdicts.erase(VerdictOrder.front());
  VerdictOrder.pop_front();
}

std::optional<ChangeVerdict>
ConfigurationLog::verdictOf(const std::string &id) const {
  const auto it = Verdicts.find(id);
  return it == Verdicts.end() ? std::nullopt : std::optional(it->second);
}

} // namespace citrongap
