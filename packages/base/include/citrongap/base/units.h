// Strong types for quantities.
#ifndef CITRONGAP_BASE_UNITS_H
#define CITRONGAP_BASE_UNITS_H

#include <compare>
#include <cstdint>

namespace citrongap {

/// A number of accelerators.
struct Accelerators {
  std::uint32_t Count = 0;

  auto operator<=>(const Accelerators &) const = default;
  Accelerators &operator+=(Accelerators other) {
    Count += other.Count;
    return *this;
  }
  /// Requires `other <= *this`.
  Accelerators &operator-=(Accelerators other) {
    Count -= other.Count;
    return *this;
  }
  /// cereal hook.
  template <typename Archive> void serialize(Archive &ar) { ar(Count); }
};

inline Accelerators operator+(Accelerators lhs, Accelerators rhs) {
  return lhs += rhs;
}
inline Accelerators operator-(Accelerators lhs, Accelerators rhs) {
  return lhs -= rhs;
}

} // namespace citrongap

#endif // CITRONGAP_BASE_UNITS_H
