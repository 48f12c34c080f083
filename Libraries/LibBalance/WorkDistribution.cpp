#include <LibBalance/WorkDistribution.h>

#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

// Bins of 20% from 1 ms to 60 s. Shorter and longer work counts in the first and the last bin.
constexpr unsigned BinCount = 60;
constexpr double MinSeconds = 1e-3;
constexpr double MaxSeconds = 60;
constexpr double MinWeight = 50;
// After a halving 256 samples remain, of which a tail of 3% has about eight.
constexpr double MaxWeight = 512;
// The longest samples up to this weight are left out, since one or two outliers are no tail.
constexpr double OutlierWeight = 2;
// Elapsed times at which the residual is compared, in each bin.
constexpr int StepsPerBin = 4;

} // namespace

WorkDistribution::WorkDistribution()
    : Samples(Axes{std::tuple_element_t<0, Axes>{BinCount, MinSeconds, MaxSeconds},
                   std::tuple_element_t<1, Axes>{}}) {}

void WorkDistribution::add(Duration work, bool isFinished, double weight) {
  // The last bin has no upper neighbour, so the value stays below its upper bound.
  const double seconds = std::clamp(toSeconds(work), MinSeconds, std::nextafter(MaxSeconds, 0));
  Samples(boost::histogram::weight(weight), seconds, isFinished);
  TotalWeight += weight;
  if (TotalWeight < MaxWeight)
    return;
  Samples *= 0.5;
  TotalWeight /= 2;
}

std::vector<WorkDistribution::Survival> WorkDistribution::survival() const {
  if (TotalWeight < MinWeight)
    return {};
  const auto &axis = Samples.axis(0);
  struct Bin {
    double Finished;
    double Aborted;
  };
  std::vector<Bin> bins(BinCount);
  double outliers = OutlierWeight;
  int last = 0;
  for (int n = BinCount - 1; n >= 0; --n) {
    const double finished = Samples.at(n, 1);
    const double aborted = Samples.at(n, 0);
    const double all = finished + aborted;
    if (all <= outliers) {
      outliers -= all;
      continue;
    }
    last = std::max(last, n);
    const double kept = (all - outliers) / all;
    outliers = 0;
    bins[static_cast<std::size_t>(n)] = {finished * kept, aborted * kept};
  }
  double atRisk = 0;
  for (const Bin &it : bins)
    atRisk += it.Finished + it.Aborted;
  // Actuarial estimate of survival: samples that were aborted in a bin are at risk for half of it.
  std::vector<Survival> result(BinCount + 1, Survival{.Probability = 0, .Integral = 0});
  result[0].Probability = 1;
  for (std::size_t n = 0; n < BinCount; ++n) {
    const double exposed = atRisk - bins[n].Aborted / 2;
    const double hazard = exposed > 0 ? std::min(1.0, bins[n].Finished / exposed) : 0;
    result[n + 1].Probability = result[n].Probability * (1 - hazard);
    atRisk -= bins[n].Finished + bins[n].Aborted;
  }
  // Attempts that outlast all samples are assumed to need as long again. Otherwise hedges that win
  // would hide how long the attempts that they replace take.
  const double longest = axis.bin(last).upper();
  const auto end = static_cast<std::size_t>(last) + 1;
  result[end].Integral = result[end].Probability * longest;
  for (std::size_t n = end; n-- > 0;) {
    const double width = axis.bin(static_cast<int>(n)).width();
    result[n].Integral =
        result[n + 1].Integral + (result[n].Probability + result[n + 1].Probability) / 2 * width;
  }
  result.resize(end + 1);
  return result;
}

double WorkDistribution::residualAt(const std::vector<Survival> &table, double seconds) const {
  const auto &axis = Samples.axis(0);
  const auto n = static_cast<std::size_t>(std::max(0, axis.index(seconds)));
  if (n + 1 >= table.size())
    return 0;
  const auto bin = axis.bin(static_cast<int>(n));
  const double fraction = (seconds - bin.lower()) / bin.width();
  const double probability =
      table[n].Probability + fraction * (table[n + 1].Probability - table[n].Probability);
  if (probability <= 0)
    return 0;
  const double mean = (probability + table[n + 1].Probability) / 2;
  return (table[n + 1].Integral + mean * (bin.upper() - seconds)) / probability;
}

std::optional<Duration> WorkDistribution::meanResidual(Duration elapsed) const {
  const double residual = residualAt(survival(), std::max(toSeconds(elapsed), MinSeconds));
  return residual > 0 ? std::optional{fromSeconds(residual)} : std::nullopt;
}

std::optional<Duration> WorkDistribution::firstWithResidual(Duration residual) const {
  const std::vector<Survival> table = survival();
  for (std::size_t n = 0; n + 1 < table.size(); ++n) {
    const auto bin = Samples.axis(0).bin(static_cast<int>(n));
    for (int step = 0; step < StepsPerBin; ++step) {
      const double seconds = bin.lower() + bin.width() * step / StepsPerBin;
      if (residualAt(table, seconds) > toSeconds(residual))
        return fromSeconds(seconds);
    }
  }
  return std::nullopt;
}

} // namespace wigeonlift
