// Token bucket, the rate limiter of admission, urgency and retry budgets.
#ifndef CITRONGAP_POLICY_TOKEN_BUCKET_H
#define CITRONGAP_POLICY_TOKEN_BUCKET_H

#include "citrongap/base/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace citrongap {

/// Invariant: 0 <= Tokens <= Capacity. Starts full.
class TokenBucket {
public:
  /// `perMs`: tokens refilled per millisecond.
  TokenBucket(double capacity, double perMs, MonoTime now)
      : Capacity(capacity), PerMs(perMs), Tokens(capacity), RefilledAt(now) {}

  /// Takes one token; returns false when none is available.
  bool take(MonoTime now) {
    refill(now);
    if (Tokens < AvailableThreshold)
      return false;
    Tokens = std::max(0.0, Tokens - 1);
    return true;
  }

  /// Adds tokens up to the capacity.
  void put(double tokens) { Tokens = std::min(Capacity, Tokens + tokens); }

  /// Changes capacity and rate without returning spent tokens.
  void resize(double capacity, double perMs, MonoTime now) {
    refill(now);
    const double spent = Capacity - Tokens;
    Capacity = capacity;
    PerMs = perMs;
    Tokens = std::max(0.0, capacity - spent);
  }

  /// Milliseconds until a token is available; 0 for now, -1 for never.
  std::int64_t msUntilAvailable(MonoTime now) {
    refill(now);
    if (Tokens >= AvailableThreshold)
      return 0;
    if (PerMs <= 0 || Capacity < 1)
      return -1;
    return static_cast<std::int64_t>(std::ceil((1 - Tokens) / PerMs));
  }

  /// Tokens available at `now`.
  double tokens(MonoTime now) {
    refill(now);
    return Tokens;
  }

private:
  /// Slightly below one token, to absorb rounding errors of the refill.
  static constexpr double AvailableThreshold = 1 - 1e-6;

  void refill(MonoTime now) {
    if (now <= RefilledAt)
      return;
    put(PerMs * static_cast<double>((now - RefilledAt).count()));
    RefilledAt = now;
  }

  double Capacity;
  double PerMs;
  double Tokens;
  MonoTime RefilledAt;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_TOKEN_BUCKET_H
