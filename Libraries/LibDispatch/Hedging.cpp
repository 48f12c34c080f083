#include <LibDispatch/Hedging.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr double MinDelayQuantile = 0.5;
// Factor per update, every 32 latencies: about 1% per second at 300 calls per second. The estimate
// follows a service that became permanently slower, but not a burst.
constexpr double UnloadedMedianGrowth = 1.001;

} // namespace

void Hedging::setPercent(double hedgePercent) {
  HedgePercent = hedgePercent;
  Budget.setPercent(hedgePercent);
}

void Hedging::addLatency(Duration latency) {
  if (!Latencies.add(latency))
    return;
  // The fraction of calls that reach this age equals the hedge budget, but is at most one half.
  Delay = Latencies.quantile(std::max(MinDelayQuantile, 1 - HedgePercent / 100));
  Median = Latencies.quantile(0.5);
  if (!Median)
    return;
  const double grown = toSeconds(UnloadedMedian.value_or(*Median)) * UnloadedMedianGrowth;
  UnloadedMedian = std::min(*Median, fromSeconds(grown));
}

} // namespace wigeonlift
