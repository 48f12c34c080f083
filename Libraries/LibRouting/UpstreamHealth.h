#pragma once

#include <LibBase/LibBase.h>

namespace wigeonlift {

/// Judges one upstream by this VM's own attempts: stragglers by their latencies compared with the
/// rest of the service, failing upstreams by their success rate. Reports play no part, because a
/// straggler may report little load.
class UpstreamHealth {
public:
  /// An attempt was answered; `ratio` is its latency over what is typical of the service.
  void didAnswer(double ratio);
  /// An attempt has run for `ratio` times the typical latency without an answer. It counts once.
  void didBecomeSlow(double ratio);
  void didFail();

  /// Factor of the expected wait; 1 for an upstream that is about as fast as the others.
  double slowness() const;
  /// Smoothed latency over the typical one.
  double latencyRatio() const;
  /// The upstream is so slow or fails so often that it should be ejected.
  bool isSuspect() const;

  bool isEjected() const { return IsEjected; }
  /// Sends no work for a delay that grows with each ejection in a row.
  void eject(TimePoint now);
  /// One call may be let through to the ejected upstream: one that can be repeated after the delay,
  /// any other after twice the delay.
  bool mayTry(bool isRepeatable, TimePoint now) const;
  void didStartTrial() { IsTrying = true; }
  /// The trial ended without a verdict.
  void didAbandonTrial() { IsTrying = false; }
  void didPassTrial(TimePoint now);
  void didFailTrial(TimePoint now);

private:
  void addLatency(double logRatio);

  /// Smoothed logarithm of the latency over the typical one.
  double LogSlowness = 0;
  double SuccessRate = 1;
  bool IsEjected = false;
  bool IsTrying = false;
  TimePoint EjectedUntil{};
  TimePoint ReinstatedAt{};
  Duration Delay{};
};

} // namespace wigeonlift
