// Scheduler of one pod: decides which tasks start on which backend server and
// which runs are stopped. It holds all jobs and backend servers of the pod and
// does no I/O: events are passed in, and plan() returns orders. The caller
// writes the changed jobs to the store before it sends a start.
#ifndef CITRONGAP_WORKLOAD_POD_PLANNER_H
#define CITRONGAP_WORKLOAD_POD_PLANNER_H

#include "citrongap/policy/run_time_estimator.h"
#include "citrongap/policy/server_health.h"
#include "citrongap/workload/idle_work.h"
#include "citrongap/workload/room_making.h"
#include "citrongap/workload/server_speed.h"
#include "citrongap/workload/server_table.h"
#include "citrongap/workload/soonest_room.h"
#include "citrongap/workload/vector_packing.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace citrongap {

/// How a run ended, as reported by its backend server.
enum class RunOutcome : std::uint8_t {
  Done,
  /// Through a fault of the task or of the server.
  Failed,
  /// By a stop order.
  Stopped,
  LeaseExpired,
  /// Another member of the gang ended first.
  GangBroken,
  /// The other members of the gang did not start in time.
  GangIncomplete
};

const char *describe(RunOutcome outcome);

/// Why a backend server did not start a run.
enum class StartRefusal : std::uint8_t { NoRoom, StaleRun, Unhealthy, Invalid };

/// Order to start a run of a task on a server.
struct StartOrder {
  TaskName Task;
  std::uint32_t Run = 0;
  ServerIncarnation Server;
  std::string Payload;
  std::string Checkpoint;
  /// For the log: rank among the waiting work, time waited, and whether the
  /// placement meets the request for a data rack or a single rack.
  std::uint32_t Rank = 0;
  Millis Waited{0};
  bool PreferredPlacement = true;
  /// The job was expected to miss its objective and was ordered after others.
  bool ExpectedLate = false;
  /// Speed of the server, 0 if unknown, and the speed that the objective needs,
  /// 0 for any.
  double Speed = 0;
  double NeededSpeed = 0;
  /// Time that the start waited for a server that is fast enough; empty if it
  /// did not.
  std::optional<Millis> SpeedWait = std::nullopt;
  /// The server is in quarantine; its next runs depend on this one.
  bool Probe = false;
};

/// Order to stop a run.
struct StopOrder {
  TaskName Task;
  std::uint32_t Run = 0;
  ServerIncarnation Server;
  const char *Reason = "";
};

/// Orders of one scheduling round.
struct PlannedRound {
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
};

/// Tunables of PodPlanner.
struct PlannerOptions {
  /// Slowdown of a task that runs away from its data or over several racks;
  /// the platform's bound.
  double RemoteSlowdown = 3;
  /// Guaranteed work waits this long before it preempts lower priorities: the
  /// reclaim bound less the time that a stop and a start take.
  Millis GuaranteedPreemptDelay{1500};
  /// The same for priority 0 beyond the guarantee, to which no bound applies.
  Millis UrgentPreemptDelay{7000};
  /// Preemption is immediate when it loses at most this share of the urgent
  /// work's own core-seconds. Being late costs that work a fifth of its value.
  double MaxImmediateLossShare = 0.4;
  /// Share of a service's servers reserved for priority 0 while other work can
  /// wait without missing its objective.
  double UrgentReserveShare = 0.125;
  /// A part of the reservation is exclusive to priority 0: its demand over
  /// `ArrivalWindow`, scaled to `ReserveHorizon` and limited to this share of
  /// the accelerators. The horizon covers a stop, which takes up to 0.9 s.
  double MaxArrivalReserveShare = 0.35;
  Millis ArrivalWindow{4000};
  Millis ReserveHorizon{1000};
  /// Other work may use the rest of the reservation after waiting for its
  /// estimated run time, clamped to these bounds.
  Millis MinReserveWait{2000};
  Millis MaxReserveWait{6000};
  /// Bounds on the wait for a local placement. In between, the wait is the
  /// break-even: expected run time times (RemoteSlowdown - 1), the extra time
  /// that a remote run would take and withhold from other work.
  Millis MaxLocalityWait{30000};
  Millis MinLocalityWait{1000};
  /// Work that lasts, and a job without placed runs while its service is under
  /// half used, waits at most this long for a better placement, or for room
  /// that is kept for other work. Half of the 3 s that the platform allows them
  /// to stand still while there is room.
  Millis MaxIdleTime{1500};
  /// The same before it starts away from its data or over several racks, which
  /// takes `RemoteSlowdown` times as long. It leaves the time that an order
  /// takes.
  Millis MaxIdleTimeNearData{2300};
  /// Waiting time after which servers are reserved for a gang.
  Millis GangReserveDelay{300};
  /// Longest duration of a stop; the platform's bound.
  Millis MaxStopTime{900};
  /// Time that a resumed run takes before it continues. If set, the assumed
  /// loss of a stop of a task with checkpoints.
  std::optional<Millis> RestoreTime;
  /// Longest time until a server carries out an order: the limit for its
  /// answer.
  Millis OrderTime{700};
  /// Expected ends are cached for this long; they change by percents only.
  Millis ReleasesMaxAge{250};
  /// Interval of the checks of all runs for stalls and departures.
  Millis SweepInterval{100};
  /// Gangs for which servers are reserved in one round.
  std::uint32_t MaxGangReservations = 16;
  /// A run that reports no progress for this long is restarted on another
  /// server. It covers two reports of a server, which are at most 2 s apart.
  Millis StallTimeout{5000};
  /// The same when the server has reported the unchanged progress again. Just
  /// below the 2 s of a long poll. Both timeouts double with each stop of the
  /// task for this reason.
  Millis ReportedStallTimeout{1900};
  /// The last attempt of a task waits this long for a server with a recent
  /// success. After that it needs a server without a recent failure, if one
  /// could hold it when empty. A failed job has no value, a late one still has
  /// some.
  Millis LastAttemptWait{6000};
  /// The same for a job without placed runs. The platform allows such a job 3 s
  /// without a start while there is room.
  Millis IdleJobLastAttemptWait{2000};
  /// Jobs take seconds here. Two different jobs that fail on one server within
  /// 10 s point to the server rather than to the jobs. A probe uses up one
  /// attempt of a job.
  ServerHealthOptions Health{.HalfLife = Millis(10000),
                             .MinFailures = 1.5,
                             .FirstQuarantine = Millis(5000),
                             .ProbeOverdueAfter = Millis(1000)};
  /// A server that refused a start gets no other for this long. By then its
  /// list of runs shows what occupies it.
  Millis RefusalRetryDelay{400};
  /// A gang start that is not confirmed within this time is abandoned. Less
  /// than the time after which members of an incomplete gang end on their own.
  Millis GangConfirmTimeout{2000};
  /// That a job has begun is recorded by the first round after this time, or
  /// with an earlier change of the job. Callers may be told 2 s late, and the
  /// other entry VMs read the records every 250 ms.
  Millis BeginRecordDelay{100};
  /// Factor on the speed that an objective needs, for the time that a start
  /// takes and for errors of the estimates.
  double SpeedMargin = 1.2;
  /// Work that no free server is fast enough for waits this long for one. Less
  /// than the platform's bounds on the start of guaranteed work (3.4 s) and on
  /// jobs without a start while there is room (3 s).
  Millis MaxSpeedWait{1500};
  /// Occurrences of a job that are due and of which no task was started yet;
  /// more are added as these begin. The time of a round and the size of a
  /// job's state thus don't grow with the number of due occurrences.
  std::uint32_t MaxUnbegunOccurrences = 64;
  /// Interval in which the speeds are computed from new samples.
  Millis SpeedUpdateInterval{1000};
  /// Steps that have waited this long beside servers with room are reported, in
  /// this interval and at most this many.
  Millis MinIdleTime{2000};
  Millis IdleReviewInterval{1000};
  std::size_t MaxIdleSteps = 16;
};

/// A job in the planner; `Record` is the state to be written to the store.
struct PlannedWork {
  WorkSpec Spec;
  WorkRecord Record;
  /// Invariant: all occurrences before this one are done.
  std::size_t FirstOpen = 0;
  /// When a run that had started last ended.
  MonoTime LastRunAt{};
  /// Of the round in progress, computed when first needed.
  struct RoundSums {
    /// Tasks that may still be started for the first time.
    std::optional<std::size_t> FirstStarts;
    std::optional<bool> AnyPlaced;
  };
  RoundSums InRound;
};

/// Invariant: a server's free resources, `Placed` and the job records agree.
class PodPlanner {
public:
  explicit PodPlanner(PlannerOptions options)
      : Options(options), Health(options.Health) {}

  /// Sets the accelerators guaranteed to each account for jobs of priority 0.
  void setGuarantees(std::map<ClientAccountId, std::int64_t> gpus) {
    Guarantees = std::move(gpus);
  }

  // Events of backend servers.
  /// Adds or updates a server. A new incarnation removes the old one.
  void putServer(const ServerEntry &entry, MonoTime now);
  /// Unreachable and unlisted servers get no starts.
  void setReachable(const BackendServerId &id, bool reachable);
  void setListed(const BackendServerId &id, bool listed);
  /// Runs of jobs that the planner doesn't have occupy this much there.
  void setUsedByOthers(const ServerIncarnation &server, const Resources &use);
  /// Servers in these data centres get no starts.
  void setEvacuated(std::set<DataCentreId> dataCentres);
  /// The process has ended with all its runs, which may start elsewhere.
  void removeIncarnation(const ServerIncarnation &incarnation, MonoTime now);
  /// The server has started again, and its next incarnation `to` may carry out
  /// the start of this run. The run is stopped there, and its task starts again
  /// once the stop is confirmed.
  void moveUncertainRun(const TaskName &task, std::uint32_t run,
                        const ServerIncarnation &from,
                        const ServerIncarnation &to, MonoTime now);
  /// All leases of this incarnation have expired: its runs may start elsewhere,
  /// but for those that the server may begin `late`. It stays and may become
  /// reachable again.
  void expireLeases(const ServerIncarnation &incarnation, MonoTime now,
                    const std::set<RunId> &late = {});

  /// Takes over the speed of a machine as an earlier owner estimated it.
  void restoreSpeed(const std::string &machine, double speed) {
    Speeds.restore(machine, speed);
  }
  const SpeedEstimator &speeds() const { return Speeds; }
  std::vector<SpeedChange> takeChangedSpeeds() { return Speeds.takeChanged(); }

  // Jobs. Adding a job whose id is present has no effect, nor has adding one
  // whose record has other steps or tasks: its state is not known, and it could
  // run twice.
  /// `age` is the time since the job was accepted.
  void addWork(const WorkSpec &spec, WorkRecord record, MonoTime now,
               Millis age = Millis(0));
  /// Ends the job as cancelled and stops its runs.
  void cancel(const WorkId &id, std::int64_t wallMs);
  /// The same, as failed.
  void fail(const WorkId &id, std::int64_t wallMs);

  // Reports of backend servers about runs. A report is ignored unless it is
  // about the current run of a task and comes from the server of that run;
  // but any run that a server has or had shows that its job has begun.
  void recordStart(const TaskName &task, std::uint32_t run,
                   const ServerIncarnation &server, MonoTime now);
  void recordStartRefusal(const TaskName &task, std::uint32_t run,
                          const ServerIncarnation &server, StartRefusal cause,
                          MonoTime now);
  /// The server refused a start that an earlier attempt may have carried out.
  /// The run is stopped, and its resources are freed once the stop is
  /// confirmed.
  void abandonStart(const TaskName &task, std::uint32_t run,
                    const ServerIncarnation &server);
  /// `checkpoint` is the latest one that the server lists, empty for none. It
  /// is stored with the next record of the job.
  void recordProgress(const TaskName &task, std::uint32_t run,
                      const ServerIncarnation &server, int percent,
                      MonoTime now, const std::string &checkpoint = {});
  /// Returns what was lost with the run; empty for runs that ended as done and
  /// for earlier ones. A gang is charged once all its members have ended, by
  /// the cause known then.
  std::optional<RunLoss> recordRunEnd(const TaskName &task, std::uint32_t run,
                                      const ServerIncarnation &server,
                                      RunOutcome outcome,
                                      const std::string &checkpoint,
                                      MonoTime now, std::int64_t wallMs);
  /// The server lists the run neither as running nor as ended.
  std::optional<RunLoss> recordMissingRun(const TaskName &task,
                                          std::uint32_t run,
                                          const ServerIncarnation &server,
                                          MonoTime now);

  /// Whether the run is the task's current one on that server and no stop of it
  /// is requested.
  bool isCurrentRun(const TaskName &task, std::uint32_t run,
                    const ServerIncarnation &server) const;
  /// Whether a later run of the task has been placed.
  bool wasReplaced(const TaskName &task, std::uint32_t run) const;
  /// Runs placed on a server, including those being stopped.
  std::vector<StartOrder>
  runsPlacedOn(const ServerIncarnation &incarnation) const;

  /// Incarnations on which runs are placed.
  std::vector<ServerIncarnation> incarnationsWithRuns() const;

  /// Runs one scheduling round. `wallMs` decides which occurrences are due.
  PlannedRound plan(MonoTime now, std::int64_t wallMs);

  /// Returns the jobs whose records changed since the last call.
  std::set<WorkId> takeChangedWork();
  const PlannedWork *find(const WorkId &id) const;
  const ServerTable &servers() const { return Servers; }
  /// Work lost since this planner was created.
  const LostWork &losses() const { return Losses; }
  /// Steps that wait although servers have room for them, as of the latest
  /// review; only of jobs of which nothing is placed.
  const std::vector<IdleStep> &idleSteps() const { return IdleSteps; }
  MonoTime idleReviewedAt() const { return IdleReviewedAt; }
  /// Occurrences of open jobs that are due and were not added; see
  /// `MaxUnbegunOccurrences`.
  std::size_t dueNotAdded(std::int64_t wallMs) const;
  std::uint32_t quarantinedServers() const { return Health.quarantinedCount(); }
  /// Removes ended jobs that have no placed run and no unread change; returns
  /// their ids.
  std::vector<WorkId> removeEndedWork();

private:
  /// Job, occurrence and step.
  using StepName = std::tuple<WorkId, std::uint32_t, std::uint32_t>;
  struct Unit;
  /// A placed gang, or the placed run of a single task, that may be preempted
  /// for a unit of more urgent rank.
  struct PreemptionCandidate {
    VictimGroup Group;
    /// Any task of the group.
    TaskName Member;
  };
  /// A server has or had a run of the job.
  void recordBegin(const WorkId &id, MonoTime now);
  /// The run was the task's last one and was released, after its lease or from
  /// a list without it; no other has been placed.
  bool isReleasedRun(const TaskName &task, std::uint32_t run,
                     const ServerIncarnation &server) const;
  /// A run of a task that is not done, which is known not to be the current
  /// one: an earlier one, or the last one on another life of its server.
  bool isOtherRun(const TaskName &task, std::uint32_t run) const;
  /// The task whose record holds the checkpoint of the run.
  TaskRecord &savingTask(const TaskName &task);
  /// Keeps the listed checkpoint unless it is known, older than another one of
  /// the run or gang, or too long for the job's state.
  void keepListedCheckpoint(const TaskName &task, TaskRecord &record,
                            int percent, const std::string &checkpoint);
  /// The same, for the checkpoint of the run's end.
  void keepLastCheckpoint(const TaskName &task, TaskRecord &record,
                          RunOutcome outcome, const std::string &checkpoint,
                          MonoTime now);
  void recordDone(const TaskName &task, std::int64_t wallMs, MonoTime now);
  /// Such a run has ended as done. A placed run is stopped, and the task is
  /// done once that has ended.
  void recordEarlierDone(const TaskName &task, std::int64_t wallMs);
  TaskRecord *findCurrentRun(const TaskName &task, std::uint32_t run,
                             const ServerIncarnation &server);
  const TaskRecord *findTask(const TaskName &task) const;
  StepRecord &stepOf(const TaskName &task);
  const StepSpec &specOf(const TaskName &task) const;
  /// The placed run of the task has ended. Charges its work unless `cause` is
  /// empty; the cause of a requested stop precedes it.
  std::optional<RunLoss> release(const TaskName &task, TaskRecord &record,
                                 MonoTime now, std::optional<LossCause> cause);
  /// All runs of the incarnation but for `kept` have ended.
  void releaseAll(const ServerIncarnation &incarnation, LossCause cause,
                  MonoTime now, const std::set<RunId> &kept = {});
  /// A report of a run that may be a probe. Work that runs for long shows that
  /// the server is sound before it ends.
  void judgeProbe(const TaskName &task, TaskRecord &record, int percent,
                  MonoTime now);
  /// Ends the probe that the released run was, unless another member of its
  /// gang is still part of it.
  void endProbe(TaskRecord &record);
  void requestStop(const TaskName &task, TaskRecord &record, const char *reason,
                   LossCause cause);
  // Lost work: pod_planner_losses.cpp.
  /// Cause of the end of a run, unless its stop was requested.
  LossCause causeOfEnd(const TaskRecord &record, RunOutcome outcome) const;
  /// LeavingServer if the server has announced its departure.
  LossCause causeOfLoss(const ServerIncarnation &server,
                        LossCause otherwise) const;
  void noteStopCause(const TaskName &task, TaskRecord &record, LossCause cause);
  /// When the work of the run, or of its gang, was last saved for a later run.
  MonoTime savedAt(const TaskName &task, const TaskRecord &record);
  RunLoss chargeLoss(const TaskName &task, TaskRecord &record, LossCause cause,
                     MonoTime now);
  /// Charges the gang once all its members have ended.
  void settleGang(const TaskName &member);
  /// The gang is done, so its members that ended before have lost nothing.
  void forgetGangBreak(const TaskName &member);
  void countFailure(const TaskName &task, std::uint32_t run,
                    std::int64_t wallMs);
  void finish(const WorkId &id, PlannedWork &work, WorkPhase phase,
              std::int64_t wallMs);
  /// Does so unless the job has ended or is unknown.
  void finishOpen(const WorkId &id, WorkPhase phase, std::int64_t wallMs);
  void stopAll(const WorkId &id, PlannedWork &work, const char *reason);
  /// Stops the placed runs of tasks of which an earlier run has ended as done.
  void stopRunsOfDoneTasks(const WorkId &id, PlannedWork &work);
  void completeIfDone(const WorkId &id, PlannedWork &work, std::int64_t wallMs);
  /// Completes jobs whose last task was released after an earlier run had ended
  /// as done, be it by a previous owner.
  void completeDoneWork(std::int64_t wallMs);
  void stopGang(const TaskName &member, const char *reason, LossCause cause);

  // One round: pod_planner_round.cpp; what waits is collected in
  // pod_planner_waiting.cpp, preemption and reservations are in
  // pod_planner_room.cpp.
  /// Passes over the occurrences that are done, and removes their steps.
  static void passDoneOccurrences(PlannedWork &work);
  void addDueOccurrences(PlannedWork &work, std::int64_t wallMs, MonoTime now);
  /// Clears what is kept of the round before.
  void forgetRound();
  std::vector<Unit> collectWaiting(MonoTime now, std::int64_t wallMs);
  void collectStep(const WorkId &id, PlannedWork &work, std::uint32_t k,
                   std::uint32_t step, MonoTime now, std::int64_t wallMs,
                   std::vector<Unit> &out);
  /// Leaves out tasks whose first start would not fit into the job's state.
  void limitToStateRoom(Unit &unit);
  bool anyPlaced(PlannedWork &work) const;
  std::vector<PackingServer> packingView(MonoTime now) const;
  const StepSpec &specOf(const Unit &unit) const;
  void countTasksOfStep(const Unit &unit,
                        std::vector<PackingServer> &view) const;
  /// `view` shows whether servers without a recent failure could hold the unit
  /// when empty. `requireLocality` asks for the data rack or a single rack.
  PackingRequest requestOf(const Unit &unit,
                           const std::vector<PackingServer> &view,
                           bool requireLocality);
  /// Failed attempts of the gang, or the most of any of the unit's tasks.
  std::uint32_t failedAttempts(const Unit &unit) const;
  /// Places the tasks of a step one by one; true when all were placed.
  bool placeEach(const Unit &unit, std::vector<PackingServer> &view,
                 MonoTime now, PlannedRound &round);
  /// Places tasks that were never started and have no limit per server, all at
  /// once; returns those that do not fit under the step's locality.
  std::vector<std::uint32_t> placeAlike(const Unit &unit,
                                        std::vector<PackingServer> &view,
                                        MonoTime now, PlannedRound &round);
  bool place(const Unit &unit, std::vector<PackingServer> &view, MonoTime now,
             PlannedRound &round);
  /// Time for which the unit waits for its data rack or a single rack.
  Millis localityWait(const Unit &unit) const;
  // Idle work: pod_planner_idle.cpp.
  /// Notes which services have under half of their capacity in use.
  void updateQuietServices(MonoTime now);
  /// Since when the unit has counted as idle: work that lasts always does,
  /// other work while nothing of its job runs and its service is quiet. Empty
  /// if it doesn't.
  std::optional<MonoTime> idleSince(const Unit &unit);
  /// Packs the request of an overdue unit, also into room that is kept for
  /// gangs, or reserved for work that has waited for long; for lasting work, of
  /// all that is reserved.
  std::optional<std::vector<std::size_t>>
  packOverdue(std::vector<PackingServer> &view, PackingRequest request,
              bool lasting);
  /// Whether it would find room for the request twice over.
  bool hasRoomTwice(std::vector<PackingServer> &view, PackingRequest request,
                    bool lasting);
  // Pace of the runs: pod_planner_pace.cpp.
  /// A run reports its progress, 100 when it has ended as done.
  void measurePace(const TaskName &task, TaskRecord &record, int percent,
                   MonoTime now);
  /// Adds the samples that a run of this duration allows.
  void samplePace(const TaskName &task, const TaskRecord &record,
                  Millis runTime, MonoTime now);
  /// Factor by which the run is slowed down by the place of its data or of the
  /// other members of its gang.
  double slowdownOf(const TaskName &task, const TaskRecord &record) const;
  /// Machine that sets the pace of the run: its own, or that of the slowest
  /// member of its gang; empty if that is not known.
  std::string paceMachine(const TaskName &task, const TaskRecord &record) const;
  /// Run time at speed 1 of a run that took `ran`.
  Millis runTimeAtSpeedOne(const TaskName &task, const TaskRecord &record,
                           Millis ran) const;
  // Speeds: pod_planner_speed.cpp.
  /// Decides whether speeds are used in this round: the machines differ, and
  /// the slowest cannot meet the objective of some unfinished job.
  void updateSpeedUse(MonoTime now);
  /// Empty without an objective.
  std::optional<ObjectiveOutlook> outlookOf(const PlannedWork &work,
                                            const Unit &unit,
                                            std::int64_t wallMs) const;
  /// Sets `ExpectedLate` and `NeededSpeed`.
  void judgeObjective(const PlannedWork &work, Unit &unit,
                      std::int64_t wallMs) const;
  /// Sets the speeds to try, and whether the unit waits for them.
  void chooseSpeeds(Unit &unit, const std::vector<PackingServer> &view,
                    MonoTime now);
  /// The unit was not placed in this round.
  void noteSpeedWait(const Unit &unit, MonoTime now);
  /// Time that the unit, which starts now, waited for speed.
  std::optional<Millis> speedWaitOf(const Unit &unit, MonoTime now) const;
  /// tryPack() with the unit's speeds, in their order.
  std::optional<std::vector<std::size_t>>
  tryPackBySpeed(const Unit &unit, std::vector<PackingServer> &view,
                 const PackingRequest &request);
  /// packTasks(), unless a request that failed in this round covers this one.
  std::optional<std::vector<std::size_t>>
  tryPack(std::vector<PackingServer> &view, const PackingRequest &request);
  /// fitsWhenEmpty(), computed once a round for requests alike.
  bool wouldFitEmpty(const std::vector<PackingServer> &view,
                     const PackingRequest &request);
  /// Starts the unit's tasks at these places and takes up their room.
  void startAt(const Unit &unit, const std::vector<std::size_t> &at, bool local,
               std::vector<PackingServer> &view, MonoTime now,
               PlannedRound &round);
  void start(const Unit &unit, const std::vector<PackingServer> &view,
             const std::vector<std::size_t> &at, bool local, MonoTime now,
             PlannedRound &round);
  /// Requests stops of less urgent work so that the unit fits; true when it
  /// will fit once the stops are done.
  bool preempt(const Unit &unit, std::vector<PackingServer> &view,
               MonoTime now);
  /// The same, once a round for the occurrences of a step that have not begun.
  void preemptOnce(const Unit &unit, std::vector<PackingServer> &view,
                   MonoTime now);
  std::vector<PreemptionCandidate>
  preemptionCandidates(std::uint32_t rank,
                       const std::vector<PackingServer> &view,
                       MonoTime now) const;
  /// Core-seconds of the unit's tasks by the caller's estimate.
  double estimatedCoreSeconds(const Unit &unit) const;
  /// Marks the servers that are reserved for urgent work.
  void reserveForUrgent(std::vector<PackingServer> &view, MonoTime now) const;
  /// The same, of one service with these servers.
  void reserveForUrgent(std::vector<PackingServer> &view,
                        std::string_view service,
                        const std::vector<std::size_t> &servers,
                        MonoTime now) const;
  /// Whether only servers that are reserved for urgent work could hold the
  /// unit, even if all were empty.
  bool needsReservedServers(const Unit &unit,
                            const std::vector<PackingServer> &view);
  /// Whether only servers in quarantine could hold a task of the unit.
  bool needsQuarantinedServers(const Unit &unit,
                               const std::vector<PackingServer> &view) const;
  /// Whether the server could hold one more task of the unit if it were empty,
  /// whatever its health and reservation.
  bool couldHoldTask(const PackingServer &server, const Unit &unit) const;
  /// Share of the service's accelerators that priority 0 is expected to request
  /// within `ReserveHorizon`, from its recent arrivals.
  double expectedArrivalShare(std::string_view service, std::int64_t capacity,
                              MonoTime now) const;
  /// Expected ends of the runs on each server; computed again once older than
  /// `ReleasesMaxAge`.
  const Releases &expectedReleases(MonoTime now);
  /// Adds the end of a run that starts now, if they have been computed.
  void expectRelease(const TaskName &name, MonoTime now);
  /// Updates `IdleSteps` if it is due.
  void reviewIdleWork(const std::vector<Unit> &units,
                      const std::vector<PackingServer> &view, MonoTime now);
  IdleStep reviewIdleStep(const Unit &unit,
                          const std::vector<PackingServer> &view, MonoTime now);
  void stopStalledRuns(MonoTime now);
  bool isStalled(const TaskRecord &task, const StepSpec &spec,
                 MonoTime now) const;
  // Leaving servers: pod_planner_leaving.cpp.
  void evictFromDraining(MonoTime now);
  /// Expected end of the run, of a gang that of its last member; empty without
  /// progress, and for lasting work.
  std::optional<MonoTime> expectedEndOf(const TaskName &name,
                                        MonoTime now) const;
  std::uint32_t rankOf(const PlannedWork &work) const;
  /// Expected run time of a task of the step, learned from recent tasks of its
  /// queue.
  Millis expectedRunTime(const PlannedWork &work, const StepSpec &step) const;
  void updateUrgentDemand(std::int64_t wallMs);

  PlannerOptions Options;
  ServerTable Servers;
  ServerHealth Health;
  std::map<WorkId, PlannedWork> Works;
  /// Tasks with a placed run, by server. Invariant: agrees with the records.
  std::map<ServerIncarnation, std::set<TaskName>> Placed;
  std::map<ClientAccountId, std::int64_t> Guarantees;
  /// Accelerators requested by unfinished jobs of priority 0, by account.
  std::map<ClientAccountId, std::int64_t> UrgentDemand;
  struct UrgentArrival {
    MonoTime At;
    std::string Service;
    std::int64_t Gpus = 0;
  };
  /// Requests of priority 0 within `ArrivalWindow`.
  std::vector<UrgentArrival> UrgentArrivals;
  std::set<DataCentreId> Evacuated;
  /// Of the round in progress: requests that did not fit, and whether requests
  /// would fit if all servers were empty.
  PackingOutcomes RoundOutcomes;
  PackingOutcomes EmptyOutcomes;
  /// The same: requests of overdue units that did not fit.
  PackingOutcomes OverdueOutcomes;
  /// The same: what units of a rank may preempt, until something is preempted.
  std::map<std::uint32_t, std::vector<PreemptionCandidate>> RoundCandidates;
  /// The same: steps of which an occurrence that has not begun found no room by
  /// preemption. Their later occurrences ask for the same.
  std::set<std::pair<WorkId, std::uint32_t>> RoundWithoutRoom;
  /// When all runs were last checked for stalls and departures; reset when a
  /// report shows a stall.
  MonoTime SweptAt;
  /// Keyed by queue only, across accounts.
  RunTimeEstimator RunTimes;
  SpeedEstimator Speeds;
  MonoTime SpeedsUpdatedAt;
  /// Decided by each round, see updateSpeedUse().
  bool SpeedsInUse = false;
  /// Speed that urgent work needs to meet its objective by a start at once; 0
  /// while speeds are not used.
  double UrgentSpeed = 0;
  /// Rounds in which a unit found no server that is fast enough: the time of
  /// the first and of the latest one. Only of units that still wait.
  struct SpeedWait {
    MonoTime Since;
    MonoTime Until;
  };
  std::map<StepName, SpeedWait> SpeedWaits;
  /// Services of which under half of the accelerators, or of all cores with an
  /// accelerator as 8, have been in use, and since when.
  std::map<std::string, MonoTime> QuietSince;
  std::vector<IdleStep> IdleSteps;
  MonoTime IdleReviewedAt;
  Releases ExpectedReleases;
  MonoTime ReleasesComputedAt;
  std::set<WorkId> Changed;
  /// Jobs that have begun since their last record, with the time from which a
  /// round records that.
  std::map<WorkId, MonoTime> UnrecordedBegins;
  LostWork Losses;
  /// Gangs, by their first task, of which a member has ended or is to stop
  /// before the gang is done. Invariant: some member is placed.
  std::map<TaskName, GangBreak> GangBreaks;
  /// Returned by the next round.
  std::vector<StopOrder> PendingStops;
};

} // namespace citrongap

#endif // CITRONGAP_WORKLOAD_POD_PLANNER_H
