// The owner of a pod. It takes over from the store and runs rounds of the
// planner. Each start is recorded before it is sent, and each run end before
// it is acknowledged. A fenced owner steps down.
#ifndef CITRONGAP_CONTROL_POD_CONTROLLER_H
#define CITRONGAP_CONTROL_POD_CONTROLLER_H

#include "citrongap/control/control_metrics.h"
#include "citrongap/control/owner_waits.h"
#include "citrongap/control/server_link.h"
#include "citrongap/control/site_configuration.h"
#include "citrongap/control/speed_records.h"
#include "citrongap/control/stored_run_ends.h"
#include "citrongap/control/work_registry.h"
#include "citrongap/store/batch_appender.h"
#include "citrongap/store/topic_reader.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace citrongap {

struct ControllerOptions {
  PlannerOptions Planner;
  LinkOptions Link;
  AppenderOptions Appender;
  /// Interval of rounds without an event, for due times and timeouts.
  Millis TickInterval{100};
  /// Interval of reads of the server list. A draining server must get no new
  /// runs after 2 s.
  Millis ServerListInterval{250};
  /// Starts are sent by a server list that was current at most this long ago.
  /// Shorter than the platform's bound for starts after a drain notice, by the
  /// time that an order may take.
  Millis MaxListAge{1300};
  /// An earlier owner may renew leases for this long after it lost ownership.
  Millis OwnershipTimeout{1500};
  /// Ended jobs can be queried for at least this long.
  Millis EndedJobRetention{150000};
  /// A cancellation without a submission is kept for as long. Longer than an
  /// entry VM tries to store a submission that it has called unknown.
  Millis EarlyCancellationRetention{150000};
  /// They are removed in this interval, 30 s later than required at the latest.
  Millis EndedJobCleanupInterval{10000};
  /// The store removes the entry of a server that has not reported for this
  /// long; the platform's three report intervals, less a tenth.
  Millis ReportTimeout{4050};
  /// Longest time from one read of the server list to the next in which no
  /// outage of the store goes unnoticed: three read intervals, so that a store
  /// that takes 400 ms is within it.
  Millis MaxReadGap{750};
  /// Time to wait for a missing entry to return; the platform's bound.
  Millis EntryReturnTimeout{3000};
  /// Interval of records of speeds. All VMs together append 600 to 1,200
  /// records a second.
  Millis SpeedRecordInterval{1000};
  /// Interval of the reviews of what the owner waits for, and the age from
  /// which an order without an outcome is logged.
  Millis WaitReviewInterval{1000};
  Millis LateOrderAge{2000};
};

/// Parses an entry of the server list; entries with findings are ignored.
using ServerEntryParser =
    std::function<Checked<ServerEntry>(const KeyedRecord &)>;

class PodController {
public:
  PodController(EventLoop &loop, StorePort &store, FleetPort &fleet,
                WorkRegistry &registry, TopicReader &jobsReader, EventLog &log,
                ControlMetrics &metrics, TopicId jobs, TopicId servers,
                ServerEntryParser parseServerEntry, ControllerOptions options);
  ~PodController();

  /// Becomes the owner under `epoch`: fences earlier owners, replays their
  /// records, then becomes active.
  void takeOver(Epoch epoch);
  /// Stops sending orders and recording; does nothing without ownership.
  void stepDown(const char *reason);
  /// Also true while the take-over is in progress.
  bool owns() const { return Planner != nullptr; }
  bool active() const { return Active; }

  void setGuarantees(std::map<ClientAccountId, std::int64_t> gpus);
  /// A configuration names these services. Entries of servers of a service that
  /// none has named, and no job uses, are ignored.
  void addServices(const std::set<std::string> &names);
  /// Data centres whose servers get no new runs.
  void setEvacuated(std::set<DataCentreId> dataCentres);
  /// A job was submitted or cancelled.
  void onJobChange(const WorkId &id);
  /// The jobs topic was applied to the registry up to `next`, exclusive.
  void onJobsReadUpTo(LogOffset next);
  /// Whether the ownership still lasts, asked before each order. The process
  /// may have been paused, and the end of the ownership not been reported yet.
  std::function<bool()> MayAct;
  /// Called after it stepped down by itself: a newer epoch has written or sent
  /// orders, or the store refused a record.
  std::function<void()> OnFenced;

private:
  void onFenceWritten(AppendOutcome outcome);
  void activate();
  void loadJob(const WorkId &id);
  /// Its runs are left alone, and their ends are kept in the store, until a
  /// later owner can read its state: it would start them again otherwise.
  void leaveOut(const WorkId &id, const std::string &why);
  /// The stored ends of runs of the job; empty if one can't be read.
  std::optional<std::vector<StoredRunEnd>>
  storedRunEnds(const WorkId &id) const;
  /// Passes them to the planner and has them removed from the store.
  void applyRunEnds(const std::vector<StoredRunEnd> &ends);
  std::optional<Resources> useOfLeftOut(const TaskName &task) const;
  void onServerRecord(const KeyedRecord &record);
  /// Applies again the entries that were ignored for their service.
  void reviewUnnamedEntries();
  /// Known incarnations of the entry's server and machine that can't run beside
  /// the entry's one.
  std::set<ServerIncarnation> rivalsOf(const ServerEntry &entry) const;
  /// Drops the incarnations that the entry's one replaces; false if the entry
  /// is of an earlier one, or until it is known that they don't answer.
  bool replaceRivals(const ServerEntry &entry, const KeyedRecord &record);
  /// Whether one of them may still live: its server is asked, and `record` is
  /// applied again if it does not answer.
  bool awaitsRivals(const std::set<ServerIncarnation> &rivals,
                    const ServerEntry &entry, const KeyedRecord &record);
  void onRivalChecked(const ServerIncarnation &rival,
                      const ServerIncarnation &claimant, bool alive);
  /// Applies the claims against which no server has spoken.
  void reviewClaims();
  /// `other` started later than `known`, or `known` is silent without runs.
  bool mayReplace(const ServerIncarnation &known,
                  const ServerIncarnation &other) const;
  /// It is known to have ended, or one that started later is listed.
  bool hasEnded(const ServerIncarnation &incarnation) const;
  void addLink(const ServerEntry &entry);
  /// Token for calls to the server's current incarnation. It is above that of
  /// calls for an earlier one, which the server refuses once it has seen it,
  /// until the epochs of this ownership are used up.
  LinkToken tokenFor(const BackendServerId &id) const;
  /// Has the server refuse starts that were sent to an earlier incarnation.
  void barLateStarts(const ServerIncarnation &incarnation, ServerLink &link);
  void dropServer(const ServerIncarnation &incarnation, const char *reason);
  /// Drops `ended`, which the server's incarnation `next` has followed. Runs
  /// whose start `next` may carry out move there.
  void replaceServer(const ServerIncarnation &ended,
                     const ServerIncarnation &next, const char *reason);
  void moveRuns(const std::vector<RunId> &runs, const ServerIncarnation &from,
                const ServerIncarnation &to);
  /// Calls for an earlier incarnation of the server, which `next` may carry out
  /// late, begin leases there.
  void expectLateCalls(const ServerIncarnation &next);
  /// Moves the runs of an ended incarnation without a link to the listed one if
  /// a start that an earlier owner sent may still be carried out; false if not.
  bool moveUnlistedRuns(const ServerIncarnation &from);
  void onEntryRemoved(const BackendServerId &id);
  /// Entries that were removed while the owner did not read are not among the
  /// keys of a load.
  void onServersLoaded(const std::set<std::string> &keys);
  /// After a gap between reads, in which entries may have lapsed with an outage
  /// of the store, earlier reports prove no departure.
  void onServersRead();
  /// Whether a start may be sent to the server by the list as it is known.
  StartPermission mayStart(const ServerIncarnation &incarnation);
  /// Time since the server list was current; before that, since the take-over.
  Millis listAge() const;
  /// Notes when the record of `id` that is being read was appended.
  void noteReport(const BackendServerId &id);
  /// Removes unreachable servers whose entry is missing: draining ones that
  /// have deregistered at once, others after `EntryReturnTimeout` if no runs
  /// are placed on them.
  void dropMissingServers();
  /// Takes over what the store says of the leases on this server.
  void readLeaseEnd(const ServerIncarnation &incarnation);
  /// Releases runs placed on incarnations that are not listed, or has the end
  /// of their leases recorded.
  void releaseUnlistedRuns();
  /// Latest end of leases that an earlier owner may have renewed, unless it
  /// recorded that it renews none, or of leases that begin with a call for an
  /// earlier incarnation.
  MonoTime inheritedLeaseEnd(const ServerIncarnation &incarnation) const;
  void scheduleRound();
  void runRound();
  void recordRound(PlannedRound round);
  void onRecorded(const PlannedRound &round,
                  const std::map<ServerIncarnation, std::uint64_t> &received,
                  const std::vector<ServerIncarnation> &renewable,
                  AppendOutcome outcome);
  /// Records on which servers no lease is renewed, so that a later owner need
  /// not wait as if one had been, and withdraws that before one is renewed.
  /// Adds the servers to `renewable` whose leases may be renewed once `records`
  /// are appended.
  void recordLeaseEnds(std::vector<KeyedRecord> &records,
                       std::vector<ServerIncarnation> &renewable);
  // Speeds of the machines: pod_controller_speeds.cpp.
  /// Takes over the stored speeds.
  void restoreSpeeds();
  /// Logs and counts what the latest round learned of the speeds.
  void reportSpeeds();
  /// Adds the speeds of a group of machines to records that are appended
  /// anyway, if they changed and fit into the same append.
  void recordSpeeds(std::vector<KeyedRecord> &records);
  /// Logs and counts the work that waits beside servers with room.
  void reportIdleWork();
  // For logs and metrics only: pod_controller_waits.cpp.
  void reviewWaits();
  /// Servers with placed runs that start elsewhere only after their leases.
  std::map<ServerIncarnation, WaitReason> leaseWaits() const;
  void clearWaits();
  /// Steps down, since records of a round were not appended.
  void onUnrecorded();
  void sendStarts(const PlannedRound &round);
  void deleteEndedJobs();
  ServerLink::Events linkEvents();

  EventLoop &Loop;
  StorePort &Store;
  FleetPort &Fleet;
  WorkRegistry &Registry;
  TopicReader &JobsReader;
  EventLog &Log;
  ControlMetrics &Metrics;
  TopicId JobsTopic;
  ServerEntryParser ParseServerEntry;
  ControllerOptions Options;
  TopicReader ServersReader;
  Epoch Token;
  std::unique_ptr<PodPlanner> Planner;
  SpeedRecords Speeds;
  std::unique_ptr<BatchAppender> Appender;
  std::map<ServerIncarnation, std::unique_ptr<ServerLink>> Links;
  /// Runs whose start the next incarnation of a server may carry out.
  struct LateStarts {
    MonoTime Until;
    std::vector<RunId> Runs;
  };
  std::map<BackendServerId, LateStarts> StartsOfDroppedLinks;
  /// Links that this owner has dropped, by server.
  std::map<BackendServerId, std::uint64_t> DroppedLinks;
  /// Links whose callbacks may be on the stack; destroyed in the next round.
  std::vector<std::unique_ptr<ServerLink>> RetiredLinks;
  /// Parts of the previous ownership, kept for the same reason.
  std::unique_ptr<PodPlanner> RetiredPlanner;
  std::unique_ptr<BatchAppender> RetiredAppender;
  /// Latest entry of each listed server.
  std::map<BackendServerId, ServerEntry> ListedServers;
  /// Services that a configuration has named or a job uses; before the first
  /// configuration, empty: any may exist.
  std::set<std::string> NamedServices;
  /// Latest entries that name another service, by server.
  std::map<BackendServerId, KeyedRecord> UnnamedEntries;
  /// Entry of an incarnation that would replace others, which are asked first.
  struct Claim {
    KeyedRecord Record;
    /// Whether each of them was asked without an answer; false while it is
    /// being asked.
    std::map<ServerIncarnation, bool> Silent;
  };
  std::map<ServerIncarnation, Claim> Claims;
  /// A listed server whose entry is missing. The server may still run.
  struct MissingEntry {
    MonoTime Since;
    /// The entry was removed sooner after a report than silence would have it
    /// removed, and the store was read without a failure or gap in between, so
    /// the server removed it itself.
    bool Deregistered = false;
  };
  std::map<BackendServerId, MissingEntry> MissingSince;
  /// The latest report of a server was appended after this time, and the store
  /// was read without a failure or gap since; otherwise there is no entry.
  std::map<BackendServerId, MonoTime> ReportedAfter;
  /// Time as of which the server list was last read.
  std::optional<MonoTime> ServersReadAsOf;
  /// A read failed, and none has succeeded since.
  bool ServersReadFailed = false;
  /// When an entry of each listed incarnation was last read.
  std::map<ServerIncarnation, MonoTime> LastReadAt;
  /// The current incarnation on each machine.
  std::map<std::string, ServerIncarnation> LatestIncarnations;
  /// Incarnations that have ended; stale entries of them may still be read.
  std::set<ServerIncarnation> EndedIncarnations;
  /// Latest end of leases that begin with a call for an earlier incarnation.
  std::map<ServerIncarnation, MonoTime> LateLeaseEnds;
  /// Since when no lease is renewed on servers of which the store says so.
  /// Invariant: no link renews one there.
  std::map<ServerIncarnation, MonoTime> LeasesEndFrom;
  /// Incarnations without a link of which the next round is to record it.
  std::vector<ServerIncarnation> UnlistedLeaseEnds;
  /// Incarnations that one with an earlier start has replaced. Their start
  /// proves no order any more.
  std::set<ServerIncarnation> ReplacedByEarlier;
  std::map<ClientAccountId, std::int64_t> Guarantees;
  std::set<DataCentreId> Evacuated;
  /// Jobs that have ended under this owner and were removed from the planner.
  /// The registry may still show an earlier state, as the record of their end
  /// has not been read yet.
  std::set<WorkId> UnreadEnds;
  /// Jobs whose state can't be read. Unless they are cancelled, their runs are
  /// not stopped.
  std::set<WorkId> LeftOut;
  /// Ends of their runs that the next round records.
  std::vector<KeyedRecord> UnrecordedLeftOutEnds;
  /// Stored ends that the planner has taken over; the next round removes them.
  std::vector<KeyedRecord> AppliedRunEnds;
  /// The jobs topic must be read up to here before the owner becomes active.
  std::optional<LogOffset> ReplayUpTo;
  /// Invariant: true only while `Planner` and `Appender` are set.
  bool Active = false;
  bool AppendInFlight = false;
  /// Starts wait, as of the latest mayStart().
  bool ListStale = false;
  MonoTime TookOverAt;
  MonoTime NextUnlistedCheck;
  /// Review of idle work that was last reported.
  MonoTime IdleReportOf;
  /// Main reason that was last logged for a step, by its first waiting task.
  std::map<TaskName, PassedOver> IdleReasons;
  OwnerWaits Waits;
  /// When the machines are next counted by speed for the metrics.
  MonoTime NextSpeedCount;
  Timer RoundTimer;
  Timer TickTimer;
  Timer CleanupTimer;
  Timer WaitsTimer;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_POD_CONTROLLER_H
