// Packs frames with their length and takes them out of libevent buffers.
#include "frame.h"

#include "citrongap/peer/codec.h"

#include <arpa/inet.h>
#include <cstring>
#include <event2/buffer.h>
#include <fmt/format.h>

namespace citrongap {

std::string packFrame(const Frame &frame) {
  const std::string body = encode(frame);
  const std::uint32_t length = htonl(static_cast<std::uint32_t>(body.size()));
  std::string out(sizeof length, '\0');
  std::memcpy(out.data(), &length, sizeof length);
  return out + body;
}

FrameResult takeFrame(evbuffer *input, std::size_t maxFrameBytes) {
  std::uint32_t length = 0;
  if (evbuffer_copyout(input, &length, sizeof length) < int(sizeof length))
    return FrameIncomplete{};
  length = ntohl(length);
  if (length > maxFrameBytes)
    return FrameMalformed{fmt::format("a frame of {} bytes", length)};
  if (evbuffer_get_length(input) < sizeof length + length)
    return FrameIncomplete{};
  evbuffer_drain(input, sizeof length);
  std::string body(length, '\0');
  evbuffer_remove(input, body.data(), body.size());
  auto frame = decode<Frame>(body);
  if (!frame || frame->Kind > FrameKind::GoAway)
    return FrameMalformed{"not a frame"};
  return std::move(*frame);
}

} // namespace citrongap
