// Hash functions with the same results in every process (xxHash, fixed seed).
#ifndef CITRONGAP_BASE_HASH_H
#define CITRONGAP_BASE_HASH_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace citrongap {

/// XXH64 with seed 0.
std::uint64_t stableHash(std::string_view text);

/// Rendezvous hashing: returns the index of the node with the highest weight
/// for `key`, or `nodes.size()` if there are no nodes. Removing a node moves
/// only the keys assigned to it.
std::size_t rendezvousPick(std::string_view key,
                           const std::vector<std::string_view> &nodes);

} // namespace citrongap

#endif // CITRONGAP_BASE_HASH_H
