// Members on a virtual clock and a datagram network with loss, cuts, pauses
// and deaths, all from one seed. For tests and measurements.
#ifndef CITRONGAP_PEER_FAKE_NETWORK_H
#define CITRONGAP_PEER_FAKE_NETWORK_H

#include "citrongap/peer/swim_state.h"

#include <functional>
#include <map>
#include <memory>

namespace citrongap {

class FakeNetwork {
public:
  struct Observation {
    MonoTime At;
    EntryVmId By;
    Member About;
  };
  /// Says whether a datagram between two members is dropped.
  using Cut = std::function<bool(const Member &from, const Member &to)>;

  explicit FakeNetwork(std::uint64_t seed, SwimSettings settings = {});

  /// Adds "vm-0"... over data centres "dc-0"..., everyone listed to everyone.
  void addAll(std::size_t members, std::size_t dataCentres);
  void start(const Member &self);
  /// The last known configuration of the member under a new incarnation.
  void restart(const EntryVmId &id);
  void kill(const EntryVmId &id) { Nodes.at(id).Up = false; }
  void freeze(const EntryVmId &id) { Nodes.at(id).Frozen = true; }
  void thaw(const EntryVmId &id) { Nodes.at(id).Frozen = false; }
  void list(const std::vector<Member> &listed);

  void run(Millis span);
  SwimState &state(const EntryVmId &id) { return *Nodes.at(id).State; }
  MonoTime now() const { return Now; }
  /// How `by` sees `about`; nothing when it doesn't know it.
  std::optional<Member> view(const EntryVmId &by, const EntryVmId &about);
  /// Whether every running member sees `about` in `state`.
  bool allSee(const EntryVmId &about, MemberState state);
  std::vector<EntryVmId> ids() const;

  /// IP and UDP headers included, sent and received by all members.
  std::uint64_t bytes() const;
  std::uint64_t bytes(const EntryVmId &id) const { return Nodes.at(id).Bytes; }
  std::size_t largestDatagram() const { return Largest; }

  double Loss = 0;
  Cut IsCut;
  std::vector<Observation> Observations;

private:
  struct Datagram {
    Endpoint From;
    std::string Bytes;
  };
  struct Node {
    std::unique_ptr<SwimState> State;
    bool Up = true;
    bool Frozen = false;
    /// Waits in the socket while the process is frozen.
    std::vector<Datagram> Inbox;
    Millis TickPhase{0};
    std::uint64_t Bytes = 0;
  };

  void step();
  void collect(const EntryVmId &id, Node &node);

  SwimSettings Settings;
  Random Chance;
  MonoTime Now = monoFromMillis(1000000);
  std::map<EntryVmId, Node> Nodes;
  std::map<Endpoint, EntryVmId> Addresses;
  std::vector<std::pair<EntryVmId, Datagram>> InFlight;
  std::size_t Largest = 0;
};

/// The number of a member or data centre as a name.
EntryVmId vmId(std::size_t n);
Member memberOf(std::size_t n, std::size_t dataCentre);

} // namespace citrongap

#endif // CITRONGAP_PEER_FAKE_NETWORK_H
