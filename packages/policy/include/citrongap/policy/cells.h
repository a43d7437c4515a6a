// Topology-aware allocation of whole gangs in a pod.
//
// Cells form a hierarchy: accelerator, aligned pair, quad, server, rack, pod.
// A CellPool records which accelerators are available for one purpose and finds
// the smallest enclosing cell for a gang:
//   - A gang that fits in one server gets the smallest aligned block of one
//     server: the server with the smallest sufficient available block.
//   - A gang that fits in one rack gets whole adjacent servers of one rack and
//     at most one partial server. If no rack has these, it gets scattered
//     parts of one rack.
//   - A larger gang gets the narrowest span of adjacent racks.
// Blocks are split and merged as in a buddy allocator, but each level has its
// own fan-out, because racks hold six, eight or any other number of servers.
#ifndef CITRONGAP_POLICY_CELLS_H
#define CITRONGAP_POLICY_CELLS_H

#include "citrongap/base/units.h"
#include "citrongap/policy/index_set.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace citrongap {

/// Index of a server in a PodLayout; reused after the server is removed.
struct ServerIndex {
  std::uint32_t Value = 0;
  auto operator<=>(const ServerIndex &) const = default;
};

/// Index of a rack in a PodLayout.
struct RackIndex {
  std::uint32_t Value = 0;
  auto operator<=>(const RackIndex &) const = default;
};

/// Set of accelerators of one server: bit i stands for slot i.
using SlotMask = std::uint32_t;

/// Accelerators scheduled on one server; slots beyond this are ignored.
inline constexpr std::uint32_t MaxSlots = 16;

/// Maximum width of a span of racks, as a multiple of the fewest racks that can
/// hold the gang.
inline constexpr std::uint32_t MaxRackSpreadFactor = 2;

/// Number of slots in the set.
std::uint32_t slotCount(SlotMask slots);
/// All slots of a server with `total` accelerators.
SlotMask allSlots(Accelerators total);

/// The slots of a gang on one server. Invariant: Slots is not empty.
struct ServerCells {
  ServerIndex Server;
  SlotMask Slots = 0;
  bool operator==(const ServerCells &) const = default;
};

/// The accelerators of a whole gang; each server occurs at most once.
using GangCells = std::vector<ServerCells>;

/// Number of slots of the whole gang.
std::uint32_t slotCount(const GangCells &cells);

/// Physical order of the racks of a pod and of the servers in each rack.
class PodLayout {
public:
  /// Appends an empty rack to the rack order.
  RackIndex addRack();
  /// Sets the physical order; `order` contains each rack exactly once.
  void setRackOrder(std::vector<RackIndex> order);
  /// Inserts a server with `total` accelerators at `position` in its rack.
  ServerIndex addServer(RackIndex rack, std::size_t position,
                        Accelerators total);
  /// Removes a server and makes its index available again.
  void removeServer(ServerIndex server);

  const std::vector<RackIndex> &rackOrder() const { return Order; }
  const std::vector<ServerIndex> &serversOf(RackIndex rack) const {
    return Racks[rack.Value];
  }
  RackIndex rackOf(ServerIndex server) const {
    return Servers[server.Value].Rack;
  }
  SlotMask slotsOf(ServerIndex server) const {
    return Servers[server.Value].Slots;
  }
  std::size_t rackCount() const { return Racks.size(); }
  /// Number of indexes assigned so far, including those of removed servers.
  std::size_t serverCount() const { return Servers.size(); }
  Accelerators largestServer() const { return LargestServer; }
  Accelerators largestRack() const { return LargestRack; }

private:
  struct Server {
    RackIndex Rack;
    /// Empty after removal.
    SlotMask Slots = 0;
  };

  /// Recomputes LargestServer and LargestRack.
  void updateMaxima();

  std::vector<Server> Servers;
  std::vector<ServerIndex> Unused;
  std::vector<std::vector<ServerIndex>> Racks;
  std::vector<RackIndex> Order;
  Accelerators LargestServer;
  Accelerators LargestRack;
};

/// The available accelerators of a pod, indexed for gang placement.
class CellPool {
public:
  /// `layout` must outlive the pool.
  explicit CellPool(const PodLayout &layout) : Layout(layout) {}

  /// Replaces the set of available slots of one server.
  void setAvailable(ServerIndex server, SlotMask available);
  /// Marks cells as unavailable; all of them must be available.
  void allocate(const GangCells &cells);
  /// Makes allocated cells available again.
  void release(const GangCells &cells);

  /// Finds cells for the whole gang without allocating them.
  std::optional<GangCells> find(Accelerators gang) const;
  /// Number of available accelerators.
  Accelerators available() const { return {Total}; }
  SlotMask availableOn(ServerIndex server) const;
  /// Size of the largest gang, up to `limit`, for which find() returns cells.
  Accelerators largestGang(Accelerators limit) const;

private:
  static constexpr std::size_t Orders = 5;

  /// Available slots of one rack.
  struct RackTotals {
    /// Slots of servers that are entirely available.
    std::uint32_t Whole = 0;
    /// Largest number of available slots on a partly available server.
    std::uint32_t LargestPart = 0;
    std::uint32_t Slots = 0;
  };

  /// True if all slots of the server are available.
  bool whole(ServerIndex server) const;
  void indexServer(std::uint32_t server, SlotMask before, SlotMask after);
  void indexRack(RackIndex rack);

  std::optional<GangCells> findInServer(std::uint32_t gang) const;
  std::optional<ServerIndex> bestFitServer(std::uint32_t gang) const;
  std::optional<GangCells> findInRack(std::uint32_t gang) const;
  std::optional<GangCells> findAcrossRacks(std::uint32_t gang) const;
  /// The narrowest span of racks in which the totals `sum` reach `gang`; empty
  /// if there is none.
  std::vector<RackIndex>
  narrowestRackSpan(std::uint32_t gang, std::uint32_t RackTotals::*sum) const;
  std::uint32_t largestAcrossRacks(std::uint32_t limit) const;
  std::uint32_t slotsIn(RackIndex rack) const;
  GangCells fill(const std::vector<RackIndex> &racks, std::uint32_t gang) const;
  std::vector<ServerIndex> wholeServers(RackIndex rack,
                                        std::uint32_t gang) const;

  const PodLayout &Layout;
  std::vector<SlotMask> Available;
  std::uint32_t Total = 0;
  /// Entry i: servers with a maximal aligned available block of 2^i slots.
  std::array<IndexSet, Orders> ByBlock;
  /// Servers ranked by their number of available slots.
  RankedSet ByCount;
  std::vector<RackTotals> Racks;
  /// Racks ranked by RackTotals::Whole, by Whole + LargestPart, and by Slots.
  RankedSet RacksByWhole;
  RankedSet RacksByWholeAndPart;
  RankedSet RacksBySlots;
};

/// Chooses `gang` available slots in the smallest aligned block that contains
/// enough, and splits whole sub-blocks last. `available` must have at least
/// `gang` slots.
SlotMask chooseSlots(SlotMask available, std::uint32_t gang);

} // namespace citrongap

#endif // CITRONGAP_POLICY_CELLS_H
