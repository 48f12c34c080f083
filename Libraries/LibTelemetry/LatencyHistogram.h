#pragma once

#include <LibBase/Time.h>

#include <cstdint>
#include <memory>

namespace wigeonlift {

/// Counts latencies in logarithmic buckets from 10 microseconds to 100 seconds. Within this range
/// the error of a quantile is at most 2 percent.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram &&) noexcept;
  LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

  void record(Duration latency);
  std::uint64_t count() const { return Count; }
  /// Returns the sum of all recorded latencies.
  Duration sum() const { return Sum; }
  /// Returns the upper edge of the bucket that contains the quantile `q` in [0, 1], but at most 100
  /// seconds, or zero if nothing was recorded.
  Duration quantile(double q) const;
  /// Counts the recorded latencies in buckets whose upper edge is at most `limit`.
  std::uint64_t countUpTo(Duration limit) const;

private:
  struct Buckets;
  std::unique_ptr<Buckets> LatencyBuckets;
  std::uint64_t Count = 0;
  Duration Sum{};
};

} // namespace wigeonlift
