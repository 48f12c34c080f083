#include <LibRouting/LoadEstimate.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

void LoadEstimate::didReport(const LoadReport &report, int ownCalls, TimePoint receivedAt) {
  if (Report && receivedAt < ReceivedAt)
    return;
  Report = report;
  OtherCalls = std::max(0, report.InFlight + report.Queued - ownCalls);
  ReceivedAt = receivedAt;
}

void LoadEstimate::forget() {
  Report.reset();
  OtherCalls.reset();
}

double LoadEstimate::expectedOtherCalls(TimePoint now, double meanOtherCalls,
                                        Duration decayTime) const {
  if (!OtherCalls)
    return meanOtherCalls;
  const double age = std::max(0.0, toSeconds(now - ReceivedAt));
  return meanOtherCalls + (*OtherCalls - meanOtherCalls) * std::exp(-age / toSeconds(decayTime));
}

} // namespace wigeonlift
