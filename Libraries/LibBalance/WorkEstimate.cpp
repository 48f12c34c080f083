#include <LibBalance/WorkEstimate.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Operators set objectives at two to three times the typical work.
constexpr double WorkShareOfObjective = 0.4;
constexpr double ExactGain = 0.08;
// A slow upstream's factor changes while it works, so its answers say less.
constexpr double RoughGain = 0.02;
constexpr double ExactSlowness = 1.2;
constexpr int FirstSamples = 10;

} // namespace

Duration WorkEstimate::work(std::uint32_t kind, Duration objective) const {
  const double first = toSeconds(objective) * WorkShareOfObjective;
  const auto it = Kinds.find(kind);
  if (it == Kinds.end() || it->second.Samples == 0)
    return fromSeconds(first);
  const double trust = std::min(1.0, static_cast<double>(it->second.Samples) / FirstSamples);
  return fromSeconds(trust * it->second.Seconds + (1 - trust) * first);
}

double WorkEstimate::bytes(std::uint32_t kind) const {
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

void WorkEstimate::didAnswer(std::uint32_t kind, Duration span, double slowness,
                             std::size_t bytes) {
  Kind &known = Kinds[kind];
  const double seconds = toSeconds(span) / std::max(1.0, slowness);
  const double steady = slowness <= ExactSlowness ? ExactGain : RoughGain;
  ++known.Samples;
  const double gain = std::max(steady, known.Samples <= FirstSamples ? 1.0 / known.Samples : 0.0);
  known.Seconds += gain * (seconds - known.Seconds);
  known.Bytes += gain * (static_cast<double>(bytes) - known.Bytes);
}

} // namespace wigeonlift
