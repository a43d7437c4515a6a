// Binary encoding of messages between entry VMs: cereal's portable binary
// format, little endian. Include it in .cpp files only, together with the
// cereal/types headers that the message needs.
#ifndef CITRONGAP_PEER_CODEC_H
#define CITRONGAP_PEER_CODEC_H

#include "citrongap/base/bounded_input_archive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace citrongap {

template <typename T> std::string encode(const T &message) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(
      stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  archive(message);
  return std::move(stream).str();
}

/// Nothing when `bytes` are truncated, malformed or longer than the message.
template <typename T> std::optional<T> decode(std::string_view bytes) {
  try {
    BoundedInputArchive archive(bytes);
    T message{};
    archive(message);
    if (archive.remaining() != 0)
      return std::nullopt;
    return message;
  } catch (const std::exception &) {
    // cereal reports malformed input by exceptions.
    return std::nullopt;
  }
}

} // namespace citrongap

#endif // CITRONGAP_PEER_CODEC_H
