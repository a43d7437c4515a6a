// Seeded random numbers and unique ids.
#ifndef CITRONGAP_BASE_RANDOM_H
#define CITRONGAP_BASE_RANDOM_H

#include <cstdint>
#include <random>
#include <string>

namespace citrongap {

/// Deterministic generator: the seed determines the whole sequence.
class Random {
public:
  explicit Random(std::uint64_t seed) : Engine(seed) {}
  /// Seeded from the operating system.
  static Random fromDevice();

  /// Uniform in [low, high].
  std::uint64_t between(std::uint64_t low, std::uint64_t high);
  /// Uniform in [0, 1).
  double unit();
  /// A random id of 32 hexadecimal digits (128 bits).
  std::string uniqueId();
  std::mt19937_64 &engine() { return Engine; }

private:
  std::mt19937_64 Engine;
};

} // namespace citrongap

#endif // CITRONGAP_BASE_RANDOM_H
