// Every entry VM's view of all jobs, read from the store: enough to answer
// callers, and to take over as owner.
#ifndef CITRONGAP_CONTROL_WORK_REGISTRY_H
#define CITRONGAP_CONTROL_WORK_REGISTRY_H

#include "citrongap/base/event_log.h"
#include "citrongap/store/store_port.h"
#include "citrongap/workload/work_state.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace citrongap {

/// Keys of the topic of jobs.
std::string specKey(const WorkId &id);
std::string stateKey(const WorkId &id);
std::string cancelKey(const WorkId &id);
/// Where an entry VM takes calls of its peers.
std::string peerKey(const EntryVmId &id);

struct RegistryEntry {
  std::optional<WorkSpec> Spec;
  WorkPhase Phase = WorkPhase::Queued;
  std::int64_t EndedAtMs = 0;
  bool CancelAsked = false;
  /// Newest record of its state as stored; empty before the first.
  std::string State;
};

class WorkRegistry {
public:
  explicit WorkRegistry(EventLog &log) : Log(log) {}

  /// Takes over one record of the topic; unreadable ones are logged.
  void apply(const KeyedRecord &record);
  /// A job whose submission this node saw stored.
  void applySpec(WorkSpec spec);
  /// The whole topic is about to be read again.
  void clear() { Entries.clear(); }

  /// Only jobs whose submission is known.
  const RegistryEntry *find(const WorkId &id) const;
  const std::map<WorkId, RegistryEntry> &all() const { return Entries; }
  std::size_t queuedJobs(const QueueId &queue) const;

  /// A submission or cancellation was read that was not known.
  std::function<void(const WorkId &id)> OnJobChange;
  /// An entry VM tells where its peers reach it: "IP:PORT".
  std::function<void(const EntryVmId &id, const std::string &at)> OnPeer;

private:
  EventLog &Log;
  std::map<WorkId, RegistryEntry> Entries;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_WORK_REGISTRY_H
