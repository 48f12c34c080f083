#include <LibBalance/WorkDistribution.h>
#include <LibBalance/WorkEstimate.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Operators set latency objectives to two to three times the typical time.
constexpr double WorkShareOfObjective = 0.4;
// Weight of a new sample in the moving average.
constexpr double NormalSampleGain = 0.08;
// Weight of a new sample from a slow upstream. Its slowness changes during a request, so the sample
// is less accurate.
constexpr double SlowSampleGain = 0.02;
// Samples from upstreams up to this slowness get the normal weight.
constexpr double MaxNormalSlowness = 1.2;
// The weight of the initial estimate falls to 0 over this number of samples.
constexpr int InitialSamples = 10;

double sampleGain(double slowness) {
  return slowness <= MaxNormalSlowness ? NormalSampleGain : SlowSampleGain;
}

} // namespace

WorkEstimate::WorkEstimate() = default;
WorkEstimate::~WorkEstimate() = default;

Duration WorkEstimate::workTime(std::uint32_t kind, Duration targetLatency) const {
  const double initialEstimate = toSeconds(targetLatency) * WorkShareOfObjective;
  const auto it = Kinds.find(kind);
  if (it == Kinds.end() || it->second.Samples == 0)
    return fromSeconds(initialEstimate);
  const double sampleWeight =
      std::min(1.0, static_cast<double>(it->second.Samples) / InitialSamples);
  return fromSeconds(sampleWeight * it->second.Seconds + (1 - sampleWeight) * initialEstimate);
}

double WorkEstimate::responseBytes(std::uint32_t kind) const {
  const auto it = Kinds.find(kind);
  return it == Kinds.end() ? 0 : it->second.Bytes;
}

Duration WorkEstimate::mean() const {
  double sum = 0;
  double samples = 0;
  for (const auto &[id, it] : Kinds) {
    sum += it.Seconds * it.Samples;
    samples += it.Samples;
  }
  return fromSeconds(samples == 0 ? 0 : sum / samples);
}

void WorkEstimate::addSample(std::uint32_t kind, Duration elapsed, double slowness,
                             std::size_t responseBytes) {
  KindEstimate &estimate = Kinds[kind];
  const double seconds = toSeconds(elapsed) / std::max(1.0, slowness);
  ++estimate.Samples;
  const double gain = std::max(sampleGain(slowness),
                               estimate.Samples <= InitialSamples ? 1.0 / estimate.Samples : 0.0);
  estimate.Seconds += gain * (seconds - estimate.Seconds);
  estimate.Bytes += gain * (static_cast<double>(responseBytes) - estimate.Bytes);
}

void WorkEstimate::addFinished(std::uint32_t kind, Duration work, double slowness) {
  distribution(Kinds[kind]).addFinished(work, sampleGain(slowness) / NormalSampleGain);
}

void WorkEstimate::addAborted(std::uint32_t kind, Duration work, double slowness) {
  distribution(Kinds[kind]).addAborted(work, sampleGain(slowness) / NormalSampleGain);
}

std::optional<Duration> WorkEstimate::meanResidual(std::uint32_t kind, Duration elapsed) const {
  const WorkDistribution *it = findDistribution(kind);
  return it ? it->meanResidual(elapsed) : std::nullopt;
}

std::optional<Duration> WorkEstimate::firstWithResidual(std::uint32_t kind,
                                                        Duration residual) const {
  const WorkDistribution *it = findDistribution(kind);
  return it ? it->firstWithResidual(residual) : std::nullopt;
}

WorkDistribution &WorkEstimate::distribution(KindEstimate &estimate) {
  if (!estimate.Distribution)
    estimate.Distribution = std::make_unique<WorkDistribution>();
  return *estimate.Distribution;
}

const WorkDistribution *WorkEstimate::findDistribution(std::uint32_t kind) const {
  const auto it = Kinds.find(kind);
  return it == Kinds.end() ? nullptr : it->second.Distribution.get();
}

} // namespace wigeonlift
