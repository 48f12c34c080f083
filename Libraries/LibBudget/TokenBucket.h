#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

namespace wigeonlift {

/// Bounds a mean rate over a longer span, within which it may be used unevenly.
class TokenBucket {
public:
  /// The bucket holds what comes within the span. It starts full.
  void setRate(double perSecond, Duration span, TimePoint now) {
    refill(now);
    PerSecond = perSecond;
    const double capacity = perSecond * toSeconds(span);
    Tokens = IsStarted ? std::min(Tokens, capacity) : capacity;
    IsStarted = IsStarted || capacity > 0;
    Capacity = capacity;
  }
  bool take(TimePoint now) {
    refill(now);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }
  double tokens() const { return Tokens; }

private:
  void refill(TimePoint now) {
    Tokens = std::min(Capacity, Tokens + PerSecond * toSeconds(now - RefilledAt));
    RefilledAt = now;
  }

  double PerSecond = 0;
  double Capacity = 0;
  double Tokens = 0;
  TimePoint RefilledAt{};
  bool IsStarted = false;
};

} // namespace wigeonlift
