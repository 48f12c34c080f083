#include <LibDiscovery/EvacuatedDataCentres.h>

#include <algorithm>

namespace wigeonlift {

bool EvacuatedDataCentres::didOrder(std::string_view dataCentre) {
  if (const auto it = EndsAt.find(dataCentre); it != EndsAt.end()) {
    it->second.reset();
    return false;
  }
  EndsAt.emplace(dataCentre, std::nullopt);
  return true;
}

bool EvacuatedDataCentres::didEnd(std::string_view dataCentre, OrderRemoval removal,
                                  TimePoint now) {
  const auto it = EndsAt.find(dataCentre);
  if (it == EndsAt.end())
    return false;
  if (removal == OrderRemoval::LostByRestore) {
    // A second report of the same loss doesn't extend the retention time.
    if (!it->second)
      it->second = now + Retention;
    return false;
  }
  EndsAt.erase(it);
  return true;
}

std::vector<std::string> EvacuatedDataCentres::applyDueEnds(TimePoint now) {
  std::vector<std::string> ended;
  std::erase_if(EndsAt, [&](const auto &it) {
    const bool isDue = it.second && now >= *it.second;
    if (isDue)
      ended.push_back(it.first);
    return isDue;
  });
  return ended;
}

std::optional<TimePoint> EvacuatedDataCentres::nextEndDue() const {
  std::optional<TimePoint> earliest;
  for (const auto &[dataCentre, endsAt] : EndsAt)
    if (endsAt)
      earliest = std::min(earliest.value_or(*endsAt), *endsAt);
  return earliest;
}

} // namespace wigeonlift
