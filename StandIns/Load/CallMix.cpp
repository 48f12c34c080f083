#include <StandIns/Load/CallMix.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace wigeonlift {

absl::StatusOr<CallMix> CallMix::of(const Catalogue &catalogue,
                                    std::span<const std::pair<std::string, double>> rates,
                                    std::uint64_t seed) {
  CallMix mix{seed};
  double sum = 0;
  for (const auto &[name, rate] : rates) {
    const auto it = std::ranges::find(catalogue.Entries, name, &EntrySpec::Name);
    if (it == catalogue.Entries.end() || rate <= 0)
      return absl::InvalidArgumentError(
          fmt::format("{}={}: not an entry of the catalogue and a positive rate", name, rate));
    sum += rate;
    mix.Cumulative.emplace_back(sum, &*it);
  }
  if (mix.Cumulative.empty())
    return absl::InvalidArgumentError("no rates are given");
  return mix;
}

Duration CallMix::nextGap() {
  return fromSeconds(
      std::exponential_distribution<double>{Cumulative.back().first}(Source.engine()));
}

const EntrySpec &CallMix::nextEntry() {
  const double point = Source.unit() * Cumulative.back().first;
  const auto it =
      std::ranges::find_if(Cumulative, [&](const auto &it) { return point < it.first; });
  return *it->second;
}

} // namespace wigeonlift
