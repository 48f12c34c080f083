#pragma once

namespace wigeonlift {

/// Estimates from the latencies of this VM's calls how well load reports predict them. The weight
/// is the slope of a regression of the logarithm of the observed latency on that of the latency by
/// the reports, both relative to the latency estimated without reports. Outdated reports don't
/// predict latencies and get a small weight.
class ReportTrust {
public:
  /// A call was answered after `observedLatency`. Its estimate was `latencyWithReport` by the
  /// upstream's report and `latencyWithoutReport` without it. All three are positive and in
  /// multiples of the service time.
  void didAnswer(double latencyWithReport, double latencyWithoutReport, double observedLatency);
  /// Weight of a report, from 0 to 1; 1 before the first answer.
  double weight() const;

private:
  /// Smoothed square of log(latencyWithReport / latencyWithoutReport), and its smoothed product
  /// with log(observedLatency / latencyWithoutReport).
  double SmoothedSquaredLogReportRatio = 0;
  double SmoothedLogRatioProduct = 0;
};

} // namespace wigeonlift
