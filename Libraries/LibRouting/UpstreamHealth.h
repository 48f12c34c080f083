#pragma once

#include <LibBase/LibBase.h>

namespace wigeonlift {

/// Health of one upstream, judged by this VM's own attempts. A straggler is detected by its latency
/// compared with the rest of the service, a failing upstream by its success rate. Load reports are
/// not used, because a straggler may report little load.
class UpstreamHealth {
public:
  /// An attempt was answered. `ratio` is its latency divided by the typical latency of the service.
  void didAnswer(double ratio);
  /// An attempt has run for `ratio` times the typical latency without an answer. Called at most
  /// once per attempt.
  void didStayUnanswered(double ratio);
  void didFail();

  /// Factor by which the expected wait is multiplied; 1 for an upstream about as fast as the
  /// others.
  double slowness() const;
  /// Smoothed ratio of the latency to the typical latency of the service.
  double latencyRatio() const;
  /// Whether the upstream is so slow or fails so often that it should be ejected.
  bool isUnhealthy() const;

  bool isEjected() const { return IsEjected; }
  /// Takes the upstream out of use for a duration that doubles with each ejection in a row, up to
  /// 30 s.
  void eject(TimePoint now);
  /// Whether one trial call may be sent to the ejected upstream: a repeatable call after the
  /// ejection duration, any other call after twice that duration.
  bool mayStartTrial(bool isRepeatable, TimePoint now) const;
  void didStartTrial() { IsTrialRunning = true; }
  /// The trial call ended without showing whether the upstream is healthy.
  void didAbandonTrial() { IsTrialRunning = false; }
  void didPassTrial(TimePoint now);
  void didFailTrial(TimePoint now);

private:
  void addLogLatencyRatio(double logRatio);

  /// Smoothed logarithm of the ratio of the latency to the typical latency.
  double LogLatencyRatio = 0;
  double SuccessRate = 1;
  bool IsEjected = false;
  bool IsTrialRunning = false;
  TimePoint EjectedUntil{};
  TimePoint ReinstatedAt{};
  Duration EjectionDuration{};
};

} // namespace wigeonlift
