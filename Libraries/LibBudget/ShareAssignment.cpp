#include <LibBudget/ShareAssignment.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <utility>

namespace wigeonlift {

namespace {

std::uint64_t hashOf(std::uint64_t value, std::uint64_t seed) {
  return XXH3_64bits_withSeed(&value, sizeof(value), seed);
}

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Position of a candidate in the rendezvous; the first one wins. Exponentially distributed with
/// the weight as its rate, so that candidates win in proportion to their weights.
double rendezvousRank(std::uint64_t hash, double weight) {
  constexpr int unusedBits = 11;
  constexpr double unit = 0x1.0p-53;
  const double uniform = (static_cast<double>(hash >> unusedBits) + 0.5) * unit;
  return -std::log(uniform) / weight;
}

} // namespace

ShareAssignment::ShareAssignment(Vm self, std::string ownDataCentre,
                                 std::vector<DataCentre> dataCentres, std::vector<Vm> localVms)
    : Self(self), OwnDataCentre(std::move(ownDataCentre)), DataCentres(std::move(dataCentres)),
      LocalVms(std::move(localVms)) {}

ShareAssignment ShareAssignment::withoutShares() {
  ShareAssignment result;
  result.HoldsNothing = true;
  return result;
}

int ShareAssignment::heldShares(std::uint64_t key, int shareCount) const {
  if (HoldsNothing)
    return 0;
  if (LocalVms.empty())
    return shareCount;
  const auto dataCentreRank = [](const DataCentre &it, std::uint64_t seed) {
    return rendezvousRank(hashOf(it.Name, seed), it.Weight);
  };
  const auto vmRank = [](const Vm &it, std::uint64_t seed) {
    return rendezvousRank(hashOf(it.Address, seed), it.Weight);
  };
  int held = 0;
  for (int share = 0; share < shareCount; ++share) {
    const std::uint64_t seed = hashOf(static_cast<std::uint64_t>(share), key);
    const auto dataCentre = std::ranges::min_element(
        DataCentres, {}, [&](const DataCentre &it) { return dataCentreRank(it, seed); });
    if (dataCentre->Name != OwnDataCentre)
      continue;
    const double ownRank = vmRank(Self, seed);
    held += std::ranges::all_of(LocalVms, [&](const Vm &it) {
      return it.Address == Self.Address || ownRank < vmRank(it, seed);
    });
  }
  return held;
}

double ShareAssignment::ownFraction() const {
  if (HoldsNothing)
    return 0;
  double weight = 0;
  for (const DataCentre &it : DataCentres)
    weight += it.Weight;
  return weight > 0 ? std::min(1.0, Self.Weight / weight) : 1;
}

} // namespace wigeonlift
