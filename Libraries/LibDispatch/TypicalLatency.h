#pragma once

#include <LibRouting/LibRouting.h>

#include <optional>

namespace wigeonlift {

/// Typical value of a latency: its median, or a higher value while recent latencies are longer.
class TypicalLatency {
public:
  void add(Duration latency);
  /// The typical value; zero while too few latencies are known.
  Duration current() const;

private:
  LatencyQuantiles Latencies;
  std::optional<Duration> Median;
  /// Smoothed logarithm of the ratio of recent latencies to the median.
  double RecentLogRatio = 0;
};

} // namespace wigeonlift
