// The live accelerators of one pod: what runs on each, which footprint claims
// it, which reservation holds it. Five pools over the same slots answer where
// something may go; every change of a server refreshes its slots in all five.
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

/// A reservation may not stop a job that was stopped for one this often.
inline constexpr std::uint32_t MaxPreemptions = 2;

struct RunningJob {
  /// As it was taken from the queue, for when it goes back.
  QueuedJob Queued;
  Placement Where;
  /// The part of `Where` on known servers.
  GangCells Cells;
  MonoTime StartedAt;
  /// Its place among the runs of its account.
  std::list<RunningJob *>::iterator AmongOwn;
  /// RevokeJob was decided.
  bool Revoking = false;
  /// Times that a reservation stopped it.
  std::uint32_t Preemptions = 0;

  const JobRequest &job() const { return Queued.Job; }
};

/// One guaranteed shape on the cells that its account can always reclaim.
struct FootprintCell {
  ClientAccountId Account;
  Accelerators Gang;
  /// Order among equals.
  std::uint64_t Sequence = 0;
  /// Empty while it has no place (the guarantee is degraded), else whole.
  GangCells Where;
};

/// Known to PodCells by their number; 0 is none.
using ReservationNumber = NumberId<struct ReservationTag>;

/// What stands on one slot. Not owned.
struct SlotUse {
  RunningJob *Run = nullptr;
  FootprintCell *Claim = nullptr;
  ReservationNumber HeldBy;

  /// An account's own work in its own footprint.
  bool atHome() const;
  /// Runs what a reservation on shared cells may not stop.
  bool secure() const;
};

class PodCells {
public:
  PodCells() = default;
  PodCells(const PodCells &) = delete;
  PodCells &operator=(const PodCells &) = delete;

  /// Adds a server or changes its state. True when it is new; jobs that run on
  /// it must then be attached by the caller.
  bool setServer(const ServerDescription &about);
  void setQuarantined(const BackendServerId &server, bool quarantined);
  /// What ran on it loses that part of its cells; no claim may be left on it.
  void removeServer(const BackendServerId &server);

  std::optional<ServerIndex> find(const BackendServerId &server) const;
  /// Live and not quarantined: new work may go there.
  bool placeable(ServerIndex server) const;
  bool live(ServerIndex server) const;
  /// The slots of known servers.
  GangCells locate(const Placement &where) const;
  Placement describe(const GangCells &cells) const;
  const SlotUse &use(ServerIndex server, std::uint32_t slot) const {
    return Servers[server.At].Uses[slot];
  }
  const PodLayout &layout() const { return Layout; }

  /// Marks the job's cells as running it.
  void occupy(RunningJob &job);
  void vacate(RunningJob &job);
  /// Puts a footprint cell on slots that no other one claims.
  void claim(FootprintCell &cell, GangCells where);
  void unclaim(FootprintCell &cell);
  void hold(const GangCells &cells, ReservationNumber by);
  void letGo(const GangCells &cells, ReservationNumber by);

  /// Not claimed, and nothing on it that can't be revoked.
  CellPool &claimable() { return Claimable; }
  /// Free, not held and not claimed.
  CellPool &surplus() { return Surplus; }
  /// Free and not held, claimed or not.
  CellPool &open() { return Open; }
  const CellPool &open() const { return Open; }
  /// Free, or running what a reservation may stop; not held.
  CellPool &movable() { return Movable; }
  /// Movable and not claimed.
  CellPool &movableSurplus() { return MovableSurplus; }

  Accelerators total() const { return Total; }
  /// Grows with every change of servers or their state.
  std::uint64_t topologyVersion() const { return Version; }

private:
  struct LiveServer {
    ServerDescription About;
    bool Known = false;
    bool Quarantined = false;
    std::array<SlotUse, MaxSlots> Uses;
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
  CellPool Open{Layout};
  CellPool Movable{Layout};
  CellPool MovableSurplus{Layout};
  Accelerators Total;
  std::uint64_t Version = 0;
};

/// Calls `visit(server, slot)` for every slot of the cells.
template <typename Visit>
void forEachSlot(const GangCells &cells, Visit &&visit) {
  for (const ServerCells &it : cells)
    for (SlotMask rest = it.Slots; rest != 0; rest &= rest - 1)
      visit(it.Server, static_cast<std::uint32_t>(std::countr_zero(rest)));
}

} // namespace citrongap

#endif // CITRONGAP_POLICY_POD_CELLS_H
