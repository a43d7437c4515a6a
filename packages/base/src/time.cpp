// Clock readings, truncated to milliseconds.
#include "citrongap/base/time.h"

#include <ctime>

namespace citrongap {

MonoTime monoNow() {
  // CLOCK_MONOTONIC stands still while the VM is suspended. A permission must
  // not outlast a suspension.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto sinceBoot =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return MonoTime(std::chrono::duration_cast<Millis>(sinceBoot));
}

WallTime wallNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

} // namespace citrongap
