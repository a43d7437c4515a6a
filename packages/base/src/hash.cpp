// xxHash wrapper and rendezvous (highest random weight) hashing.
#include "citrongap/base/hash.h"

#include <string>
#include <xxhash.h>

namespace citrongap {

std::uint64_t stableHash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

std::size_t rendezvousPick(std::string_view key,
                           const std::vector<std::string_view> &nodes) {
  std::size_t best = nodes.size();
  std::uint64_t bestWeight = 0;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    std::string buf(key);
    buf += '\0';
    buf += nodes[i];
    const std::uint64_t weight = stableHash(buf);
    if (best == nodes.size() || weight > bestWeight) {
      best = i;
      bestWeight = weight;
    }
  }
  return best;
}

} // namespace citrongap
