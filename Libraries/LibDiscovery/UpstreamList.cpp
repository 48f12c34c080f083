#include <LibDiscovery/UpstreamList.h>

#include <LibDiscovery/LeaseRenewal.h>

#include <algorithm>
#include <utility>

namespace wigeonlift {

namespace {

constexpr Duration PossibleExpiryGrace = std::chrono::milliseconds{400};
// A request that was assigned at the end of a grace period reaches the upstream within this time.
constexpr Duration DispatchTime = std::chrono::milliseconds{200};
// How long removed incarnations are remembered. The copy from which a store is restored is some
// seconds old, and what was lost is written again within seconds.
constexpr Duration RemovedRetention = std::chrono::seconds{60};

// Late entries of a process that has ended arrive together, those of a running one with each of its
// heartbeats.
constexpr Duration RunningProof = std::chrono::seconds{1};

/// Whether an entry of a restored store was written after a known entry of the same id.
bool wasWrittenSince(const UpstreamRecord &record, const UpstreamRecord &known) {
  if (record.isSameIncarnation(known))
    return record.WriteCount > known.WriteCount;
  return record.StartedAtMs >= known.StartedAtMs;
}

} // namespace

bool UpstreamList::didWrite(UpstreamRecord record, TimePoint now) {
  const auto it = Upstreams.find(record.Id);
  if (it == Upstreams.end()) {
    Upstreams.emplace(record.Id, std::move(record));
    return true;
  }
  UpstreamRecord previous = it->second;
  // An entry of an earlier process with the same id may arrive late. It must not replace the entry
  // of the newer process.
  if (record.StartedAtMs < previous.StartedAtMs && !isRunning(record, now))
    return drainIfEither(it->second, record);
  EarlierStarts.erase(record.Id);
  PendingRemovals.erase(record.Id);
  // The latest write that is known counts, also if the store has lost it.
  if (record.isSameIncarnation(previous))
    record.WriteCount = std::max(record.WriteCount, previous.WriteCount);
  previous.WriteCount = record.WriteCount;
  previous.Warmup = record.Warmup;
  const bool hasChanged = previous != record;
  it->second = std::move(record);
  return hasChanged;
}

bool UpstreamList::isRunning(const UpstreamRecord &record, TimePoint now) {
  const auto [it, isNew] =
      EarlierStarts.try_emplace(record.Id, EarlierStart{.First = record, .SeenAt = now});
  if (!isNew && !it->second.First.isSameIncarnation(record))
    it->second = {.First = record, .SeenAt = now};
  return record.WriteCount > it->second.First.WriteCount && now - it->second.SeenAt >= RunningProof;
}

bool UpstreamList::drainIfEither(UpstreamRecord &known, const UpstreamRecord &record) {
  // If the entry is late after all, the next one of the running process corrects this.
  return record.IsDraining && !std::exchange(known.IsDraining, true);
}

bool UpstreamList::didRestore(UpstreamRecord record, TimePoint now) {
  const auto it = Upstreams.find(record.Id);
  if (it == Upstreams.end()) {
    const auto removed = Removed.find(record.Id);
    const bool staysRemoved = removed != Removed.end() &&
                              now - removed->second.RemovedAt <= RemovedRetention &&
                              !wasWrittenSince(record, removed->second.Record);
    return !staysRemoved && didWrite(std::move(record), now);
  }
  if (wasWrittenSince(record, it->second))
    return didWrite(std::move(record), now);
  const auto pending = PendingRemovals.find(record.Id);
  const bool wasRemoved =
      pending != PendingRemovals.end() && pending->second.Kind != RemovalKind::StoreRestored;
  if (wasRemoved || it->second.IsDraining)
    return false;
  if (record.isSameIncarnation(it->second))
    return didWrite(std::move(record), now);
  // The copy has only the entry of an earlier process, not that of the one in use.
  return didRemove(record.Id, {.Kind = RemovalKind::StoreRestored, .EarliestAt = now}, now);
}

void UpstreamList::didRestoreStore(TimePoint now) {
  for (auto &[id, pending] : PendingRemovals)
    if (pending.Kind == RemovalKind::StoreRestored)
      pending.DueAt = now + LeaseRenewalTime;
}

void UpstreamList::erase(std::string_view id, TimePoint now) {
  std::erase_if(Removed,
                [&](const auto &it) { return now - it.second.RemovedAt > RemovedRetention; });
  EarlierStarts.erase(std::string{id});
  const auto it = Upstreams.find(id);
  Removed.insert_or_assign(it->first, RemovedUpstream{.Record = it->second, .RemovedAt = now});
  Upstreams.erase(it);
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
  case RemovalKind::StoreRestored:
    return now + LeaseRenewalTime;
  }
  return now;
}

bool UpstreamList::didRemove(std::string_view id, const EntryRemoval &removal, TimePoint now) {
  const auto it = Upstreams.find(id);
  if (it == Upstreams.end())
    return false;
  const TimePoint end = graceEnd(removal, now);
  if (end > now && !it->second.IsDraining) {
    PendingRemovals.emplace(it->first, PendingRemoval{.DueAt = end, .Kind = removal.Kind});
    return false;
  }
  PendingRemovals.erase(it->first);
  erase(id, now);
  return true;
}

bool UpstreamList::applyDueRemovals(TimePoint now) {
  const auto isDue = [&](const auto &it) { return now >= it.second.DueAt; };
  bool hasChanged = false;
  for (const auto &it : PendingRemovals)
    if (isDue(it)) {
      erase(it.first, now);
      hasChanged = true;
    }
  std::erase_if(PendingRemovals, isDue);
  return hasChanged;
}

std::optional<TimePoint> UpstreamList::nextRemovalDue() const {
  std::optional<TimePoint> earliest;
  for (const auto &[id, pending] : PendingRemovals)
    earliest = std::min(earliest.value_or(pending.DueAt), pending.DueAt);
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
