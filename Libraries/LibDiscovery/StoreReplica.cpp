#include <LibDiscovery/StoreReplica.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace wigeonlift {

namespace {

// How long removals are kept. A peer that lacks a removal which is no longer kept gets a complete
// copy.
constexpr Duration RemovalRetention = std::chrono::seconds{60};

} // namespace

void StoreReplica::addChange(const StoreItem &item, bool wasUsed,
                             std::vector<StoreItem> &changes) const {
  if (Items.isUsed(item))
    changes.push_back(item);
  else if (wasUsed)
    changes.push_back({.Key = item.Key, .Revision = item.Revision, .IsRemoved = true});
}

std::vector<StoreItem> StoreReplica::apply(const StoreDelta &delta, TimePoint now) {
  if (delta.AsOf.Era < AsOf.Era)
    return {};
  // Changes after a revision of a later era don't tell what the store lost when it was restored.
  if (delta.AsOf.Era > AsOf.Era)
    return delta.IsComplete ? replaceBy(delta) : std::vector<StoreItem>{};
  if (!delta.Items.empty() || delta.IsComplete || delta.AsOf > AsOf)
    ++Version;
  std::vector<StoreItem> changes;
  const auto remember = [&](const std::string &key, StoreRevision revision) {
    RemovalRevisions[key] = revision;
    Removals.push_back({revision, key, now});
  };
  const auto remove = [&](const std::string &key, StoreRevision revision, bool isUnreadable) {
    Items.erase(key);
    changes.push_back(
        {.Key = key, .Revision = revision, .IsRemoved = true, .IsUnreadable = isUnreadable});
  };
  const bool mayAdoptOlder = mayAdopt(delta);
  for (const StoreItem &it : delta.Items) {
    const StoreItem *current = Items.find(it.Key);
    const auto removed = RemovalRevisions.find(it.Key);
    const StoreRevision knownRevision = current                             ? current->Revision
                                        : removed != RemovalRevisions.end() ? removed->second
                                                                            : StoreRevision{};
    if (it.Revision <= knownRevision)
      continue;
    // The replica has all keys that existed at its revision, except for those that were left out. A
    // key that it lacks was removed after the write at this older revision.
    if (!current && it.Revision <= AsOf && !mayAdoptOlder)
      continue;
    if (it.IsRemoved) {
      remember(it.Key, it.Revision);
      remove(it.Key, it.Revision, it.IsUnreadable);
      continue;
    }
    RemovalRevisions.erase(it.Key);
    const bool wasUsed = current && Items.isUsed(*current);
    Items.insert(it);
    addChange(it, wasUsed, changes);
  }
  const bool isLatestCopy = delta.IsComplete && delta.AsOf >= AsOf;
  if (isLatestCopy) {
    std::set<std::string_view> deltaKeys;
    for (const StoreItem &it : delta.Items)
      deltaKeys.insert(it.Key);
    std::vector<std::string> missingKeys;
    for (const auto &[key, item] : Items.all()) {
      // A copy that lacks upstreams of a service doesn't tell that they were removed.
      const bool mayBeLacking = delta.IsLacking && !item.Service.empty();
      if (!deltaKeys.contains(key) && item.Revision <= delta.AsOf && !mayBeLacking)
        missingKeys.push_back(key);
    }
    for (const std::string &key : missingKeys) {
      // What was left out still exists, and may be adopted from a later copy.
      if (!delta.HasLeftOut)
        remember(key, delta.AsOf);
      remove(key, delta.AsOf, false);
    }
    // The true revisions of these removals are unknown; `delta.AsOf` is only an upper bound.
    // `changesSince` therefore can't build a delta that begins before this complete copy.
    RemovalsIncompleteUpTo = std::max(RemovalsIncompleteUpTo, delta.AsOf);
  }
  didMerge(delta, isLatestCopy);
  AsOf = std::max(AsOf, delta.AsOf);
  dropOldRemovals(now);
  std::ranges::stable_sort(changes, {}, &StoreItem::Revision);
  return changes;
}

bool StoreReplica::mayAdopt(const StoreDelta &delta) const {
  // Every later removal than the copy is known, so what it has was not removed before the replica's
  // revision.
  return HasLeftOut && delta.IsComplete && delta.AsOf >= RemovalsIncompleteUpTo;
}

void StoreReplica::didMerge(const StoreDelta &delta, bool isLatestCopy) {
  const bool mayAdoptOlder = mayAdopt(delta);
  if (isLatestCopy)
    HasLeftOut = delta.HasLeftOut;
  else
    HasLeftOut |= delta.HasLeftOut;
  if (!delta.IsComplete && !delta.IsLacking)
    return;
  if (delta.IsLacking)
    LackingSince = std::max(LackingSince.value_or(delta.AsOf), delta.AsOf);
  else if (LackingSince && delta.AsOf >= *LackingSince && (isLatestCopy || mayAdoptOlder))
    LackingSince.reset();
}

std::vector<StoreItem> StoreReplica::use(std::span<const std::string> services, bool isCovered) {
  std::vector<StoreItem> result;
  for (const std::string &it : services) {
    if (!Items.use(it))
      continue;
    std::ranges::move(Items.itemsOf(it), std::back_inserter(result));
    if (HasLeftOut && !isCovered)
      LackingSince = AsOf;
  }
  return result;
}

void StoreReplica::keepWithinBound() {
  if (Items.shed() == 0)
    return;
  ++Version;
  HasLeftOut = true;
}

std::vector<StoreItem> StoreReplica::usedItems() const {
  std::vector<StoreItem> result;
  for (const auto &[key, item] : Items.all())
    if (Items.isUsed(item))
      result.push_back(item);
  return result;
}

std::vector<StoreItem> StoreReplica::replaceBy(const StoreDelta &copy) {
  ++Version;
  std::vector<StoreItem> changes;
  const BoundedItems previous = std::exchange(Items, BoundedItems{Items.used()});
  for (const StoreItem &it : copy.Items) {
    if (it.IsRemoved)
      continue;
    Items.insert(it);
    const StoreItem *known = previous.find(it.Key);
    if (!known || known->Value != it.Value)
      addChange(it, known && previous.isUsed(*known), changes);
  }
  for (const auto &[key, item] : previous.all())
    if (!Items.find(key))
      changes.push_back({.Key = key, .Revision = copy.AsOf, .IsRemoved = true});
  // Removals of the earlier era are part of the difference between the copies.
  RemovalRevisions.clear();
  Removals.clear();
  RemovalsIncompleteUpTo = copy.AsOf;
  AsOf = copy.AsOf;
  HasLeftOut = copy.HasLeftOut;
  LackingSince = copy.IsLacking ? std::optional{AsOf} : std::nullopt;
  std::ranges::stable_sort(changes, {}, &StoreItem::Revision);
  return changes;
}

StoreDelta StoreReplica::changesSince(StoreRevision revision) const {
  StoreDelta delta{.Items = {},
                   .IsComplete = revision < RemovalsIncompleteUpTo || revision == 0 ||
                                 revision.Era < AsOf.Era,
                   .AsOf = AsOf,
                   .HasLeftOut = HasLeftOut,
                   .IsLacking = isLacking()};
  for (const auto &[key, item] : Items.all())
    if (delta.IsComplete || item.Revision > revision)
      delta.Items.push_back(item);
  if (!delta.IsComplete)
    for (const Removal &it : Removals)
      if (it.Revision > revision && RemovalRevisions.contains(it.Key))
        delta.Items.push_back(
            {.Key = it.Key, .Value = {}, .Revision = it.Revision, .IsRemoved = true});
  return delta;
}

void StoreReplica::dropOldRemovals(TimePoint now) {
  while (!Removals.empty() &&
         (now - Removals.front().ReceivedAt > RemovalRetention || Removals.size() > MaxRemovals)) {
    const Removal &it = Removals.front();
    RemovalsIncompleteUpTo = std::max(RemovalsIncompleteUpTo, it.Revision);
    if (const auto removed = RemovalRevisions.find(it.Key);
        removed != RemovalRevisions.end() && removed->second == it.Revision)
      RemovalRevisions.erase(removed);
    Removals.pop_front();
  }
}

} // namespace wigeonlift
