#include <LibMembership/EvidenceTable.h>

#include <algorithm>
#include <unordered_set>

namespace wigeonlift {

namespace {

/// Evidence that an upstream takes work is of use only while a permission could last.
constexpr Duration MaxReadyAge = std::chrono::seconds{3};
constexpr Duration MaxDrainingAge = std::chrono::seconds{60};
constexpr int MaxSends = 6;
/// A draining report that comes back from peers is dated later by the delay of the messages. It
/// counts as new only beyond this difference, or it would circulate for ever.
constexpr Duration DrainingTolerance = std::chrono::seconds{10};
constexpr std::size_t MaxItems = 4096;

bool isDrainingReport(const LoadReport &load) { return load.State == UpstreamState::Draining; }

} // namespace

void EvidenceTable::setUpstreams(const std::string &service,
                                 const std::vector<std::string> &upstreams) {
  std::unordered_set<UpstreamHash> present;
  for (const std::string &it : upstreams) {
    const UpstreamHash hash = hashOfUpstream(service, it);
    present.insert(hash);
    Names[hash] = {service, it};
  }
  std::erase_if(Names, [&](const auto &it) {
    return it.second.Service == service && !present.contains(it.first);
  });
  std::erase_if(Items, [&](const auto &it) { return !Names.contains(it.first); });
}

bool EvidenceTable::add(UpstreamHash upstream, TimePoint observedAt, const LoadReport &load) {
  if (!Names.contains(upstream) || (Items.size() >= MaxItems && !Items.contains(upstream)))
    return false;
  const auto [it, isNew] = Items.try_emplace(upstream);
  Item &item = it->second;
  const bool isRepeat = !isNew && isDrainingReport(load) && isDrainingReport(item.Load);
  const Duration tolerance = isRepeat ? DrainingTolerance : Duration{};
  if (!isNew && observedAt <= item.ObservedAt + tolerance)
    return false;
  item = {observedAt, load, 0};
  return true;
}

bool EvidenceTable::isDraining(UpstreamHash upstream) const {
  const auto it = Items.find(upstream);
  return it != Items.end() && isDrainingReport(it->second.Load);
}

const EvidenceTable::Name *EvidenceTable::name(UpstreamHash upstream) const {
  const auto it = Names.find(upstream);
  return it == Names.end() ? nullptr : &it->second;
}

std::vector<Observation> EvidenceTable::take(TimePoint now) {
  std::vector<std::pair<UpstreamHash, Item *>> order;
  for (auto &[hash, item] : Items) {
    const Duration maxAge = isDrainingReport(item.Load) ? MaxDrainingAge : MaxReadyAge;
    if (now - item.ObservedAt <= maxAge && item.Sent < MaxSends)
      order.emplace_back(hash, &item);
  }
  const auto rank = [](const auto &it) {
    return std::tuple{!isDrainingReport(it.second->Load), it.second->Sent,
                      -it.second->ObservedAt.time_since_epoch()};
  };
  const std::size_t count = std::min(order.size(), MaxObservationsPerMessage);
  std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(count), {}, rank);
  std::vector<Observation> observations;
  for (std::size_t n = 0; n < count; ++n) {
    Item &item = *order[n].second;
    ++item.Sent;
    observations.push_back({order[n].first, now - item.ObservedAt, item.Load});
  }
  return observations;
}

} // namespace wigeonlift
