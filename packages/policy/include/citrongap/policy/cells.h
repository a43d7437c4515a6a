// The cells of a pod: accelerator, aligned pair, quad, server, rack, pod.
//
// A CellPool holds which accelerators of a pod are available for one purpose
// and finds the smallest enclosing cell for a whole gang:
//   - a gang that fits in one server gets one server, and in it the smallest
//     aligned block; among servers the one whose block is broken least;
//   - a gang that fits in one rack gets whole adjacent servers of one rack and
//     at most one part of a server; scattered parts of the rack as a last
//     resort;
//   - a larger gang gets the narrowest run of adjacent racks.
// Blocks are split and merged as in a buddy allocator, but for the fan-out,
// which is per level: racks have six or eight servers, or any other number.
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

/// Position of a server in its pod's layout; reused after a removal.
struct ServerIndex {
  std::uint32_t At = 0;
  auto operator<=>(const ServerIndex &) const = default;
};

struct RackIndex {
  std::uint32_t At = 0;
  auto operator<=>(const RackIndex &) const = default;
};

/// Accelerators of one server, bit i for slot i.
using SlotMask = std::uint32_t;

/// Accelerators of one server that are scheduled; more are ignored.
inline constexpr std::uint32_t MaxSlots = 16;

/// A run of racks may be this many times wider than the gang needs at best.
inline constexpr std::uint32_t MaxRackSpread = 2;

std::uint32_t slotCount(SlotMask slots);
SlotMask allSlots(Accelerators total);

/// The part of a gang on one server. Invariant: Slots is not empty.
struct ServerCells {
  ServerIndex Server;
  SlotMask Slots = 0;
  bool operator==(const ServerCells &) const = default;
};

/// The accelerators of a whole gang; each server at most once.
using GangCells = std::vector<ServerCells>;

std::uint32_t slotCount(const GangCells &cells);

/// Which servers stand in which rack, and which racks are adjacent.
class PodLayout {
public:
  /// Adds a rack behind the others.
  RackIndex addRack();
  /// Every rack once, neighbours next to each other.
  void setRackOrder(std::vector<RackIndex> order);
  /// Adds a server before the `position`-th one of its rack.
  ServerIndex addServer(RackIndex rack, std::size_t position,
                        Accelerators total);
  void removeServer(ServerIndex server);

  const std::vector<RackIndex> &rackOrder() const { return Order; }
  const std::vector<ServerIndex> &serversOf(RackIndex rack) const {
    return Racks[rack.At];
  }
  RackIndex rackOf(ServerIndex server) const { return Servers[server.At].Rack; }
  SlotMask slotsOf(ServerIndex server) const {
    return Servers[server.At].Slots;
  }
  std::size_t rackCount() const { return Racks.size(); }
  /// Indexes handed out so far, those of removed servers included.
  std::size_t serverCount() const { return Servers.size(); }
  Accelerators largestServer() const { return LargestServer; }
  Accelerators largestRack() const { return LargestRack; }

private:
  struct Server {
    RackIndex Rack;
    /// Empty once removed.
    SlotMask Slots = 0;
  };

  void measure();

  std::vector<Server> Servers;
  std::vector<ServerIndex> Unused;
  std::vector<std::vector<ServerIndex>> Racks;
  std::vector<RackIndex> Order;
  Accelerators LargestServer;
  Accelerators LargestRack;
};

class CellPool {
public:
  /// `layout` must outlive the pool.
  explicit CellPool(const PodLayout &layout) : Layout(layout) {}

  /// Replaces the available slots of one server.
  void set(ServerIndex server, SlotMask available);
  /// Removes cells that are all available.
  void take(const GangCells &cells);
  /// Returns cells that were taken.
  void give(const GangCells &cells);

  /// Cells for the whole gang, or none. Nothing is taken.
  std::optional<GangCells> find(Accelerators gang) const;
  Accelerators available() const { return {Total}; }
  SlotMask availableOn(ServerIndex server) const;
  /// The largest gang that find() has cells for, up to `limit`.
  Accelerators largest(Accelerators limit) const;

private:
  static constexpr std::size_t Orders = 5;

  /// What one rack has available.
  struct RackSums {
    /// Slots of servers that are available as a whole.
    std::uint32_t Whole = 0;
    /// Most slots of a server that is available in part.
    std::uint32_t LargestPart = 0;
    std::uint32_t Slots = 0;
  };

  bool whole(ServerIndex server) const;
  void indexServer(std::uint32_t server, SlotMask before, SlotMask after);
  void indexRack(RackIndex rack);

  std::optional<GangCells> findInServer(std::uint32_t gang) const;
  std::optional<ServerIndex> tightestServer(std::uint32_t gang) const;
  std::optional<GangCells> findInRack(std::uint32_t gang) const;
  std::optional<GangCells> findAcrossRacks(std::uint32_t gang) const;
  /// The narrowest run of racks with `gang` slots of the kind `sum` counts.
  std::vector<RackIndex> narrowestRun(std::uint32_t gang,
                                      std::uint32_t RackSums::*sum) const;
  std::uint32_t largestAcrossRacks(std::uint32_t limit) const;
  std::uint32_t slotsIn(RackIndex rack) const;
  GangCells fill(const std::vector<RackIndex> &racks, std::uint32_t gang) const;
  std::vector<ServerIndex> wholeServers(RackIndex rack,
                                        std::uint32_t gang) const;

  const PodLayout &Layout;
  std::vector<SlotMask> Available;
  std::uint32_t Total = 0;
  /// Servers that have a maximal aligned free block of 2^i slots.
  std::array<IndexSet, Orders> ByBlock;
  /// Servers with available slots, by their number.
  RankedSet ByCount;
  std::vector<RackSums> Racks;
  /// Racks by slots of whole servers; by these and the largest part; by all.
  RankedSet RacksByWhole;
  RankedSet RacksByReach;
  RankedSet RacksBySlots;
};

/// `gang` of the available slots in the smallest aligned block that has them,
/// unbroken smaller blocks last. Requires that many.
SlotMask chooseSlots(SlotMask available, std::uint32_t gang);

} // namespace citrongap

#endif // CITRONGAP_POLICY_CELLS_H
