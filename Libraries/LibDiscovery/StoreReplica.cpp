#include <LibDiscovery/StoreReplica.h>

#include <algorithm>
#include <set>
#include <utility>

namespace wigeonlift {

namespace {

// How long removals are kept. A peer that lacks a removal which is no longer kept gets a complete
// copy.
constexpr Duration RemovalRetention = std::chrono::seconds{60};

} // namespace

std::vector<StoreItem> StoreReplica::apply(const StoreDelta &delta, TimePoint now) {
  if (delta.AsOf.Era < AsOf.Era)
    return {};
  // Changes after a revision of a later era don't tell what the store lost when it was restored.
  if (delta.AsOf.Era > AsOf.Era)
    return delta.IsComplete ? replaceBy(delta) : std::vector<StoreItem>{};
  std::vector<StoreItem> changes;
  const auto remove = [&](const std::string &key, StoreRevision revision) {
    Items.erase(key);
    RemovalRevisions[key] = revision;
    Removals.push_back({revision, key, now});
    changes.push_back({.Key = key, .Value = {}, .Revision = revision, .IsRemoved = true});
  };
  for (const StoreItem &it : delta.Items) {
    const auto current = Items.find(it.Key);
    const auto removed = RemovalRevisions.find(it.Key);
    const StoreRevision knownRevision = current != Items.end() ? current->second.Revision
                                        : removed != RemovalRevisions.end() ? removed->second
                                                                            : StoreRevision{};
    if (it.Revision <= knownRevision)
      continue;
    // The replica has all keys that existed at its revision. A key that it lacks was removed after
    // the write at this older revision.
    if (current == Items.end() && it.Revision <= AsOf)
      continue;
    if (it.IsRemoved) {
      remove(it.Key, it.Revision);
      continue;
    }
    RemovalRevisions.erase(it.Key);
    Items.insert_or_assign(it.Key, it);
    changes.push_back(it);
  }
  if (delta.IsComplete && delta.AsOf >= AsOf) {
    std::set<std::string_view> deltaKeys;
    for (const StoreItem &it : delta.Items)
      deltaKeys.insert(it.Key);
    std::vector<std::string> missingKeys;
    for (const auto &[key, item] : Items)
      if (!deltaKeys.contains(key) && item.Revision <= delta.AsOf)
        missingKeys.push_back(key);
    for (const std::string &key : missingKeys)
      remove(key, delta.AsOf);
    // The true revisions of these removals are unknown; `delta.AsOf` is only an upper bound.
    // `changesSince` therefore can't build a delta that begins before this complete copy.
    RemovalsIncompleteUpTo = std::max(RemovalsIncompleteUpTo, delta.AsOf);
  }
  AsOf = std::max(AsOf, delta.AsOf);
  dropOldRemovals(now);
  std::ranges::stable_sort(changes, {}, &StoreItem::Revision);
  return changes;
}

std::vector<StoreItem> StoreReplica::replaceBy(const StoreDelta &copy) {
  std::vector<StoreItem> changes;
  const auto previous = std::exchange(Items, {});
  for (const StoreItem &it : copy.Items) {
    if (it.IsRemoved)
      continue;
    Items.insert_or_assign(it.Key, it);
    const auto known = previous.find(it.Key);
    if (known == previous.end() || known->second.Value != it.Value)
      changes.push_back(it);
  }
  for (const auto &[key, item] : previous)
    if (!Items.contains(key))
      changes.push_back({.Key = key, .Value = {}, .Revision = copy.AsOf, .IsRemoved = true});
  // Removals of the earlier era are part of the difference between the copies.
  RemovalRevisions.clear();
  Removals.clear();
  RemovalsIncompleteUpTo = copy.AsOf;
  AsOf = copy.AsOf;
  std::ranges::stable_sort(changes, {}, &StoreItem::Revision);
  return changes;
}

StoreDelta StoreReplica::changesSince(StoreRevision revision) const {
  StoreDelta delta{.Items = {},
                   .IsComplete = revision < RemovalsIncompleteUpTo || revision == 0 ||
                                 revision.Era < AsOf.Era,
                   .AsOf = AsOf};
  for (const auto &[key, item] : Items)
    if (delta.IsComplete || item.Revision > revision)
      delta.Items.push_back(item);
  if (!delta.IsComplete)
    for (const Removal &it : Removals)
      if (it.Revision > revision && RemovalRevisions.contains(it.Key))
        delta.Items.push_back(
            {.Key = it.Key, .Value = {}, .Revision = it.Revision, .IsRemoved = true});
  return delta;
}

const StoreItem *StoreReplica::find(std::string_view key) const {
  const auto it = Items.find(key);
  return it == Items.end() ? nullptr : &it->second;
}

void StoreReplica::dropOldRemovals(TimePoint now) {
  while (!Removals.empty() && now - Removals.front().ReceivedAt > RemovalRetention) {
    const Removal &it = Removals.front();
    RemovalsIncompleteUpTo = std::max(RemovalsIncompleteUpTo, it.Revision);
    if (const auto removed = RemovalRevisions.find(it.Key);
        removed != RemovalRevisions.end() && removed->second == it.Revision)
      RemovalRevisions.erase(removed);
    Removals.pop_front();
  }
}

} // namespace wigeonlift
