#include <LibRouting/UpstreamHealth.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

constexpr double LatencyWeight = 0.25;
// Log-normal service times with a sigma of 0.8 scatter the smoothed logarithm by about 0.3, so a
// normal upstream is 3 or more of these away from being ejected.
constexpr double SlownessIgnored = 0.7;
constexpr double SlownessEjected = 1.1;
constexpr double MaxLogRatio = 4;
// An unanswered attempt takes this much longer still, on average.
constexpr double SlowAttemptFactor = 1.5;

constexpr double SuccessWeight = 0.2;
constexpr double SuccessEjected = 0.6;

constexpr Duration FirstDelay = std::chrono::milliseconds(500);
constexpr Duration MaxDelay = std::chrono::seconds(30);
// An upstream that stayed in use this long starts with the first delay again.
constexpr Duration ProbationTime = std::chrono::seconds(10);

} // namespace

void UpstreamHealth::didAnswer(double ratio) {
  addLatency(std::log(std::max(ratio, 1e-3)));
  SuccessRate += SuccessWeight * (1 - SuccessRate);
}

void UpstreamHealth::didBecomeSlow(double ratio) {
  addLatency(std::log(SlowAttemptFactor * ratio));
}

void UpstreamHealth::didFail() { SuccessRate -= SuccessWeight * SuccessRate; }

double UpstreamHealth::slowness() const {
  return LogSlowness < SlownessIgnored ? 1 : std::exp(LogSlowness);
}

double UpstreamHealth::latencyRatio() const { return std::exp(LogSlowness); }

bool UpstreamHealth::isSuspect() const {
  return LogSlowness > SlownessEjected || SuccessRate < SuccessEjected;
}

void UpstreamHealth::eject(TimePoint now) {
  const bool isNew = Delay == Duration::zero() || now - ReinstatedAt > ProbationTime;
  Delay = isNew && !IsEjected ? FirstDelay : std::min(2 * Delay, MaxDelay);
  IsEjected = true;
  IsTrying = false;
  EjectedUntil = now + Delay;
}

bool UpstreamHealth::mayTry(bool isRepeatable, TimePoint now) const {
  const TimePoint from = isRepeatable ? EjectedUntil : EjectedUntil + Delay;
  return IsEjected && !IsTrying && now >= from;
}

void UpstreamHealth::didPassTrial(TimePoint now) {
  IsEjected = false;
  IsTrying = false;
  ReinstatedAt = now;
  LogSlowness = 0;
  SuccessRate = 1;
}

void UpstreamHealth::didFailTrial(TimePoint now) { eject(now); }

void UpstreamHealth::addLatency(double logRatio) {
  LogSlowness += LatencyWeight * (std::min(logRatio, MaxLogRatio) - LogSlowness);
}

} // namespace wigeonlift
