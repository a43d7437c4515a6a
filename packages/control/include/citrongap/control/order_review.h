// Review of orders to backend servers whose outcome has not been seen.
#ifndef CITRONGAP_CONTROL_ORDER_REVIEW_H
#define CITRONGAP_CONTROL_ORDER_REVIEW_H

#include "citrongap/base/time.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace citrongap {

/// What one review of all links is told, and what it finds.
struct OrderReview {
  /// Orders are logged from this age on.
  Millis MinAge{2000};
  /// Lines that may still be written; the others follow with later reviews.
  std::size_t Lines = 0;
  /// The server list is too old to send starts by it.
  bool ListStale = false;
  /// Ages of the oldest orders, 0 without one.
  Millis OldestStop{0};
  Millis OldestStart{0};

  /// Whether a line is due for an order of this age; counts it.
  bool takeLine(Millis age) {
    if (age < MinAge || Lines == 0)
      return false;
    --Lines;
    return true;
  }
};

/// What something waits for, and when that comes at the latest, if known.
struct WaitReason {
  const char *For = "";
  std::optional<MonoTime> Until;

  bool operator==(const WaitReason &) const = default;
};

} // namespace citrongap

#endif // CITRONGAP_CONTROL_ORDER_REVIEW_H
