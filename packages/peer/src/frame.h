// Frames on the TCP connections between entry VMs: a length of four bytes, big
// endian, then the encoded frame.
#ifndef CITRONGAP_PEER_FRAME_H
#define CITRONGAP_PEER_FRAME_H

#include "citrongap/base/ids.h"

#include <cstdint>
#include <string>
#include <variant>

struct evbuffer;

namespace citrongap {

enum class FrameKind : std::uint8_t {
  Request,
  Answer,
  /// The receiver sends no more requests on this connection and closes it
  /// once it has its answers.
  GoAway
};

struct Frame {
  /// Matches an answer to its request; unique within one sending process.
  std::uint64_t Correlation = 0;
  FrameKind Kind = FrameKind::Request;
  EntryVmId Sender;
  std::string Body;

  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) {
    ar(Correlation, Kind, Sender, Body);
  }
};

/// The rest of the frame has not arrived yet.
struct FrameIncomplete {};
/// Longer than the limit, or not a frame.
struct FrameMalformed {
  std::string Reason;
};
using FrameResult = std::variant<Frame, FrameIncomplete, FrameMalformed>;

/// The frame with its length.
std::string packFrame(const Frame &frame);
/// Takes the first frame out of `input`.
FrameResult takeFrame(evbuffer *input, std::size_t maxFrameBytes);

} // namespace citrongap

#endif // CITRONGAP_PEER_FRAME_H
