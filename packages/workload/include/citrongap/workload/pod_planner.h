// Decides for one pod what starts where and what is stopped. It knows all jobs
// and backend servers of the pod and does no I/O: events come in, orders go
// out of plan(). The caller records the changed jobs in the store before it
// sends a start.
#ifndef CITRONGAP_WORKLOAD_POD_PLANNER_H
#define CITRONGAP_WORKLOAD_POD_PLANNER_H

#include "citrongap/policy/run_time_estimator.h"
#include "citrongap/policy/server_health.h"
#include "citrongap/workload/room_making.h"
#include "citrongap/workload/server_table.h"
#include "citrongap/workload/soonest_room.h"
#include "citrongap/workload/vector_packing.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace citrongap {

/// How a run ended, as a backend server lists it.
enum class RunOutcome : std::uint8_t {
  Done,
  /// By its own fault or the server's.
  Failed,
  /// By an order.
  Stopped,
  LeaseExpired,
  /// Another member of the gang ended.
  GangBroken,
  /// The other members of the gang did not come in time.
  GangIncomplete
};

const char *describe(RunOutcome how);

/// Why a backend server did not start a run.
enum class StartRefusal : std::uint8_t { NoRoom, StaleRun, Unhealthy, Invalid };

struct StartOrder {
  TaskName Task;
  std::uint32_t Run = 0;
  ServerIncarnation Server;
  std::string Payload;
  std::string Checkpoint;
  /// What decided it, for the log: rank in the order of waiting work, time
  /// waited, and whether it is near its data or in one rack as asked.
  std::uint32_t Rank = 0;
  Millis Waited{0};
  bool PreferredPlacement = true;
  /// Its job was expected to miss its objective, so that others went first.
  bool ExpectedLate = false;
};

struct StopOrder {
  TaskName Task;
  std::uint32_t Run = 0;
  ServerIncarnation Server;
  const char *Reason = "";
};

struct PlannedRound {
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
};

struct PlannerOptions {
  /// Times as long a task takes away from its data or over several racks; the
  /// platform's bound.
  double RemoteSlowdown = 3;
  /// Wait for room before lower priorities are stopped for priority 0; the
  /// bound on reclaiming less the time that a stop and a start take.
  Millis PreemptAfter{1500};
  /// The same for priority 0 beyond the guarantee, which no bound protects.
  Millis UrgentPreemptAfter{7000};
  /// Room is made at once when that throws away at most this part of the
  /// urgent work's own core-seconds: being late costs it a fifth of its worth.
  double CheapWaste = 0.4;
  /// Share of the servers that stay empty for priority 0 while other work can
  /// wait without being late.
  double UrgentReserveShare = 0.125;
  /// Kept for it firmly: as much as it asked for over `ArrivalsOver`, for a
  /// time of `ReserveAhead`; a stop takes up to 0.9 s.
  double MaxArrivingShare = 0.35;
  Millis ArrivalsOver{4000};
  Millis ReserveAhead{1000};
  /// Other work waits this long, or its estimate if that lies between, before
  /// it uses servers kept for priority 0.
  Millis MinReserveWait{2000};
  Millis MaxReserveWait{6000};
  /// Longest wait for room near the data, whatever the break-even, which is the
  /// usual run time times (RemoteSlowdown - 1): time that a far run would not
  /// make up for, and that it would take from others.
  Millis MaxNearWait{30000};
  Millis MinNearWait{1000};
  /// Waiting time from which servers are kept free for a gang.
  Millis ReserveAfter{300};
  /// A stop takes up to this long; the platform's bound.
  Millis StopWithin{900};
  /// Expected ends are worked out again after this; they change by percents.
  Millis ReleasesUsable{250};
  /// Gangs for which servers are kept free at one time.
  std::uint32_t MaxReservations = 16;
  /// Without progress for so long, a run is restarted elsewhere; two reports
  /// of a server lie within 2 s each.
  Millis StalledAfter{5000};
  /// The same where the server has told in between that there was none; just
  /// below the 2 s of a long poll. Both double with each such stop of a task.
  Millis ListedStalledAfter{1900};
  /// A task's last attempt waits so long for a server on which other work gets
  /// on; then for one on which nothing failed, if any could hold it when empty.
  /// A failed job earns nothing, a late one some.
  Millis LastAttemptWait{6000};
  /// The same for a job of which nothing is at work; the platform's pages allow
  /// 3 s without a start where there is room.
  Millis IdleJobWait{2000};
  /// Jobs last seconds here: two of them that fail on one server within 10 s
  /// tell more of it than of them, and a probe costs one of their attempts.
  ServerHealthOptions Health{.HalfLife = Millis(10000),
                             .MinFailures = 1.5,
                             .FirstQuarantine = Millis(5000)};
  /// A server that refused a start gets none for so long; its lists then tell
  /// what takes the room.
  Millis RefusedPause{400};
  /// Not confirmed for so long, a gang's start is given up; below the time
  /// after which members end by themselves.
  Millis GangConfirmTimeout{2000};
};

/// A job at work; `Record` is what the store is to hold.
struct PlannedWork {
  WorkSpec Spec;
  WorkRecord Record;
};

class PodPlanner {
public:
  explicit PodPlanner(PlannerOptions terms)
      : Terms(terms), Health(terms.Health) {}

  /// Accelerators that each account holds for jobs of priority 0.
  void setGuarantees(std::map<ClientAccountId, std::int64_t> gpus) {
    Guarantees = std::move(gpus);
  }

  // Backend servers.
  void putServer(const ServerEntry &entry, MonoTime now);
  void setReachable(const BackendServerId &id, bool reachable);
  void setListed(const BackendServerId &id, bool listed);
  /// Everything that ran on this life is gone; its runs may start elsewhere.
  void removeIncarnation(const ServerIncarnation &life, MonoTime now);
  /// Everything that ran on this life has lost its lease; it may come back.
  void expireLeases(const ServerIncarnation &life, MonoTime now);

  // Jobs. A known id is left as it is.
  void addWork(const WorkSpec &spec, WorkRecord record, MonoTime now);
  void cancel(const WorkId &id, std::int64_t wallMs);

  // What backend servers say of runs. Reports on other than the current run of
  // a task, or of another server, change nothing.
  void recordStart(const TaskName &task, std::uint32_t run,
                   const ServerIncarnation &on, MonoTime now);
  void recordStartRefusal(const TaskName &task, std::uint32_t run,
                          const ServerIncarnation &on, StartRefusal why,
                          MonoTime now);
  /// The server refused a start that may have been carried out before: the run
  /// is stopped, and frees its place once that is settled.
  void abandonStart(const TaskName &task, std::uint32_t run,
                    const ServerIncarnation &on);
  void recordProgress(const TaskName &task, std::uint32_t run,
                      const ServerIncarnation &on, int percent, MonoTime now);
  void recordRunEnd(const TaskName &task, std::uint32_t run,
                    const ServerIncarnation &on, RunOutcome how,
                    const std::string &checkpoint, MonoTime now,
                    std::int64_t wallMs);
  /// The server neither runs nor remembers the run.
  void recordMissingRun(const TaskName &task, std::uint32_t run,
                        const ServerIncarnation &on, MonoTime now);

  /// The run is the task's current one there, and is not to be stopped.
  bool isCurrentRun(const TaskName &task, std::uint32_t run,
                    const ServerIncarnation &on) const;
  /// Runs placed on a server, whether they are to be stopped or not.
  std::vector<StartOrder> runsPlacedOn(const ServerIncarnation &life) const;

  /// Lives on which runs are placed.
  std::vector<ServerIncarnation> incarnationsWithRuns() const;

  /// One round of decisions. `wallMs` decides which occurrences are due.
  PlannedRound plan(MonoTime now, std::int64_t wallMs);

  /// Jobs whose records changed since the last call.
  std::set<WorkId> takeChangedWork();
  const PlannedWork *find(const WorkId &id) const;
  const ServerTable &servers() const { return Servers; }
  /// Drops jobs that ended and have no run left; gives their ids.
  std::vector<WorkId> removeEndedWork();

private:
  struct Unit;
  struct Victims;
  TaskRecord *current(const TaskName &task, std::uint32_t run,
                      const ServerIncarnation &on);
  const TaskRecord *taskOf(const TaskName &task) const;
  StepRecord &stepOf(const TaskName &task);
  const StepSpec &specOf(const TaskName &task) const;
  void release(const TaskName &task, TaskRecord &record, MonoTime now);
  void wantStop(const TaskName &task, TaskRecord &record, const char *reason);
  void countFailure(const TaskName &task, std::uint32_t run,
                    std::int64_t wallMs);
  void finish(const WorkId &id, PlannedWork &work, WorkPhase phase,
              std::int64_t wallMs);
  void stopAll(const WorkId &id, PlannedWork &work, const char *reason);
  void checkDone(const WorkId &id, PlannedWork &work, std::int64_t wallMs);
  void stopGang(const TaskName &member, const char *reason);

  // One round: pod_planner_round.cpp, and pod_planner_room.cpp for what is
  // stopped or kept free.
  void addDueOccurrences(PlannedWork &work, std::int64_t wallMs, MonoTime now);
  std::vector<Unit> collectWaiting(MonoTime now, std::int64_t wallMs);
  void collectStep(const WorkId &id, PlannedWork &work, std::uint32_t k,
                   std::uint32_t step, MonoTime now, std::int64_t wallMs,
                   std::vector<Unit> &out);
  std::vector<PackingServer> packingView(MonoTime now) const;
  void countSameStep(const Unit &unit, std::vector<PackingServer> &view) const;
  /// `view` tells whether sound servers could hold the unit at all.
  PackingRequest requestOf(const Unit &unit,
                           const std::vector<PackingServer> &view,
                           bool nearOnly) const;
  /// Attempts of the unit that have failed; of tasks, the most of any.
  std::uint32_t failuresOf(const Unit &unit) const;
  /// Places the tasks of a step one by one; true when all were.
  bool placeEach(const Unit &unit, std::vector<PackingServer> &view,
                 MonoTime now, PlannedRound &round);
  bool place(const Unit &unit, std::vector<PackingServer> &view, MonoTime now,
             PlannedRound &round);
  void start(const Unit &unit, const std::vector<PackingServer> &view,
             const std::vector<std::size_t> &at, bool near, MonoTime now,
             PlannedRound &round);
  /// Stops work of lower rank so that the unit fits; true when it will.
  bool preempt(const Unit &unit, std::vector<PackingServer> &view,
               MonoTime now);
  std::vector<Victims> victimsBelow(std::uint32_t rank,
                                    const std::vector<PackingServer> &view,
                                    MonoTime now) const;
  /// Core-seconds of the unit's tasks, by the caller's estimate.
  double ownWork(const Unit &unit) const;
  /// Marks servers that wait for urgent work.
  void reserveForUrgent(std::vector<PackingServer> &view, MonoTime now) const;
  /// Share of the accelerators that priority 0 will ask for before room could
  /// be made for it, as it did of late.
  double arrivingShare(const std::vector<PackingServer> &view,
                       MonoTime now) const;
  /// When what runs on each server is expected to end; worked out anew each
  /// `ReleasesUsable`.
  const Releases &expectedReleases(MonoTime now);
  void watchRuns(MonoTime now);
  bool stalls(const TaskRecord &task, const StepSpec &spec, MonoTime now) const;
  void moveOffDraining(MonoTime now);
  std::uint32_t rankOf(const PlannedWork &work) const;
  /// How long a task of the step runs, by what tasks of its queue took of late.
  Millis usualRun(const PlannedWork &work, const StepSpec &step) const;
  /// Started now, the job would still miss the objective of its queue.
  bool lateAnyway(const PlannedWork &work, const Unit &unit,
                  std::int64_t wallMs) const;
  void countDemand();

  PlannerOptions Terms;
  ServerTable Servers;
  ServerHealth Health;
  std::map<WorkId, PlannedWork> Works;
  /// Placed runs of each server; Invariant: agrees with the records.
  std::map<ServerIncarnation, std::set<TaskName>> Placed;
  std::map<ClientAccountId, std::int64_t> Guarantees;
  /// Accelerators that unfinished jobs of priority 0 need, by account.
  std::map<ClientAccountId, std::int64_t> UrgentDemand;
  /// Accelerators of priority 0 that were asked for of late, and when.
  std::vector<std::pair<MonoTime, std::int64_t>> UrgentArrivals;
  /// By queue, whichever account.
  RunTimeEstimator RunTimes;
  Releases ExpectedReleases;
  MonoTime ReleasesAt;
  std::set<WorkId> Changed;
  /// Collected until the next round.
  std::vector<StopOrder> PendingStops;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_POD_PLANNER_H
