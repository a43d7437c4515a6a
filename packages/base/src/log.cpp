// Writes one log line at a time to standard error.
#include "citrongap/base/log.h"

#include "citrongap/base/time.h"

#include <cstdio>
#include <fmt/chrono.h>

namespace citrongap {

void Log::write(std::string_view message) const {
  const WallTime now = wallNow();
  const auto whole = std::chrono::time_point_cast<Seconds>(now);
  const auto ms = (now - whole).count();
  fmt::print(stderr, "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {}: {}\n",
             fmt::gmtime(std::chrono::system_clock::to_time_t(whole)), ms,
             Prefix, message);
}

} // namespace citrongap
