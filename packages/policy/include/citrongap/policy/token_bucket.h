// A token bucket: the one rate limit that admission, urgency and retries use.
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
  TokenBucket(double capacity, double perMs, MonoTime now)
      : Capacity(capacity), PerMs(perMs), Tokens(capacity), FilledAt(now) {}

  /// Takes one token; false when there is none.
  bool take(MonoTime now) {
    fill(now);
    if (Tokens < OneToken)
      return false;
    Tokens = std::max(0.0, Tokens - 1);
    return true;
  }

  /// Adds tokens up to the capacity.
  void put(double tokens) { Tokens = std::min(Capacity, Tokens + tokens); }

  /// Changes capacity and rate; what was spent stays spent.
  void resize(double capacity, double perMs, MonoTime now) {
    fill(now);
    const double spent = Capacity - Tokens;
    Capacity = capacity;
    PerMs = perMs;
    Tokens = std::max(0.0, capacity - spent);
  }

  /// Milliseconds until a token is there: 0 for now, -1 for never.
  std::int64_t waitMs(MonoTime now) {
    fill(now);
    if (Tokens >= OneToken)
      return 0;
    if (PerMs <= 0 || Capacity < 1)
      return -1;
    return static_cast<std::int64_t>(std::ceil((1 - Tokens) / PerMs));
  }

  double tokens(MonoTime now) {
    fill(now);
    return Tokens;
  }

private:
  /// One token but for the rounding of the fill.
  static constexpr double OneToken = 1 - 1e-6;

  void fill(MonoTime now) {
    if (now <= FilledAt)
      return;
    put(PerMs * static_cast<double>((now - FilledAt).count()));
    FilledAt = now;
  }

  double Capacity;
  double PerMs;
  double Tokens;
  MonoTime FilledAt;
};

} // namespace citrongap

#endif // CITRONGAP_POLICY_TOKEN_BUCKET_H
