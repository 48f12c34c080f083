#include <LibTelemetry/LibTelemetry.h>

#include <gtest/gtest.h>

using namespace wigeonlift;

// Guards against quantiles that are off by more than one bucket or that ignore values above the
// range.
TEST(LatencyHistogram, QuantilesAndOverflow) {
  LatencyHistogram histogram;
  for (int n = 1; n <= 100; ++n)
    histogram.record(std::chrono::milliseconds{n});
  EXPECT_NEAR(toSeconds(histogram.quantile(0.5)), 0.050, 0.0011);
  EXPECT_NEAR(toSeconds(histogram.quantile(0.99)), 0.099, 0.0021);
  histogram.record(std::chrono::hours{1});
  EXPECT_EQ(histogram.count(), 101U);
  EXPECT_EQ(histogram.quantile(1), std::chrono::seconds{100});
}

// Guards against output that a Prometheus parser rejects: an unescaped quote in a label value, or a
// repeated TYPE line.
TEST(MetricsText, EscapesLabelsAndWritesTypeOnce) {
  MetricsText metrics;
  metrics.counter("calls_total", {{"entry", "a\"b"}}, 2);
  metrics.counter("calls_total", {{"entry", "c"}}, 3);
  EXPECT_EQ(metrics.text(), "# TYPE calls_total counter\ncalls_total{entry=\"a\\\"b\"} 2\n"
                            "calls_total{entry=\"c\"} 3\n");
}
