// Where the guaranteed shapes of a pod lie on its live servers.
//
// The rule is local to a cell: a cell in an account's footprint runs only that
// account's work or work that can be revoked. Unrepeatable work runs in its own
// account's footprint or on surplus cells, which no footprint claims.
//
// Why two owners with different views never break a guarantee:
//   1. Which shapes a pod carries follows from the accepted configuration
//      alone (packGuarantees), so both owners owe the same shapes; where they
//      lie binds nobody but the owner that placed them.
//   2. A backend server obeys the highest fencing token only. A start of the
//      older owner either arrived before the newer owner's fence, and then the
//      newer owner finds and adopts it, or it is refused.
//   3. The newer owner lays its footprints on cells that are clear, hold work
//      that it can revoke, or hold the same account's own work; it never
//      needs to know where the older one had them. Unrepeatable work that it
//      adopts later pushes the footprint of another account off those cells.
//   4. So at each moment, under the one view that the servers obey, every
//      placed footprint holds nothing foreign that can't be revoked. A
//      partition or an old view can only cost cells, never the rule; what then
//      finds no place is reported as a degraded guarantee, and no further
//      unrepeatable work starts on surplus cells until it has one.
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

/// An owner's unrepeatable work, by account.
using FixedWork =
    std::function<std::vector<const RunningJob *>(const ClientAccountId &)>;

class FootprintMap {
public:
  explicit FootprintMap(PodCells &cells) : Cells(cells) {}

  /// Takes the shapes that this pod carries; shapes that stay keep their cells.
  void configure(const std::vector<AssignedShape> &shapes);
  /// Places what has no place: on the account's own unrepeatable work, else on
  /// claimable cells, else by moving clear footprints once for each change of
  /// the servers.
  void repack(const FixedWork &fixedWork);

  /// The server takes no new work: its footprints need another place.
  void leaveServer(ServerIndex server);
  /// Unrepeatable work was found running: footprints of others give way.
  void giveWay(const RunningJob &job);

  /// The account's shapes, placed or not, smallest gang first.
  const std::vector<FootprintCell *> &of(const ClientAccountId &account) const;
  /// Its account has nothing running in it.
  bool clear(const FootprintCell &cell) const;
  /// True while some shape has no place.
  bool degraded() const { return !Unplaced.empty(); }
  /// Shapes that have no place now.
  std::vector<AssignedShape> degradedShapes() const;
  /// Accounts whose shapes moved or were placed since the last call.
  std::set<ClientAccountId> takeChangedAccounts();

private:
  struct LargestFirst {
    bool operator()(const FootprintCell *lhs, const FootprintCell *rhs) const;
  };
  using CellOrder = std::set<FootprintCell *, LargestFirst>;

  void add(const AssignedShape &shape);
  void drop(FootprintCell *cell);
  void unplace(FootprintCell &cell);
  void place(FootprintCell &cell, GangCells where);
  bool placeOnOwnWork(FootprintCell &cell, const FixedWork &fixedWork);
  GangCells around(const FootprintCell &cell, const RunningJob &job);
  void placeUnplaced(const FixedWork &fixedWork);
  void moveClearCells();
  std::uint32_t unplacedSlots() const;

  PodCells &Cells;
  std::list<FootprintCell> All;
  std::unordered_map<ClientAccountId, std::vector<FootprintCell *>> ByAccount;
  /// Invariant: exactly the cells whose Where is empty.
  CellOrder Unplaced;
  std::set<ClientAccountId> Changed;
  std::uint64_t NextSequence = 0;
  /// Topology for which moving clear footprints was last tried.
  std::uint64_t MovedAt = 0;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_FOOTPRINT_H
