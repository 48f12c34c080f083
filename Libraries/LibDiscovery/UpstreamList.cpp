#include <LibDiscovery/UpstreamList.h>

#include <LibDiscovery/LeaseRenewal.h>

#include <algorithm>
#include <utility>

namespace wigeonlift {

namespace {

constexpr Duration PossibleExpiryGrace = std::chrono::milliseconds{400};
// A request that was assigned at the end of a grace period reaches the upstream within this time.
constexpr Duration DispatchTime = std::chrono::milliseconds{200};

} // namespace

bool UpstreamList::didWrite(UpstreamRecord record, TimePoint) {
  const auto it = Upstreams.find(record.Id);
  if (it == Upstreams.end()) {
    Upstreams.emplace(record.Id, std::move(record));
    return true;
  }
  UpstreamRecord previous = it->second;
  // An entry of an earlier process with the same id may arrive late. It must not replace the entry
  // of the newer process.
  if (record.StartedAtMs < previous.StartedAtMs)
    return false;
  PendingRemovals.erase(record.Id);
  previous.Warmup = record.Warmup;
  const bool hasChanged = previous != record;
  it->second = std::move(record);
  return hasChanged;
}

TimePoint UpstreamList::graceEnd(const EntryRemoval &removal, TimePoint now) const {
  const TimePoint drained = removal.EarliestAt + Bounds.DrainTimeout - DispatchTime;
  // Nobody sees when the store returns. It may have been right after it was last known to be down,
  // and the upstream may have left before the outage. From then on the drain timeout holds again.
  const TimePoint settled = removal.StoreDownAt
                                ? *removal.StoreDownAt + Bounds.StoreSettleTime - DispatchTime
                                : TimePoint::min();
  switch (removal.Kind) {
  case RemovalKind::Final:
    return now;
  case RemovalKind::PossibleLeaseExpiry:
    return std::min(now + PossibleExpiryGrace, drained);
  case RemovalKind::ProbableLeaseExpiry:
    return std::min(now + LeaseRenewalTime, std::max(drained, settled));
  }
  return now;
}

bool UpstreamList::didRemove(std::string_view id, const EntryRemoval &removal, TimePoint now) {
  const auto it = Upstreams.find(id);
  if (it == Upstreams.end())
    return false;
  const TimePoint end = graceEnd(removal, now);
  if (end > now && !it->second.IsDraining) {
    PendingRemovals.emplace(it->first, end);
    return false;
  }
  PendingRemovals.erase(it->first);
  Upstreams.erase(it);
  return true;
}

bool UpstreamList::applyDueRemovals(TimePoint now) {
  const auto isDue = [&](const auto &it) { return now >= it.second; };
  bool hasChanged = false;
  for (const auto &it : PendingRemovals)
    if (isDue(it))
      hasChanged |= Upstreams.erase(it.first) > 0;
  std::erase_if(PendingRemovals, isDue);
  return hasChanged;
}

std::optional<TimePoint> UpstreamList::nextRemovalDue() const {
  std::optional<TimePoint> earliest;
  for (const auto &[id, dueAt] : PendingRemovals)
    earliest = std::min(earliest.value_or(dueAt), dueAt);
  return earliest;
}

std::vector<UpstreamRecord> UpstreamList::usable(std::string_view service) const {
  std::vector<UpstreamRecord> result;
  for (const auto &[id, record] : Upstreams)
    if (record.Service == service && !record.IsDraining)
      result.push_back(record);
  return result;
}

} // namespace wigeonlift
