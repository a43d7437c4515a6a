// Seeded malformed input for tests of decoders, and the memory that reading it
// takes.
#ifndef CITRONGAP_TESTING_BROKEN_BYTES_H
#define CITRONGAP_TESTING_BROKEN_BYTES_H

#include "citrongap/base/random.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <sys/resource.h>
#include <vector>

namespace citrongap::testing {

/// Calls `read` with random bytes, with each truncation of each good message,
/// and with copies of it in which a few bytes are changed, removed or added.
template <typename Read>
void readBroken(const std::vector<std::string> &good, std::uint64_t seed,
                const Read &read) {
  constexpr int Rounds = 3000;
  constexpr std::size_t MaxNoiseBytes = 300;
  Random random(seed);
  const auto noise = [&](std::size_t longest) {
    std::string out(random.between(0, longest), '\0');
    for (char &it : out)
      it = static_cast<char>(random.between(0, 255));
    return out;
  };
  for (int n = 0; n < Rounds; ++n) {
    read(noise(MaxNoiseBytes));
    // The first byte of many encodings names the byte order.
    read('\1' + noise(MaxNoiseBytes));
  }
  for (const std::string &it : good) {
    for (std::size_t n = 0; n < it.size(); ++n)
      read(it.substr(0, n));
    for (int n = 0; n < Rounds; ++n) {
      std::string text = it;
      for (auto edits = random.between(1, 6); edits > 0; --edits) {
        const std::size_t at = random.between(0, text.size());
        if (random.between(0, 3) == 0)
          text.erase(at, random.between(1, 8));
        else if (random.between(0, 2) == 0 || at == text.size())
          text.insert(at, noise(8));
        else
          text[at] = static_cast<char>(random.between(0, 255));
      }
      read(text);
    }
  }
}

/// Copies of `good` in which eight bytes, at each place in turn, claim a size
/// of 256 MB.
inline std::vector<std::string> hugeClaims(const std::string &good) {
  std::vector<std::string> out;
  for (std::size_t at = 0; at + 8 <= good.size(); ++at)
    out.push_back(std::string(good).replace(at, 8, {0, 0, 0, 16, 0, 0, 0, 0}));
  return out;
}

/// Most memory that the process has held so far, in kilobytes.
inline long peakMemoryKb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

} // namespace citrongap::testing

#endif // CITRONGAP_TESTING_BROKEN_BYTES_H
