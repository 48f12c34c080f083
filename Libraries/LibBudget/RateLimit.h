#pragma once

#include <LibBase/LibBase.h>

#include <cstddef>

namespace wigeonlift {

/// Token bucket that limits the calls per second.
class RateLimit {
public:
  /// Sets the rate and the capacity, which is zero at a rate of zero and otherwise the tokens of
  /// 100 ms, but at least one, plus the tokens of 10 ms. The first call fills the bucket; later
  /// calls only remove tokens above the new capacity.
  void setRate(double callsPerSecond, TimePoint now);
  /// The same with a capacity of at most `maxTokens`.
  void setRate(double callsPerSecond, double maxTokens, TimePoint now);
  /// Adds the tokens for the time since the last refill.
  void refill(TimePoint now);
  /// Takes one token. Returns false if there is none.
  bool take(TimePoint now);
  /// Whether a token is available, without the tokens for the time since the last refill.
  bool hasToken() const;
  /// Time at which the token for a call behind `callsAhead` waiting calls becomes available, but no
  /// earlier than the last refill. `TimePoint::max()` if the token never becomes available.
  TimePoint readyAt(std::size_t callsAhead) const;
  /// Time at which the token for a call behind `callsAhead` waiting calls becomes available if the
  /// rate becomes `newRate` at `rateChangesAt`.
  TimePoint readyAt(std::size_t callsAhead, TimePoint rateChangesAt, double newRate) const;
  double rate() const { return Rate; }

private:
  double Rate = 0;
  double Capacity = 1;
  double Tokens = 0;
  TimePoint RefilledAt{};
  bool IsRateSet = false;
};

} // namespace wigeonlift
