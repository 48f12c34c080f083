#include <LibDispatch/TypicalLatency.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

// The typical value follows a change within about ten latencies. A single latency counts for at
// most e times the median, so that one slow upstream has little effect.
constexpr double RecentWeight = 0.1;
constexpr double MaxRecentLogRatio = 1;

} // namespace

void TypicalLatency::add(Duration latency) {
  if (Latencies.add(latency))
    Median = Latencies.quantile(0.5);
  if (!Median)
    return;
  const double logRatio = std::log(std::max(1e-3, toSeconds(latency) / toSeconds(*Median)));
  const double bounded = std::clamp(logRatio, -MaxRecentLogRatio, MaxRecentLogRatio);
  RecentLogRatio += RecentWeight * (bounded - RecentLogRatio);
}

Duration TypicalLatency::current() const {
  return fromSeconds(toSeconds(Median.value_or(Duration{})) *
                     std::exp(std::max(0.0, RecentLogRatio)));
}

} // namespace wigeonlift
