#include <LibRouting/LatencyQuantiles.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

constexpr double FirstBinSeconds = 20e-6;
constexpr double BinRatio = 1.1;
constexpr float MinTotalWeight = 50;
// At 250 calls per second the quantiles follow a change of the service within about 10 s.
constexpr float MaxTotalWeight = 2000;
constexpr std::uint32_t RefreshInterval = 32;

const double LogBinRatio = std::log(BinRatio);

} // namespace

bool LatencyQuantiles::add(Duration latency) {
  const double ratio = std::max(1.0, toSeconds(latency) / FirstBinSeconds);
  const auto bin = static_cast<std::size_t>(std::log(ratio) / LogBinRatio);
  Bins[std::min(bin, BinCount - 1)] += 1;
  TotalWeight += 1;
  if (TotalWeight >= MaxTotalWeight) {
    for (float &it : Bins)
      it /= 2;
    TotalWeight /= 2;
  }
  AddedSinceRefresh = (AddedSinceRefresh + 1) % RefreshInterval;
  return AddedSinceRefresh == 0;
}

std::optional<Duration> LatencyQuantiles::quantile(double q) const {
  if (TotalWeight < MinTotalWeight)
    return std::nullopt;
  double remaining = q * TotalWeight;
  std::size_t bin = 0;
  while (bin + 1 < BinCount && remaining > Bins[bin])
    remaining -= Bins[bin++];
  const double fractionOfBin = Bins[bin] > 0 ? remaining / Bins[bin] : 0;
  return fromSeconds(FirstBinSeconds *
                     std::pow(BinRatio, static_cast<double>(bin) + fractionOfBin));
}

} // namespace wigeonlift
