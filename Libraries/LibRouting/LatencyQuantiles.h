#pragma once

#include <LibBase/LibBase.h>

#include <array>
#include <cstdint>
#include <optional>

namespace wigeonlift {

/// Quantiles of recent latencies, from a histogram with logarithmic bins. All weights are halved
/// whenever their total reaches a limit, so that recent latencies dominate.
class LatencyQuantiles {
public:
  /// Adds a latency. Returns true for every 32nd one, when cached quantiles should be refreshed.
  /// `quantile` iterates over the histogram, so callers cache its result.
  [[nodiscard]] bool add(Duration latency);
  /// The latency at quantile `q` in [0, 1]; empty while there are too few latencies. The error is
  /// at most the width of a bin, 10%.
  std::optional<Duration> quantile(double q) const;

private:
  static constexpr std::size_t BinCount = 160;
  std::array<float, BinCount> Bins{};
  float TotalWeight = 0;
  std::uint32_t AddedSinceRefresh = 0;
};

} // namespace wigeonlift
