#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

namespace wigeonlift {

/// Limits the mean rate, but lets tokens that were saved up to a capacity be used at once.
class TokenBucket {
public:
  /// Sets the rate and the capacity, which is the tokens of `burstDuration`. The first rate above
  /// zero fills the bucket; later changes only remove tokens above the new capacity.
  void setRate(double tokensPerSecond, Duration burstDuration, TimePoint now) {
    refill(now);
    TokensPerSecond = tokensPerSecond;
    const double capacity = tokensPerSecond * toSeconds(burstDuration);
    Tokens = WasFilled ? std::min(Tokens, capacity) : capacity;
    WasFilled = WasFilled || capacity > 0;
    Capacity = capacity;
  }
  bool take(TimePoint now) {
    refill(now);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }
  double tokensAtLastRefill() const { return Tokens; }

private:
  void refill(TimePoint now) {
    Tokens = std::min(Capacity, Tokens + TokensPerSecond * toSeconds(now - RefilledAt));
    RefilledAt = now;
  }

  double TokensPerSecond = 0;
  double Capacity = 0;
  double Tokens = 0;
  TimePoint RefilledAt{};
  bool WasFilled = false;
};

} // namespace wigeonlift
