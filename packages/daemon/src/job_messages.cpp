// Codec of the messages about jobs.
#include "citrongap/daemon/job_messages.h"

#include "citrongap/peer/codec.h"

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace citrongap {

std::string encodeRequest(const PeerRequest &it) { return encode(it); }

std::string encodeAnswer(const PeerAnswer &it) { return encode(it); }

bool decodeRequest(const std::string &bytes, PeerRequest &out) {
  auto decoded = decode<PeerRequest>(bytes);
  if (decoded)
    out = std::move(*decoded);
  return decoded.has_value();
}

bool decodeAnswer(const std::string &bytes, PeerAnswer &out) {
  auto decoded = decode<PeerAnswer>(bytes);
  if (decoded)
    out = std::move(*decoded);
  return decoded.has_value();
}

} // namespace citrongap
