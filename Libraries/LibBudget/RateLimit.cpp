#include <LibBudget/RateLimit.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace wigeonlift {

namespace {

// Short bursts are normal for callers and are admitted without waiting.
constexpr double BurstSeconds = 0.1;
// A waiting call is started a little after its token becomes available. The bucket has room for the
// tokens of this delay, so that they are not lost.
constexpr double StartDelaySeconds = 0.01;
// Longer waits would overflow TimePoint.
constexpr double MaxWaitSeconds = 1e8;

/// Time at which `tokens` more tokens have become available. Rounded up, so that they are available
/// at the returned time.
TimePoint timeOfTokens(TimePoint from, double tokens, double rate) {
  if (tokens <= 0)
    return from;
  if (rate <= 0 || tokens / rate > MaxWaitSeconds)
    return TimePoint::max();
  return from + Duration{static_cast<Duration::rep>(std::ceil(tokens / rate * 1e9)) + 1};
}

} // namespace

void RateLimit::setRate(double callsPerSecond, TimePoint now) {
  setRate(callsPerSecond, std::numeric_limits<double>::infinity(), now);
}

void RateLimit::setRate(double callsPerSecond, double maxTokens, TimePoint now) {
  refill(now);
  Rate = std::max(0.0, callsPerSecond);
  const double capacity = std::max(1.0, Rate * BurstSeconds) + Rate * StartDelaySeconds;
  Capacity = Rate > 0 ? std::min(capacity, maxTokens) : 0;
  Tokens = IsRateSet ? std::min(Tokens, Capacity) : Capacity;
  IsRateSet = true;
}

bool RateLimit::take(TimePoint now) {
  refill(now);
  if (!hasToken())
    return false;
  Tokens -= 1;
  return true;
}

bool RateLimit::hasToken() const { return Tokens >= 1; }

TimePoint RateLimit::readyAt(std::size_t callsAhead) const {
  return timeOfTokens(RefilledAt, static_cast<double>(callsAhead) + 1 - Tokens, Rate);
}

TimePoint RateLimit::readyAt(std::size_t callsAhead, TimePoint rateChangesAt,
                             double newRate) const {
  const TimePoint readyAtCurrentRate = readyAt(callsAhead);
  if (readyAtCurrentRate <= rateChangesAt)
    return readyAtCurrentRate;
  const double tokensAtChange =
      Tokens + Rate * std::max(0.0, toSeconds(rateChangesAt - RefilledAt));
  return timeOfTokens(std::max(rateChangesAt, RefilledAt),
                      static_cast<double>(callsAhead) + 1 - tokensAtChange, newRate);
}

void RateLimit::refill(TimePoint now) {
  if (now > RefilledAt)
    Tokens = std::min(Capacity, Tokens + Rate * toSeconds(now - RefilledAt));
  RefilledAt = std::max(RefilledAt, now);
}

} // namespace wigeonlift
