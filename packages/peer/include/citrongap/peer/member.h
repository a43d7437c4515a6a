// What one entry VM knows of another.
#ifndef CITRONGAP_PEER_MEMBER_H
#define CITRONGAP_PEER_MEMBER_H

#include "citrongap/base/ids.h"
#include "citrongap/net/endpoint.h"

#include <cstdint>
#include <string>

namespace citrongap {

/// A suspect may be frozen or cut off; it counts as dead once its suspicion
/// deadline passes without a sign of life.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Leaving };

/// "alive", "suspect", "dead" or "leaving".
const char *toString(MemberState state);

struct Member {
  EntryVmId Id;
  DataCentreId DataCentre;
  Endpoint Address;
  MemberState State = MemberState::Alive;
  /// Raised by the member itself when it refutes a suspicion or restarts.
  std::uint64_t Incarnation = 0;
  /// The configuration revision that the member has in force.
  Revision InForce;

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(Id, DataCentre, Address, State, Incarnation, InForce);
  }
};

} // namespace citrongap

#endif // CITRONGAP_PEER_MEMBER_H
