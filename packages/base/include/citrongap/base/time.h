// Time points with millisecond resolution. Interfaces store and pass deadlines
// rather than remaining durations.
#ifndef CITRONGAP_BASE_TIME_H
#define CITRONGAP_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace citrongap {

using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Monotonic time of this process, for leases, timeouts and queueing.
using MonoTime = std::chrono::time_point<std::chrono::steady_clock, Millis>;
/// Wall-clock time, only for the request deadlines that clients set.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Millis>;

MonoTime monoNow();
WallTime wallNow();

/// Milliseconds since the epoch of the clock.
inline std::int64_t toMillis(WallTime at) {
  return at.time_since_epoch().count();
}
inline std::int64_t toMillis(MonoTime at) {
  return at.time_since_epoch().count();
}
inline WallTime wallFromMillis(std::int64_t ms) { return WallTime(Millis(ms)); }
inline MonoTime monoFromMillis(std::int64_t ms) { return MonoTime(Millis(ms)); }

} // namespace citrongap

#endif // CITRONGAP_BASE_TIME_H
