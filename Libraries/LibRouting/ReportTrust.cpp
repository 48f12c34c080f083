#include <LibRouting/ReportTrust.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

// Follows a change within about 200 calls. Latencies vary too much from call to call to follow it
// sooner.
constexpr double Smoothing = 0.005;
// Keeps the weight near 1 while reports differ little from the mean. Such reports can't be judged
// and are harmless.
constexpr double PriorWeight = 0.01;
// Limits the influence of a straggler.
constexpr double MaxLogObserved = 2;

} // namespace

void ReportTrust::didAnswer(double latencyByReport, double latencyByMean, double observedLatency) {
  // At low load both are mostly 1, so this skips a logarithm.
  const double logReported =
      latencyByReport == latencyByMean ? 0 : std::log(latencyByReport / latencyByMean);
  const double logObserved =
      std::clamp(std::log(observedLatency / latencyByMean), -MaxLogObserved, MaxLogObserved);
  ReportedSquared += Smoothing * (logReported * logReported - ReportedSquared);
  ReportedTimesObserved += Smoothing * (logReported * logObserved - ReportedTimesObserved);
}

double ReportTrust::weight() const {
  return std::clamp((ReportedTimesObserved + PriorWeight) / (ReportedSquared + PriorWeight), 0.0,
                    1.0);
}

} // namespace wigeonlift
