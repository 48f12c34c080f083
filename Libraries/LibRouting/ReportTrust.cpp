#include <LibRouting/ReportTrust.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

// Follows a change within about 200 calls. Latencies vary too much from call to call to follow it
// sooner.
constexpr double Smoothing = 0.005;
// Added to both sums of the regression. Keeps the weight near 1 while reports differ little from
// the mean. Such reports can't be judged and are harmless.
constexpr double Prior = 0.01;
// Limits the influence of a straggler.
constexpr double MaxLogObservedRatio = 2;

} // namespace

void ReportTrust::didAnswer(double latencyWithReport, double latencyWithoutReport,
                            double observedLatency) {
  // At low load the estimates with and without the report are mostly both 1. The comparison saves
  // the logarithm then.
  const double logReportRatio = latencyWithReport == latencyWithoutReport
                                    ? 0
                                    : std::log(latencyWithReport / latencyWithoutReport);
  const double logObservedRatio = std::clamp(std::log(observedLatency / latencyWithoutReport),
                                             -MaxLogObservedRatio, MaxLogObservedRatio);
  SmoothedSquaredLogReportRatio +=
      Smoothing * (logReportRatio * logReportRatio - SmoothedSquaredLogReportRatio);
  SmoothedLogRatioProduct +=
      Smoothing * (logReportRatio * logObservedRatio - SmoothedLogRatioProduct);
}

double ReportTrust::weight() const {
  return std::clamp((SmoothedLogRatioProduct + Prior) / (SmoothedSquaredLogReportRatio + Prior),
                    0.0, 1.0);
}

} // namespace wigeonlift
