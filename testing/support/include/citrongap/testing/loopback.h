// Loopback addresses that are a test process's own, so that test programs can
// run side by side on the same ports.
#ifndef CITRONGAP_TESTING_LOOPBACK_H
#define CITRONGAP_TESTING_LOOPBACK_H

#include <string>
#include <unistd.h>

namespace citrongap::testing {

/// "127.A.B.host" with A and B from the process id; `host` from 1 to 254.
inline std::string loopbackIp(unsigned host = 1) {
  const auto pid = static_cast<unsigned>(getpid());
  const unsigned high = 1 + (pid >> 8U) % 254;
  const unsigned low = pid & 255U;
  return "127." + std::to_string(high) + "." + std::to_string(low) + "." +
         std::to_string(host);
}

} // namespace citrongap::testing

#endif // CITRONGAP_TESTING_LOOPBACK_H
