#include <LibTelemetry/LatencyHistogram.h>

#include <boost/histogram.hpp>

namespace wigeonlift {

namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr double MinSeconds = 1e-5;
constexpr double MaxSeconds = 100;
// Covers seven decades with buckets that each grow by 2 percent.
constexpr unsigned BucketCount = 814;

} // namespace

struct LatencyHistogram::Buckets {
  decltype(bh::make_histogram(LogAxis{BucketCount, MinSeconds, MaxSeconds})) Histogram =
      bh::make_histogram(LogAxis{BucketCount, MinSeconds, MaxSeconds});
};

LatencyHistogram::LatencyHistogram() : LatencyBuckets(std::make_unique<Buckets>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::record(Duration latency) {
  LatencyBuckets->Histogram(toSeconds(latency));
  ++Count;
  Sum += latency;
}

Duration LatencyHistogram::quantile(double q) const {
  const double targetCount = q * static_cast<double>(Count);
  double cumulativeCount = 0;
  for (auto &&it : bh::indexed(LatencyBuckets->Histogram, bh::coverage::all)) {
    cumulativeCount += *it;
    if (Count > 0 && cumulativeCount >= targetCount && *it > 0)
      return fromSeconds(std::min(it.bin().upper(), MaxSeconds));
  }
  return Duration{};
}

std::uint64_t LatencyHistogram::countUpTo(Duration limit) const {
  double cumulativeCount = 0;
  for (auto &&it : bh::indexed(LatencyBuckets->Histogram, bh::coverage::all))
    if (it.bin().upper() <= toSeconds(limit))
      cumulativeCount += *it;
  return static_cast<std::uint64_t>(cumulativeCount);
}

} // namespace wigeonlift
