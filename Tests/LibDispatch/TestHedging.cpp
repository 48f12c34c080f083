#include <LibDispatch/LibDispatch.h>

#include <gtest/gtest.h>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {

void addLatencies(Hedging &hedging, int count, Duration latency) {
  for (int n = 0; n < count; ++n)
    hedging.addLatency(latency);
}

} // namespace

// Guards against the unloaded median growing with the queues. Load reports would then count for
// longer, VMs would choose the same upstreams, and the queues would grow further.
TEST(Hedging, UnloadedMedianDoesNotFollowABurst) {
  Hedging hedging;
  hedging.setPercent(5);
  addLatencies(hedging, 1000, 10ms);
  ASSERT_TRUE(hedging.unloadedMedian());
  addLatencies(hedging, 3000, 200ms);
  EXPECT_GT(*hedging.median(), 100ms);
  EXPECT_LT(*hedging.unloadedMedian(), 15ms);
  // The estimate eventually follows a service that became permanently slower.
  addLatencies(hedging, 200'000, 200ms);
  EXPECT_GT(*hedging.unloadedMedian(), 100ms);
}
