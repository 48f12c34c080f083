#include <LibMembership/EntryRotation.h>

#include <algorithm>

namespace wigeonlift {

namespace {

/// Reported loads lag, so a single report moves a weight only within these bounds.
constexpr double MinWeight = 0.5;
constexpr double MaxWeight = 1.5;
/// Added to loads before they are compared, so that a few calls on an idle fleet don't matter.
constexpr double LoadOffset = 10;

} // namespace

void EntryRotation::setCandidates(std::span<const EntryCandidate> candidates) {
  std::vector<Place> places;
  for (const EntryCandidate &it : candidates)
    places.push_back({it, 1, 0});
  std::ranges::sort(places, {}, [](const Place &it) { return it.Vm.Name; });
  setTurns(places);
  setWeights(places);
  Places = std::move(places);
}

void EntryRotation::setTurns(std::vector<Place> &places) const {
  double start = 0;
  if (!Places.empty())
    start = std::ranges::min(Places, {}, &Place::Turn).Turn;
  const auto own =
      std::ranges::lower_bound(places, OwnName, {}, [](const Place &it) { return it.Vm.Name; });
  const std::size_t count = places.size();
  const std::size_t ownRank = static_cast<std::size_t>(own - places.begin());
  for (std::size_t n = 0; n < count; ++n) {
    const auto known =
        std::ranges::find(Places, places[n].Vm.Name, [](const Place &it) { return it.Vm.Name; });
    const std::size_t distance = (n + count - ownRank) % count;
    // Turns are kept relative to the next one, or they would grow without bound.
    places[n].Turn = known != Places.end()
                         ? known->Turn - start
                         : static_cast<double>(distance) / static_cast<double>(count);
  }
}

void EntryRotation::setWeights(std::vector<Place> &places) {
  double total = 0;
  for (const Place &it : places)
    total += it.Vm.Load;
  const double mean = places.empty() ? 0 : total / static_cast<double>(places.size());
  for (Place &it : places)
    it.Weight = std::clamp((mean + LoadOffset) / (it.Vm.Load + LoadOffset), MinWeight, MaxWeight);
}

std::vector<EntryCandidate> EntryRotation::choose() {
  if (Places.empty())
    return {};
  std::vector<Place *> order;
  order.reserve(Places.size());
  for (Place &it : Places)
    order.push_back(&it);
  const std::size_t count = std::min(order.size(), MaxChoices);
  std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(count), {},
                            [](const Place *it) {
                              return std::pair{it->Turn, std::string_view{it->Vm.Name}};
                            });
  order.resize(count);
  std::vector<EntryCandidate> chosen;
  chosen.reserve(count);
  for (const Place *it : order)
    chosen.push_back(it->Vm);
  order.front()->Turn += 1 / order.front()->Weight;
  return chosen;
}

} // namespace wigeonlift
