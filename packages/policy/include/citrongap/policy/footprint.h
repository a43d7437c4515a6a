// Placement of a pod's guaranteed shapes on its live servers.
//
// Invariant of each slot: a slot in an account's footprint runs only work of
// that account or work that can be revoked. Unrepeatable work runs in the
// footprint of its own account or on surplus slots, which no footprint claims.
//
// Two owners of a pod with different views can't violate a guarantee:
//   1. The shapes assigned to a pod follow from the accepted configuration
//      alone (packGuarantees), so both owners must provide the same shapes.
//      Their positions are local to the owner that placed them.
//   2. A backend server obeys only the highest fencing token. A start by the
//      older owner either arrives before the newer owner's fence, and the newer
//      owner finds and adopts it, or the server refuses it.
//   3. The newer owner places footprints on slots that are idle, that run work
//      that it can revoke, or that run work of the same account. It does not
//      need the older owner's positions. Unrepeatable work that it adopts later
//      displaces footprints of other accounts from its slots.
//   4. Hence, in the view that the servers obey, a placed footprint at no time
//      holds unrevocable work of another account. A partition or a stale view
//      can only cost capacity. A shape that can't be placed is reported as a
//      degraded guarantee, and until it is placed no further unrepeatable work
//      starts on surplus slots.
#ifndef CITRONGAP_POLICY_FOOTPRINT_H
#define CITRONGAP_POLICY_FOOTPRINT_H

#include "citrongap/policy/guarantee_packing.h"
#include "citrongap/policy/pod_cells.h"

#include <functional>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace citrongap {

/// Returns an account's running unrepeatable jobs.
using UnrepeatableJobs =
    std::function<std::vector<const RunningJob *>(const ClientAccountId &)>;

/// Places the guaranteed shapes assigned to a pod.
class FootprintMap {
public:
  explicit FootprintMap(PodCells &cells) : Cells(cells) {}

  /// Sets the shapes assigned to this pod. Shapes that remain keep their cells.
  void configure(const std::vector<AssignedShape> &shapes);
  /// Places unplaced shapes: around unrepeatable work of the same account, else
  /// on claimable cells. If some remain, it moves footprints that their
  /// accounts don't use, once for each change of the servers.
  void repack(const UnrepeatableJobs &unrepeatableJobs);

  /// Unplaces the footprints on a server that accepts no new work.
  void vacateServer(ServerIndex server);
  /// Unplaces footprints of other accounts on the cells of an unrepeatable job
  /// that was found running. Does nothing for a repeatable job.
  void displaceClaims(const RunningJob &job);

  /// The account's shapes, placed or unplaced, smallest gang first.
  const std::vector<FootprintCell *> &
  cellsOf(const ClientAccountId &account) const;
  /// True if no job of the cell's own account runs in it.
  bool unusedByOwner(const FootprintCell &cell) const;
  /// True while a shape is unplaced.
  bool degraded() const { return !Unplaced.empty(); }
  /// Shapes that are unplaced.
  std::vector<AssignedShape> degradedShapes() const;
  /// Accounts whose shapes were placed or moved since the last call.
  std::set<ClientAccountId> takeChangedAccounts();

private:
  struct LargestFirst {
    bool operator()(const FootprintCell *lhs, const FootprintCell *rhs) const;
  };
  using CellOrder = std::set<FootprintCell *, LargestFirst>;

  void add(const AssignedShape &shape);
  void remove(FootprintCell *cell);
  void unplace(FootprintCell &cell);
  void place(FootprintCell &cell, GangCells where);
  bool placeOnOwnJobs(FootprintCell &cell,
                      const UnrepeatableJobs &unrepeatableJobs);
  GangCells extendAround(const FootprintCell &cell, const RunningJob &job);
  void placeUnplaced(const UnrepeatableJobs &unrepeatableJobs);
  void repackUnusedCells();
  std::uint32_t unplacedSlots() const;

  PodCells &Cells;
  std::list<FootprintCell> All;
  std::unordered_map<ClientAccountId, std::vector<FootprintCell *>> ByAccount;
  /// Invariant: contains exactly the cells whose `Where` is empty.
  CellOrder Unplaced;
  std::set<ClientAccountId> ChangedAccounts;
  std::uint64_t NextSequence = 0;
  /// Topology version at which unused footprints were last repacked.
  std::uint64_t RepackedTopology = 0;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_FOOTPRINT_H
