// Random numbers from the standard library's Mersenne Twister.
#include "citrongap/base/random.h"

#include <fmt/format.h>

namespace citrongap {

Random Random::fromDevice() {
  std::random_device device;
  const std::uint64_t high = device();
  return Random((high << 32) | device());
}

std::uint64_t Random::between(std::uint64_t low, std::uint64_t high) {
  return std::uniform_int_distribution<std::uint64_t>(low, high)(Engine);
}

double Random::unit() {
  return std::uniform_real_distribution<double>(0, 1)(Engine);
}

std::string Random::uniqueId() {
  return fmt::format("{:016x}{:016x}", Engine(), Engine());
}

} // namespace citrongap
