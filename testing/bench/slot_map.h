// The accelerators of a simulated pod: the truth that the driver checks
// placements against, and the view that the baselines place with.
#ifndef CITRONGAP_TESTING_BENCH_SLOT_MAP_H
#define CITRONGAP_TESTING_BENCH_SLOT_MAP_H

#include "citrongap/policy/pod_scheduler.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace citrongap::bench {

enum class Fit : std::uint8_t { First, Best };

/// A gang that a server can hold goes on one server, one that a rack can hold
/// into one rack, a larger one on a run of adjacent racks.
class SlotMap {
public:
  /// Servers come rack by rack.
  void addServer(const ServerDescription &server);

  std::optional<Placement> place(Accelerators gang, Fit fit) const;
  /// Takes the slots; false, and nothing is taken, when the placement is not
  /// whole, not free or not adjacent.
  bool take(const Placement &where, Accelerators gang);
  void give(const Placement &where);

  Accelerators free() const { return {Free}; }
  Accelerators total() const { return {Total}; }
  /// The largest gang that could start.
  Accelerators largest() const;
  bool fits(Accelerators gang) const { return gang <= largest(); }
  /// Free accelerators that no gang of these sizes could use any of.
  Accelerators unusable(const std::set<std::uint32_t> &gangs) const;

private:
  struct Server {
    BackendServerId Id;
    std::size_t Rack = 0;
    std::vector<bool> Taken;
    std::uint32_t Free = 0;
  };

  struct Rack {
    RackId Id;
    std::vector<std::size_t> Servers;
    std::uint32_t Free = 0;
    std::uint32_t Total = 0;
  };

  using Candidates = std::vector<std::size_t>;

  Candidates serverFor(std::uint32_t gang, Fit fit) const;
  Candidates rackFor(std::uint32_t gang, Fit fit) const;
  Candidates racksFor(std::uint32_t gang, Fit fit) const;
  Placement fill(const Candidates &servers, std::uint32_t gang) const;
  bool adjacent(const Placement &where, std::uint32_t gang) const;

  std::vector<Server> Servers;
  std::vector<Rack> Racks;
  std::unordered_map<BackendServerId, std::size_t> Index;
  std::uint32_t Free = 0;
  std::uint32_t Total = 0;
  std::uint32_t LargestServer = 0;
  std::uint32_t LargestRack = 0;
};

} // namespace citrongap::bench

#endif // CITRONGAP_TESTING_BENCH_SLOT_MAP_H
