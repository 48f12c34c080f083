#include <LibDiscovery/UpstreamList.h>

#include <algorithm>
#include <utility>

namespace wigeonlift {

namespace {

// Upstreams that live register again within about 2 s of the store's return.
constexpr Duration LapseGrace = std::chrono::milliseconds{2200};
// Short enough that an upstream that has left gets no new work after the drain timeout.
constexpr Duration DoubtGrace = std::chrono::milliseconds{400};

} // namespace

bool UpstreamList::didWrite(UpstreamRecord record, TimePoint) {
  Lapsed.erase(record.Id);
  const auto it = Upstreams.find(record.Id);
  if (it == Upstreams.end()) {
    Upstreams.emplace(record.Id, std::move(record));
    return true;
  }
  UpstreamRecord before = it->second;
  // An entry of a former incarnation that arrives late must not replace its successor's.
  if (record.StartedAtMs < before.StartedAtMs)
    return false;
  before.Warmup = record.Warmup;
  const bool hasChanged = before != record;
  it->second = std::move(record);
  return hasChanged;
}

bool UpstreamList::didRemove(std::string_view id, RemovalKind removal, TimePoint now) {
  const auto it = Upstreams.find(id);
  if (it == Upstreams.end())
    return false;
  if (removal != RemovalKind::Final && !it->second.IsDraining) {
    Lapsed.emplace(it->first,
                   now + (removal == RemovalKind::ProbableLeaseExpiry ? LapseGrace : DoubtGrace));
    return false;
  }
  Lapsed.erase(it->first);
  Upstreams.erase(it);
  return true;
}

bool UpstreamList::applyDueRemovals(TimePoint now) {
  const auto isOver = [&](const auto &it) { return now >= it.second; };
  bool hasChanged = false;
  for (const auto &it : Lapsed)
    if (isOver(it))
      hasChanged |= Upstreams.erase(it.first) > 0;
  std::erase_if(Lapsed, isOver);
  return hasChanged;
}

std::optional<TimePoint> UpstreamList::nextRemovalDue() const {
  std::optional<TimePoint> next;
  for (const auto &[id, until] : Lapsed)
    next = std::min(next.value_or(until), until);
  return next;
}

std::vector<UpstreamRecord> UpstreamList::usable(std::string_view service) const {
  std::vector<UpstreamRecord> result;
  for (const auto &[id, record] : Upstreams)
    if (record.Service == service && !record.IsDraining)
      result.push_back(record);
  return result;
}

} // namespace wigeonlift
