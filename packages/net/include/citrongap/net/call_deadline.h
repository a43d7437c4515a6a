// End of a call's wait for its answer.
#ifndef CITRONGAP_NET_CALL_DEADLINE_H
#define CITRONGAP_NET_CALL_DEADLINE_H

#include "citrongap/base/time.h"

namespace citrongap {

/// A call ends at `At` unless its answer is complete. With a `ProgressTimeout`,
/// the deadline moves on while bytes of the answer arrive, so that a large
/// answer over a slow link is not given up midway.
struct CallDeadline {
  MonoTime At;
  /// Longest time without further bytes once the first have arrived. Zero: the
  /// deadline is fixed.
  Millis ProgressTimeout{0};

  // Implicit: a plain time is a fixed deadline.
  CallDeadline(MonoTime at) : At(at) {}
  CallDeadline(MonoTime at, Millis progressTimeout)
      : At(at), ProgressTimeout(progressTimeout) {}

  bool isFixed() const { return ProgressTimeout == Millis(0); }
};

} // namespace citrongap

#endif // CITRONGAP_NET_CALL_DEADLINE_H
