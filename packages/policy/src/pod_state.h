// Internal state of a PodScheduler. The implementation is in
//   - pod_scheduler.cpp: the public interface;
//   - pod_state.cpp: bookkeeping of queued and running jobs;
//   - start_rules.cpp: scheduling passes;
//   - home_rules.cpp: choice of cells in the footprint of a job's own account.
#ifndef CITRONGAP_POLICY_POD_STATE_H
#define CITRONGAP_POLICY_POD_STATE_H

#include "citrongap/policy/fair_queue.h"
#include "citrongap/policy/fair_walk.h"
#include "citrongap/policy/footprint.h"
#include "citrongap/policy/job_health.h"
#include "citrongap/policy/pod_cells.h"
#include "citrongap/policy/pod_scheduler.h"
#include "citrongap/policy/reservation.h"
#include "citrongap/policy/run_time_estimator.h"
#include "citrongap/policy/server_health.h"
#include "citrongap/policy/urgency_budget.h"

#include <bitset>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace citrongap {

/// Running jobs of one account in the pod.
struct AccountUsage {
  Accelerators InUse;
  /// In start order.
  std::list<RunningJob *> Runs;
  /// The unrepeatable ones of `Runs`.
  std::vector<const RunningJob *> Unrepeatable;
};

/// Cells of the account's own footprint for one job.
struct FootprintChoice {
  GangCells Where;
  /// True if no job runs on the cells.
  bool Idle = false;
};

/// Free cells of a draining reservation, for work that ends before `Until`.
struct BackfillCells {
  MonoTime Until;
  ServerCells Free;
};

/// Set of gang sizes for which a pool had no cells in this pass.
using GangSizes = std::bitset<MaxGang.Count + 1>;

/// State and rules of the scheduler of one pod.
struct PodScheduler::State {
  State(PodId pod, DataCentreId dataCentre);

  // pod_state.cpp: bookkeeping.
  void applyConfiguration(const Configuration &configuration, MonoTime now);
  /// Classifies and queues a new job, or returns why it is refused.
  std::optional<NotRun> enqueue(const JobRequest &job, WallTime wall,
                                MonoTime now);
  void refuse(const QueuedJob &job, NotRun why);
  void start(const JobId &waiting, GangCells where, MonoTime now,
             std::vector<Decision> &out);
  /// Registers a run. Its job must not be in the queue.
  RunningJob &addRun(std::unique_ptr<RunningJob> run);
  /// Removes a run and returns it; null if it is unknown.
  std::unique_ptr<RunningJob> endRun(const JobId &job);
  void requeue(std::unique_ptr<RunningJob> run, std::int64_t ranMs,
               MonoTime now, bool mayHaveRun);
  void attachRuns(const BackendServerId &server);
  void recordRunOutcome(const RunningJob &run, const RunReport &report,
                        MonoTime now);
  void syncQuarantine(const BackendServerId &server);
  void vacateFootprints(const BackendServerId &server);
  /// True if the account stays within its fair share with the job, or has
  /// nothing running; other accounts' work may then be preempted for it.
  bool withinFairShare(const JobRequest &job, MonoTime now);
  std::uint64_t activeWeight(MonoTime now);
  /// Account that exceeds its fair share by the highest ratio; null if no
  /// account exceeds it. Computed once in each pass.
  const AccountUsage *mostOverFairShare(MonoTime now);
  /// Largest gang that the pod could hold if it were idle.
  Accelerators largestGang() const;

  // start_rules.cpp: scheduling passes.
  /// Refuses queued jobs past their deadline and returns pending decisions.
  void expireJobs(WallTime wall, std::vector<Decision> &out);
  /// Runs one scheduling pass and appends its decisions.
  void runPass(MonoTime now, std::vector<Decision> &out);
  void updateReservations(MonoTime now, std::vector<Decision> &out);
  void startGuaranteed(MonoTime now, std::vector<Decision> &out);
  void startQueued(MonoTime now, std::vector<Decision> &out);
  bool tryStart(const QueuedJob &job, MonoTime now, std::vector<Decision> &out);
  /// Starts the job in the footprint of its account, or reserves cells there
  /// and revokes the jobs that borrow them.
  void startInFootprint(const QueuedJob &job, MonoTime now,
                        std::vector<Decision> &out);
  void revokeOccupants(const Reservation &it, std::vector<Decision> &out);
  std::optional<GangCells> findCells(CellPool &pool, GangSizes &unavailable,
                                     const JobRequest &job);
  void collectBackfill(MonoTime now);
  SlotMask idleSlots(const ServerCells &cells) const;
  std::optional<GangCells> backfillCells(const QueuedJob &job, MonoTime now);
  std::optional<GangCells> probeCells(const QueuedJob &job, MonoTime now);
  /// Servers whose probe is overdue return on probation: unrepeatable and
  /// urgent jobs and those of several servers are no probes.
  void returnUnprobedServers(MonoTime now);
  void reserve(const QueuedJob &job, MonoTime now, std::vector<Decision> &out);
  /// Preempts the youngest suitable work of the account most over its fair
  /// share and reserves its cells, all on one server.
  void reclaimFairShare(const QueuedJob &job, MonoTime now,
                        std::vector<Decision> &out);
  std::optional<GangCells> cellsAroundVictim(const RunningJob &victim,
                                             const JobRequest &job);
  bool withinReservationLimit(const JobRequest &job) const;
  std::optional<GangCells> sharedRegion(const QueuedJob &job, MonoTime now);

  // home_rules.cpp: the footprint of the job's own account.
  std::optional<FootprintChoice> chooseOwnFootprint(const JobRequest &job,
                                                    MonoTime now);
  /// Accelerator-milliseconds of work lost if the jobs on `cells` are stopped.
  std::int64_t lostWork(const GangCells &cells, MonoTime now) const;
  std::optional<FootprintChoice> chooseInFootprint(const FootprintCell &cell,
                                                   const JobRequest &job);
  /// Largest number of slots of one footprint cell of the account that the
  /// account does not use.
  std::uint32_t largestFootprintRoom(const ClientAccountId &account) const;

  /// Chooses cells in a footprint cell of the job's account whose own work may
  /// all be preempted for the job.
  std::optional<GangCells> chooseDrainableFootprint(const JobRequest &job);

  PodId Pod;
  DataCentreId DataCentre;
  Configuration Config;
  PodCells Cells;
  FootprintMap Footprints{Cells};
  Reservations Reserved{Cells};
  FairQueue Queue;
  UrgencyBudget Urgency;
  RunTimeEstimator RunTimes;
  ServerHealth Health;
  JobHealth JobFailures;
  /// Jobs that failed on too many distinct servers; refused until their
  /// deadline.
  std::set<JobId> FaultyJobs;
  /// Deadlines at which entries of JobFailures and FaultyJobs expire.
  std::set<std::pair<WallTime, JobId>> FailureExpiries;
  std::unordered_map<JobId, std::unique_ptr<RunningJob>> Running;
  std::unordered_map<ClientAccountId, AccountUsage> Usage;
  /// Preemptions of each queued job that reservations have stopped before.
  std::unordered_map<JobId, std::uint32_t> Preemptions;
  std::set<BackendServerId> Quarantined;
  /// Decisions that the next decide() returns.
  std::vector<Decision> PendingDecisions;
  /// Accounts in whose footprint a queued job may have become startable.
  std::set<ClientAccountId> AccountsToRecheck;
  /// True if an event has occurred since the last pass.
  bool Changed = true;
  /// Time of the next pass if no event occurs.
  MonoTime NextPassAt;
  GangSizes NoSurplus;
  GangSizes NoFree;
  GangSizes NoPreemptible;
  GangSizes NoPreemptibleSurplus;
  std::uint32_t ReservationAttemptsLeft = 0;
  std::uint32_t ReservationCandidatesLeft = 0;
  /// Result of mostOverFairShare() in this pass, once computed.
  std::optional<const AccountUsage *> MostOverFairShare;
  std::vector<BackfillCells> Backfill;
  /// Topology version against which reservations were last checked.
  std::uint64_t CheckedTopology = 0;
  /// Sum of the weights of the accounts with queued or running work, cached
  /// until ActiveWeightUntil.
  std::uint64_t ActiveWeight = 0;
  MonoTime ActiveWeightUntil;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_POD_STATE_H
