// The owner of a pod: takes over from the store, runs rounds of the planner,
// records each start before it is ordered and each end before the server may
// forget it, and gives up when a newer owner has written.
#ifndef CITRONGAP_CONTROL_POD_CONTROLLER_H
#define CITRONGAP_CONTROL_POD_CONTROLLER_H

#include "citrongap/control/control_metrics.h"
#include "citrongap/control/server_link.h"
#include "citrongap/control/site_configuration.h"
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
  /// Between rounds when nothing happens; due times and waits are checked.
  Millis TickInterval{100};
  /// Between reads of the list of servers; a leaving server is to get no new
  /// work after 2 s.
  Millis ServerListInterval{250};
  /// An earlier owner may renew leases for so long after losing ownership.
  Millis OwnershipTimeout{1500};
  /// Ended jobs are answered for at least so long.
  Millis EndedJobRetention{150000};
  /// An entry that vanished is waited for so long; from the platform's pages.
  Millis EntryReturnTimeout{3000};
};

/// Reads an entry of the list of servers; findings for those to ignore.
using ServerEntryParser =
    std::function<Checked<ServerEntry>(const KeyedRecord &)>;

class PodController {
public:
  PodController(EventLoop &loop, StorePort &store, FleetPort &fleet,
                WorkRegistry &registry, TopicReader &jobsReader, EventLog &log,
                ControlMetrics &metrics, TopicId jobs, TopicId servers,
                ServerEntryParser parseServerEntry, ControllerOptions options);
  ~PodController();

  /// Becomes the owner under `epoch`: fences earlier owners, reads what they
  /// wrote, then acts.
  void takeOver(Epoch epoch);
  /// Gives no more orders.
  void stepDown(const char *reason);
  bool owns() const { return Planner != nullptr; }
  bool active() const { return Active; }

  void setGuarantees(std::map<ClientAccountId, std::int64_t> gpus);
  /// A job came, or was cancelled.
  void onJobChange(const WorkId &id);
  /// Records up to `next` of the jobs topic were applied to the board.
  void onJobsReadUpTo(LogOffset next);
  /// It stepped down by itself: a newer epoch has written or given orders, or a
  /// record was refused.
  std::function<void()> OnFenced;

private:
  void onFenceWritten(bool appended);
  void activate();
  void loadJob(const WorkId &id);
  void onServerRecord(const KeyedRecord &record);
  /// The entry is of a life that has ended; ends the one before a new life.
  bool hasEnded(const ServerEntry &entry);
  void addLink(const ServerEntry &entry);
  void dropServer(const ServerIncarnation &incarnation, const char *reason);
  void dropMissingServers();
  /// Frees runs on lives that are in no list.
  void releaseUnlistedRuns();
  /// No lease that an earlier owner renewed can end later.
  MonoTime inheritedLeaseEnd() const;
  void scheduleRound();
  void runRound();
  void recordRound(PlannedRound round);
  void onRecorded(const PlannedRound &round,
                  const std::map<ServerIncarnation, std::uint64_t> &received,
                  bool appended);
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
  std::unique_ptr<BatchAppender> Appender;
  std::map<ServerIncarnation, std::unique_ptr<ServerLink>> Links;
  /// Links whose callbacks may be running; freed at the next step.
  std::vector<std::unique_ptr<ServerLink>> RetiredLinks;
  /// Of the last ownership, for the same reason.
  std::unique_ptr<PodPlanner> RetiredPlanner;
  std::unique_ptr<BatchAppender> RetiredAppender;
  /// Last entry of each listed server.
  std::map<BackendServerId, ServerEntry> ListedServers;
  /// Entries that vanished while the server may live, and since when.
  std::map<BackendServerId, MonoTime> MissingSince;
  /// The life that began last on each machine.
  std::map<std::string, ServerIncarnation> LatestIncarnations;
  /// Lives that have ended; their entries may still be read.
  std::set<ServerIncarnation> EndedIncarnations;
  std::map<ClientAccountId, std::int64_t> Guarantees;
  /// The jobs topic must be read up to here before acting.
  std::optional<LogOffset> ReplayUpTo;
  /// Invariant: only while `Planner` and `Appender` are there.
  bool Active = false;
  bool AppendInFlight = false;
  MonoTime TookOverAt;
  Timer RoundTimer;
  Timer TickTimer;
  Timer CleanupTimer;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_POD_CONTROLLER_H
