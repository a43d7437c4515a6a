// Encodes datagrams and checks those of others.
#include "citrongap/peer/swim_message.h"

#include "citrongap/peer/codec.h"

#include <algorithm>

namespace citrongap {

namespace {

constexpr std::size_t MaxTextBytes = 64;
/// Far beyond any start time in milliseconds, and safe to count up from.
constexpr std::uint64_t MaxIncarnation = std::uint64_t(1) << 62U;

bool sane(const Member &member) {
  return !member.Id.empty() && member.Id.str().size() <= MaxTextBytes &&
         member.DataCentre.str().size() <= MaxTextBytes &&
         member.Address.Ip.size() <= MaxTextBytes &&
         member.State <= MemberState::Leaving &&
         member.Incarnation < MaxIncarnation;
}

} // namespace

std::string encodeSwim(const SwimMessage &message) { return encode(message); }

std::optional<SwimMessage> decodeSwim(std::string_view bytes) {
  if (bytes.size() > MaxDatagramBytes)
    return std::nullopt;
  auto message = decode<SwimMessage>(bytes);
  if (!message || message->Kind > SwimKind::News || !sane(message->Sender) ||
      message->Target.str().size() > MaxTextBytes ||
      !std::all_of(message->Updates.begin(), message->Updates.end(), sane))
    return std::nullopt;
  return message;
}

std::size_t updateBytes(const Member &update) {
  // Less the byte that names the byte order.
  return encode(update).size() - 1;
}

} // namespace citrongap
