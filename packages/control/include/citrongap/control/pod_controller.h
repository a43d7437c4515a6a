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
using ReadServerEntry =
    std::function<Checked<ServerEntry>(const KeyedRecord &)>;

class PodController {
public:
  PodController(EventLoop &loop, StorePort &store, FleetPort &fleet,
                WorkRegistry &board, TopicReader &jobsTail, EventLog &log,
                ControlMetrics &metrics, TopicId jobs, TopicId servers,
                ReadServerEntry readEntry, ControllerOptions terms);
  ~PodController();

  /// Becomes the owner under `epoch`: fences earlier owners, reads what they
  /// wrote, then acts.
  void takeOver(Epoch epoch);
  /// Gives no more orders.
  void stepDown(const char *reason);
  bool owns() const { return Planner != nullptr; }
  bool active() const { return ActiveOwner; }

  void setGuarantees(std::map<ClientAccountId, std::int64_t> gpus);
  /// A job came, or was cancelled.
  void onNews(const WorkId &id);
  /// Records up to `next` of the jobs topic were applied to the board.
  void onTailAt(LogOffset next);
  /// It stepped down by itself: a newer epoch has written or given orders, or a
  /// record was refused.
  std::function<void()> OnFenced;

private:
  void onFenceWritten(bool appended);
  void activate();
  void adopt(const WorkId &id);
  void onServerRecord(const KeyedRecord &record);
  /// The entry is of a life that has ended; ends the one before a new life.
  bool isOver(const ServerEntry &entry);
  void addLink(const ServerEntry &entry);
  void dropServer(const ServerIncarnation &life, const char *reason);
  void dropVanished();
  /// Frees runs on lives that are in no list.
  void releaseUnlisted();
  /// No lease that an earlier owner renewed can end later.
  MonoTime inheritedLeasesEndBy() const;
  void changed();
  void step();
  void record(PlannedRound round);
  void onRecorded(const PlannedRound &round,
                  const std::map<ServerIncarnation, std::uint64_t> &seen,
                  bool appended);
  void send(const PlannedRound &round);
  void forgetEnded();
  ServerLink::Events linkEvents();

  EventLoop &Loop;
  StorePort &Store;
  FleetPort &Fleet;
  WorkRegistry &Board;
  TopicReader &JobsTail;
  EventLog &Log;
  ControlMetrics &Metrics;
  TopicId Jobs;
  ReadServerEntry ReadEntry;
  ControllerOptions Terms;
  TopicReader ServersTail;
  Epoch Token;
  std::unique_ptr<PodPlanner> Planner;
  std::unique_ptr<BatchAppender> Appender;
  std::map<ServerIncarnation, std::unique_ptr<ServerLink>> Links;
  /// Links whose callbacks may be running; freed at the next step.
  std::vector<std::unique_ptr<ServerLink>> Retired;
  /// Of the last ownership, for the same reason.
  std::unique_ptr<PodPlanner> OldPlanner;
  std::unique_ptr<BatchAppender> OldAppender;
  /// Last entry of each listed server.
  std::map<BackendServerId, ServerEntry> Listed;
  /// Entries that vanished while the server may live, and since when.
  std::map<BackendServerId, MonoTime> Vanished;
  /// The life that began last on each machine.
  std::map<std::string, ServerIncarnation> LatestLives;
  /// Lives that have ended; their entries may still be read.
  std::set<ServerIncarnation> OverLives;
  std::map<ClientAccountId, std::int64_t> Guarantees;
  /// The jobs topic must be read up to here before acting.
  std::optional<LogOffset> CatchUpTo;
  /// Invariant: only while `Planner` and `Appender` are there.
  bool ActiveOwner = false;
  bool Recording = false;
  MonoTime TookOverAt;
  Timer StepSoon;
  Timer Tick;
  Timer Sweep;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_POD_CONTROLLER_H
