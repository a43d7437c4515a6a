// The parts of a PodScheduler and the bookkeeping that ties them together.
// pod_state.cpp keeps the books, start_rules.cpp makes a pass over what waits,
// home_rules.cpp chooses cells in a footprint, pod_scheduler.cpp takes events.
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

/// What one account has running in the pod.
struct AccountUse {
  Accelerators InUse;
  /// In the order of their starts.
  std::list<RunningJob *> Runs;
  /// Its unrepeatable jobs.
  std::vector<const RunningJob *> Fixed;
};

/// Cells of the account's own footprint for one job.
struct HomeChoice {
  GangCells Where;
  /// Nothing runs there.
  bool Clear = false;
};

/// Free cells under a reservation, for work that ends before `Until`.
struct BackfillCells {
  MonoTime Until;
  ServerCells Free;
};

/// Gang sizes for which a pool had no cells in this pass.
using GangSizes = std::bitset<MaxGang.Count + 1>;

struct PodScheduler::State {
  State(PodId pod, DataCentreId dataCentre);

  // pod_state.cpp: bookkeeping.
  void takeLists(const Configuration &lists, MonoTime now);
  /// Classifies and queues a new job, or says why not.
  std::optional<NotRun> enqueue(const JobRequest &job, WallTime wall,
                                MonoTime now);
  void refuse(const QueuedJob &job, NotRun why);
  void start(const JobId &waiting, GangCells where, MonoTime now,
             std::vector<Decision> &out);
  /// Starts the books of a run whose job is not in the queue.
  RunningJob &addRun(std::unique_ptr<RunningJob> run);
  /// Ends the books of a run; null when it is unknown.
  std::unique_ptr<RunningJob> endRun(const JobId &job);
  void requeue(std::unique_ptr<RunningJob> run, std::int64_t ranMs,
               MonoTime now, bool mayHaveRun);
  void attachRuns(const BackendServerId &server);
  void settleServers(const RunningJob &run, const RunReport &report,
                     MonoTime now);
  void syncQuarantine(const BackendServerId &server);
  void stopUsing(const BackendServerId &server);
  /// Whether its account may have others stopped for the job.
  bool withinShare(const JobRequest &job, MonoTime now);
  std::uint64_t activeWeight(MonoTime now);
  /// The account furthest beyond its fair share; null when none is.
  const AccountUse *mostBeyondShare(MonoTime now);
  /// The largest gang that the pod could hold when empty.
  Accelerators largestGang() const;

  // start_rules.cpp: one pass over what waits.
  void expire(WallTime wall, std::vector<Decision> &out);
  void pass(MonoTime now, std::vector<Decision> &out);
  void settleReservations(MonoTime now, std::vector<Decision> &out);
  void startGuaranteed(MonoTime now, std::vector<Decision> &out);
  void walkQueue(MonoTime now, std::vector<Decision> &out);
  bool tryStart(const QueuedJob &job, MonoTime now, std::vector<Decision> &out);
  /// Starts at home, or reserves cells there and revokes their borrowers.
  void tryHome(const QueuedJob &job, MonoTime now, std::vector<Decision> &out);
  void revokeOccupants(const Reservation &it, std::vector<Decision> &out);
  std::optional<GangCells> cellsFor(CellPool &pool, GangSizes &noRoom,
                                    const JobRequest &job);
  void collectBackfill(MonoTime now);
  SlotMask idleSlots(const ServerCells &cells) const;
  std::optional<GangCells> backfillCells(const QueuedJob &job, MonoTime now);
  std::optional<GangCells> probeCells(const QueuedJob &job, MonoTime now);
  void reserve(const QueuedJob &job, MonoTime now, std::vector<Decision> &out);
  /// Reserves one server's cells that youngest work beyond a share has.
  void reclaimShare(const QueuedJob &job, MonoTime now,
                    std::vector<Decision> &out);
  std::optional<GangCells> cellsBeside(const RunningJob &victim,
                                       const JobRequest &job);
  bool roomToReserve(const JobRequest &job) const;
  std::optional<GangCells> sharedRegion(const QueuedJob &job, MonoTime now);

  // home_rules.cpp: the account's own footprint.
  std::optional<HomeChoice> chooseHome(const JobRequest &job, MonoTime now);
  /// Accelerator-milliseconds that stopping what runs there would lose.
  std::int64_t workOn(const GangCells &cells, MonoTime now) const;
  std::optional<HomeChoice> homeIn(const FootprintCell &cell,
                                   const JobRequest &job);
  /// Most slots in one footprint cell that its account does not use.
  std::uint32_t roomAtHome(const ClientAccountId &account) const;

  /// A footprint cell whose own repeatable work may give way to the job.
  std::optional<GangCells> drainableHome(const JobRequest &job);

  PodId Pod;
  DataCentreId DataCentre;
  Configuration Lists;
  PodCells Cells;
  FootprintMap Footprints{Cells};
  Reservations Reserved{Cells};
  FairQueue Queue;
  UrgencyBudget Urgency;
  RunTimeEstimator Times;
  ServerHealth Health;
  JobHealth Failures;
  /// Failed on too many distinct servers; refused until their deadline.
  std::set<JobId> AtFault;
  /// Deadlines of the jobs that Failures and AtFault remember.
  std::set<std::pair<WallTime, JobId>> FailuresUntil;
  std::unordered_map<JobId, std::unique_ptr<RunningJob>> Running;
  std::unordered_map<ClientAccountId, AccountUse> Uses;
  /// Times that reservations stopped a job that still waits.
  std::unordered_map<JobId, std::uint32_t> Preemptions;
  std::set<BackendServerId> Quarantined;
  /// Decided outside decide().
  std::vector<Decision> Pending;
  /// Accounts that may have become able to start in their footprint.
  std::set<ClientAccountId> CheckHome;
  /// Something happened since the last pass.
  bool Changed = true;
  /// Without a change, the next pass is due then.
  MonoTime NextPass;
  GangSizes NoSurplus;
  GangSizes NoOpen;
  GangSizes NoMovable;
  GangSizes NoMovableSurplus;
  std::uint32_t TriesLeft = 0;
  /// mostBeyondShare() of this pass, once it is known.
  std::optional<const AccountUse *> MostBeyond;
  std::vector<BackfillCells> Backfill;
  /// The topology that reservations were checked against.
  std::uint64_t SeenTopology = 0;
  /// Sum of the weights of the accounts with work, good until
  /// ActiveWeightUntil.
  std::uint64_t ActiveWeight = 0;
  MonoTime ActiveWeightUntil;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_POD_STATE_H
