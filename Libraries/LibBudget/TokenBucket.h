#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

namespace wigeonlift {

/// Limits the mean rate over a time span, within which the tokens may be used unevenly.
class TokenBucket {
public:
  /// Sets the rate and the capacity, which is the tokens of one span. The bucket starts full.
  void setRate(double tokensPerSecond, Duration span, TimePoint now) {
    refill(now);
    TokensPerSecond = tokensPerSecond;
    const double capacity = tokensPerSecond * toSeconds(span);
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
    Tokens = std::min(Capacity, Tokens + TokensPerSecond * toSeconds(now - RefilledAt));
    RefilledAt = now;
  }

  double TokensPerSecond = 0;
  double Capacity = 0;
  double Tokens = 0;
  TimePoint RefilledAt{};
  bool IsStarted = false;
};

} // namespace wigeonlift
