// What one backend server's answers tell of its clock.
#ifndef CITRONGAP_DAEMON_SERVER_CLOCK_H
#define CITRONGAP_DAEMON_SERVER_CLOCK_H

#include "citrongap/platform/backend_port.h"

#include <algorithm>

namespace citrongap {

/// Bounds of how far the server's clock is ahead of this process's.
class ServerClock {
public:
  bool known() const { return Known; }

  /// An answer told `told`, read between these two times.
  void onAnswer(ServerTime told, MonoTime asked, MonoTime received) {
    const Millis least = told.time_since_epoch() - received.time_since_epoch();
    const Millis most = told.time_since_epoch() - asked.time_since_epoch();
    const Millis aged = drift(received);
    const Millis knownLeast = Known ? std::max(least, Least - aged) : least;
    const Millis knownMost = Known ? std::min(most, Most + aged) : most;
    const bool jumped = knownLeast > knownMost;
    Least = jumped ? least : knownLeast;
    Most = jumped ? most : knownMost;
    ReadAt = received;
    Known = true;
  }

  /// A time that the server's clock has passed at `now`.
  ServerTime passed(MonoTime now) const {
    return ServerTime(now.time_since_epoch() + Least - drift(now));
  }
  /// The earliest time here at which the server's clock may show `at`.
  MonoTime earliest(ServerTime at) const {
    return MonoTime(at.time_since_epoch() - Most);
  }

private:
  /// Two clocks drift apart by less than a thousandth.
  Millis drift(MonoTime now) const {
    constexpr int DriftDivisor = 1000;
    return (now - ReadAt) / DriftDivisor;
  }

  bool Known = false;
  Millis Least{0};
  Millis Most{0};
  MonoTime ReadAt;
};

} // namespace citrongap

#endif // CITRONGAP_DAEMON_SERVER_CLOCK_H
