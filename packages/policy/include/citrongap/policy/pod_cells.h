// State of the accelerators of one pod: the job that runs on each slot, the
// footprint that claims it and the reservation that holds it. Five CellPools
// over the same slots answer placement queries for different kinds of work.
// Each change of a server updates its slots in all five.
#ifndef CITRONGAP_POLICY_POD_CELLS_H
#define CITRONGAP_POLICY_POD_CELLS_H

#include "citrongap/policy/cells.h"
#include "citrongap/policy/fair_queue.h"
#include "citrongap/policy/job.h"
#include "citrongap/policy/pod_scheduler.h"

#include <array>
#include <bit>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace citrongap {

/// A job that reservations have preempted this often is protected from further
/// preemption.
inline constexpr std::uint32_t MaxPreemptions = 2;

/// A job that has been started and has not ended.
struct RunningJob {
  /// The queue entry, kept so that the job can be queued again.
  QueuedJob Queued;
  Placement Where;
  /// The part of `Where` that lies on known servers.
  GangCells Cells;
  MonoTime StartedAt;
  /// Position in AccountUsage::Runs of its account.
  std::list<RunningJob *>::iterator AccountPosition;
  /// A RevokeJob decision has been issued.
  bool Revoking = false;
  /// Number of times that a reservation preempted the job.
  std::uint32_t Preemptions = 0;

  const JobRequest &job() const { return Queued.Job; }
};

/// One guaranteed shape and the cells that its account can always reclaim.
struct FootprintCell {
  ClientAccountId Account;
  Accelerators Gang;
  /// Tie-breaker between cells of the same size.
  std::uint64_t Sequence = 0;
  /// Invariant: either all cells of the shape, or empty while it is unplaced
  /// (the guarantee is degraded).
  GangCells Where;
};

/// Identifies a reservation in PodCells; 0 stands for none.
using ReservationNumber = NumberId<struct ReservationTag>;

/// State of one slot. The pointers do not own.
struct SlotState {
  RunningJob *Run = nullptr;
  FootprintCell *ClaimedBy = nullptr;
  ReservationNumber ReservedBy;

  /// True if an account's job runs in the footprint of the same account.
  bool inOwnFootprint() const;
  /// True if the slot runs a job that a shared reservation may not preempt.
  bool isProtected() const;
};

/// Servers of one pod and the state of their slots.
class PodCells {
public:
  PodCells() = default;
  PodCells(const PodCells &) = delete;
  PodCells &operator=(const PodCells &) = delete;

  /// Adds a server or changes its state. Returns true if the server is new; the
  /// caller must then attach the jobs that run on it.
  bool setServer(const ServerDescription &about);
  void setQuarantined(const BackendServerId &server, bool quarantined);
  /// Removes a server and its part of the cells of running jobs. No footprint
  /// may claim a slot of the server.
  void removeServer(const BackendServerId &server);

  std::optional<ServerIndex> find(const BackendServerId &server) const;
  /// True if the server is live and not quarantined, so that it accepts new
  /// work.
  bool placeable(ServerIndex server) const;
  bool live(ServerIndex server) const;
  /// Converts a placement to cells; unknown servers and slots are left out.
  GangCells locate(const Placement &where) const;
  /// Converts cells to a placement.
  Placement describe(const GangCells &cells) const;
  const SlotState &slotState(ServerIndex server, std::uint32_t slot) const {
    return Servers[server.Value].Slots[slot];
  }
  const PodLayout &layout() const { return Layout; }

  /// Records that the job runs on its cells.
  void occupy(RunningJob &job);
  void vacate(RunningJob &job);
  /// Places a footprint cell on slots that no other footprint cell claims.
  void claim(FootprintCell &cell, GangCells where);
  void unclaim(FootprintCell &cell);
  void reserve(const GangCells &cells, ReservationNumber by);
  void release(const GangCells &cells, ReservationNumber by);

  /// Slots not claimed and without unrepeatable work.
  CellPool &claimable() { return Claimable; }
  /// Slots that are free, not reserved and not claimed.
  CellPool &surplus() { return Surplus; }
  /// Slots that are free and not reserved, whether or not they are claimed.
  CellPool &free() { return Free; }
  const CellPool &free() const { return Free; }
  /// Slots not reserved that are free or run a job that a reservation may
  /// preempt.
  CellPool &preemptible() { return Preemptible; }
  /// Preemptible slots that are not claimed.
  CellPool &preemptibleSurplus() { return PreemptibleSurplus; }

  /// Accelerators of all known servers, whatever their state.
  Accelerators total() const { return Total; }
  /// Increases with each change of the servers or of their state.
  std::uint64_t topologyVersion() const { return Version; }

private:
  struct LiveServer {
    ServerDescription About;
    bool Known = false;
    bool Quarantined = false;
    std::array<SlotState, MaxSlots> Slots;
  };

  ServerIndex add(const ServerDescription &about);
  RackIndex rackFor(const RackId &rack);
  void refresh(ServerIndex server);
  template <typename Change>
  void change(const GangCells &cells, Change &&apply);

  PodLayout Layout;
  std::vector<LiveServer> Servers;
  std::unordered_map<BackendServerId, ServerIndex> ById;
  std::map<RackId, RackIndex> Racks;
  CellPool Claimable{Layout};
  CellPool Surplus{Layout};
  CellPool Free{Layout};
  CellPool Preemptible{Layout};
  CellPool PreemptibleSurplus{Layout};
  Accelerators Total;
  std::uint64_t Version = 0;
};

/// Calls `visit(server, slot)` for each slot of the cells.
template <typename Visit>
void forEachSlot(const GangCells &cells, Visit &&visit) {
  for (const ServerCells &it : cells)
    for (SlotMask rest = it.Slots; rest != 0; rest &= rest - 1)
      visit(it.Server, static_cast<std::uint32_t>(std::countr_zero(rest)));
}

} // namespace citrongap

#endif // CITRONGAP_POLICY_POD_CELLS_H
