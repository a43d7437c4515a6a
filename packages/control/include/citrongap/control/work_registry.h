// Replica of all jobs on each entry VM, read from the store. It serves queries
// and is the state from which a new owner takes over.
#ifndef CITRONGAP_CONTROL_WORK_REGISTRY_H
#define CITRONGAP_CONTROL_WORK_REGISTRY_H

#include "citrongap/base/event_log.h"
#include "citrongap/store/store_port.h"
#include "citrongap/workload/work_state.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citrongap {

/// Keys of the jobs topic.
std::string specKey(const WorkId &id);
std::string stateKey(const WorkId &id);
std::string cancelKey(const WorkId &id);
/// Cancels a known job.
KeyedRecord cancellation(const WorkId &id);
/// Cancels the job if its submission is stored later, by the account that asked
/// for it and may cancel that job.
KeyedRecord earlyCancellation(const WorkId &id, const ClientAccountId &by);
/// Key of the address at which an entry VM accepts calls from peers.
std::string peerKey(const EntryVmId &id);

/// Key of the address of an entry VM that loads all jobs and answers questions
/// about them.
std::string holderKey(const EntryVmId &id);
/// Whether a client account may ask about the job and cancel it.
bool belongsTo(const WorkSpec &spec, const ClientAccountId &account);
/// Key of the end of the leases on a backend server; see leasesEndFrom().
std::string leaseEndKey(const BackendServerId &id);
/// Key by which an entry VM states that it writes and withdraws those.
std::string leaseEndWriterKey(const EntryVmId &id);
/// The addresses of peers and holders are the keys after this one.
std::string keyBeforePeers();

struct RegistryEntry {
  std::optional<WorkSpec> Spec;
  WorkPhase Phase = WorkPhase::Queued;
  std::int64_t EndedAtMs = 0;
  /// See WorkSummary.
  bool WasPlaced = false;
  bool CancelRequested = false;
  /// A cancellation that came when no submission of the job was known.
  struct EarlyCancellation {
    ClientAccountId By;
    MonoTime ReadAt;
  };
  std::optional<EarlyCancellation> CancelledEarly;
  /// Newest record of its state as stored, readable or not; empty before the
  /// first.
  std::string State;
  /// The latest load has not found it: it was deleted, or its submission
  /// follows in order.
  bool Unfound = false;
  /// The same of `CancelledEarly`.
  bool CancellationUnfound = false;
};

class WorkRegistry {
public:
  explicit WorkRegistry(EventLog &log) : Log(log) {}

  /// Applies one record of the jobs topic; unreadable records are logged.
  void apply(const KeyedRecord &record);
  /// Adds a job whose submission this entry VM has stored.
  void applySpec(WorkSpec spec);
  /// After a load of the whole topic: removes ended jobs of which neither the
  /// submission nor the state is among its keys. The pages are not one
  /// snapshot: of a job that was submitted during the load, only the state may
  /// be among them, and its records are not delivered again. Other jobs that
  /// are not among the keys become `Unfound`.
  /// Returns the number of removed jobs.
  std::size_t removeEndedExcept(const std::set<std::string> &keys);
  /// All that the store had at the end of the load was applied: removes the
  /// jobs that are still `Unfound`. Returns their number.
  std::size_t removeUnfound();

  /// Only jobs whose submission is known.
  const RegistryEntry *find(const WorkId &id) const;
  const std::map<WorkId, RegistryEntry> &all() const { return Entries; }
  /// Whether the account has cancelled the job before its submission was known.
  bool cancelledEarly(const WorkId &id, const ClientAccountId &by) const;
  /// Jobs without a submission that were cancelled before this time.
  std::vector<WorkId> earlyCancellationsBefore(MonoTime at) const;
  /// Number of jobs of the queue that are neither started nor cancelled.
  std::size_t queuedJobs(const QueueId &queue) const;

  /// Since when no lease on this server has been renewed, at the latest, as an
  /// owner has recorded and none has withdrawn; empty without such a record.
  /// The end of time while an entry VM of an earlier build, which withdraws
  /// none, may own the pod.
  std::optional<MonoTime> leasesEndFrom(const ServerIncarnation &server) const;
  /// Servers of which such a record was read before this time.
  std::vector<BackendServerId> leaseEndsReadBefore(MonoTime at) const;
  /// Stored ends of runs of the job, by key; see stored_run_ends.h. Empty
  /// unless an owner has left it out.
  const std::map<std::string, std::string> &runEnds(const WorkId &id) const;
  /// Latest record of the speeds of each group of machines, readable or not;
  /// see speed_records.h.
  const std::map<std::size_t, std::string> &speedRecords() const {
    return SpeedRecordOfGroup;
  }

  /// Called for each new submission or cancellation.
  std::function<void(const WorkId &id)> OnJobChange;
  /// Called with the published address of an entry VM, "IP:PORT".
  std::function<void(const EntryVmId &id, const std::string &at)> OnPeer;
  /// Called with the published address of an entry VM that loads all jobs.
  std::function<void(const EntryVmId &id, const std::string &at)> OnHolder;

private:
  /// Removes the part of the job that a key of this kind holds. The records of
  /// one key say nothing of the others: a load may be ahead of some keys only.
  void remove(char kind, const WorkId &id);
  void applyCancellation(const WorkId &id, const std::string &value);
  void applyLeaseEnd(const BackendServerId &id, const KeyedRecord &record);
  void applySpeeds(const KeyedRecord &record);
  void applyRunEnd(const KeyedRecord &record);
  /// An entry VM has published its address, or that it writes lease ends.
  void noteVm(const EntryVmId &id, bool writesLeaseEnds);

  EventLog &Log;
  std::map<WorkId, RegistryEntry> Entries;
  /// When the end of a server's leases was read, and the start of that
  /// incarnation.
  struct LeaseEnd {
    std::int64_t StartedAtMs = 0;
    MonoTime ReadAt;
  };
  std::map<BackendServerId, LeaseEnd> LeaseEnds;
  std::map<std::size_t, std::string> SpeedRecordOfGroup;
  std::map<WorkId, std::map<std::string, std::string>> RunEnds;
  /// Whether each known entry VM writes lease ends.
  std::map<EntryVmId, bool> Vms;
  /// Since when all of them do; empty if one does not.
  std::optional<MonoTime> AllWriteSince;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_WORK_REGISTRY_H
