// Datagrams of the membership protocol, and their limits.
#ifndef CITRONGAP_PEER_SWIM_MESSAGE_H
#define CITRONGAP_PEER_SWIM_MESSAGE_H

#include "citrongap/peer/member.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citrongap {

enum class SwimKind : std::uint8_t {
  /// Asks for an Ack of the same sequence number.
  Ping,
  Ack,
  /// Asks the receiver to ping `Target` and to pass its Ack on.
  PingRequest,
  /// Asks for all members that the receiver knows.
  Sync,
  /// Carries updates only.
  News
};

struct SwimMessage {
  SwimKind Kind = SwimKind::Ping;
  std::uint64_t Sequence = 0;
  /// The sender as it sees itself, with the revision that it has in force.
  Member Sender;
  /// Only in a PingRequest.
  EntryVmId Target;
  std::vector<Member> Updates;

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(Kind, Sequence, Sender, Target, Updates);
  }
};

constexpr std::size_t MaxDatagramBytes = 1200;

std::string encodeSwim(const SwimMessage &message);
/// Nothing when the bytes are no message or hold values out of range.
std::optional<SwimMessage> decodeSwim(std::string_view bytes);
/// Bytes that `update` takes inside a message.
std::size_t updateBytes(const Member &update);

} // namespace citrongap

#endif // CITRONGAP_PEER_SWIM_MESSAGE_H
