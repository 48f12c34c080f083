#include <LibRouting/UpstreamHealth.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

constexpr double LatencySmoothing = 0.25;
// Thresholds of the smoothed logarithm of the latency ratio: below the first, an upstream counts as
// normal; above the second, it is ejected. With log-normal service times of sigma 0.8, the smoothed
// logarithm has a standard deviation of about 0.3, so the ejection threshold is at least 3 standard
// deviations from a normal upstream.
constexpr double MaxIgnoredLogLatencyRatio = 0.7;
constexpr double EjectionLogLatencyRatio = 1.1;
constexpr double MaxLogLatencyRatio = 4;
// An attempt that is still unanswered is expected to take this multiple of its time so far.
constexpr double PendingAttemptFactor = 1.5;

constexpr double SuccessSmoothing = 0.2;
constexpr double EjectionSuccessRate = 0.6;

constexpr Duration FirstEjectionDuration = std::chrono::milliseconds(500);
constexpr Duration MaxEjectionDuration = std::chrono::seconds(30);
// If an upstream stayed in use for longer than this, its next ejection has the first duration
// again.
constexpr Duration ProbationDuration = std::chrono::seconds(10);

} // namespace

void UpstreamHealth::didAnswer(double ratio) {
  addLogLatencyRatio(std::log(std::max(ratio, 1e-3)));
  SuccessRate += SuccessSmoothing * (1 - SuccessRate);
}

void UpstreamHealth::didStayUnanswered(double ratio) {
  addLogLatencyRatio(std::log(PendingAttemptFactor * ratio));
}

void UpstreamHealth::didFail() { SuccessRate -= SuccessSmoothing * SuccessRate; }

double UpstreamHealth::slowness() const {
  return LogLatencyRatio < MaxIgnoredLogLatencyRatio ? 1 : std::exp(LogLatencyRatio);
}

double UpstreamHealth::latencyRatio() const { return std::exp(LogLatencyRatio); }

bool UpstreamHealth::isUnhealthy() const {
  return LogLatencyRatio > EjectionLogLatencyRatio || SuccessRate < EjectionSuccessRate;
}

void UpstreamHealth::eject(TimePoint now) {
  const bool startsNewSeries =
      EjectionDuration == Duration::zero() || now - ReinstatedAt > ProbationDuration;
  EjectionDuration = startsNewSeries && !IsEjected
                         ? FirstEjectionDuration
                         : std::min(2 * EjectionDuration, MaxEjectionDuration);
  IsEjected = true;
  IsTrialRunning = false;
  EjectedUntil = now + EjectionDuration;
}

bool UpstreamHealth::mayStartTrial(bool isRepeatable, TimePoint now) const {
  const TimePoint trialAllowedAt = isRepeatable ? EjectedUntil : EjectedUntil + EjectionDuration;
  return IsEjected && !IsTrialRunning && now >= trialAllowedAt;
}

void UpstreamHealth::didPassTrial(TimePoint now) {
  IsEjected = false;
  IsTrialRunning = false;
  ReinstatedAt = now;
  LogLatencyRatio = 0;
  SuccessRate = 1;
}

void UpstreamHealth::didFailTrial(TimePoint now) { eject(now); }

void UpstreamHealth::addLogLatencyRatio(double logRatio) {
  LogLatencyRatio += LatencySmoothing * (std::min(logRatio, MaxLogLatencyRatio) - LogLatencyRatio);
}

} // namespace wigeonlift
