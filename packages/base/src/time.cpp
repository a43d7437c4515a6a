// Clock readings, truncated to milliseconds.
#include "citrongap/base/time.h"

namespace citrongap {

MonoTime monoNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

WallTime wallNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

} // namespace citrongap
