#include <LibDiscovery/StoreReplica.h>

#include <algorithm>
#include <set>
#include <utility>

namespace wigeonlift {

namespace {

// A peer that has been cut off for longer gets a complete copy.
constexpr Duration RemovalRetention = std::chrono::seconds{60};

} // namespace

std::vector<StoreItem> StoreReplica::apply(const StoreDelta &delta, TimePoint now) {
  std::vector<StoreItem> changes;
  const auto remove = [&](const std::string &key, StoreRevision revision) {
    Items.erase(key);
    RemovedAt[key] = revision;
    Removals.push_back({revision, key, now});
    changes.push_back({.Key = key, .Value = {}, .Revision = revision, .IsRemoved = true});
  };
  for (const StoreItem &it : delta.Items) {
    const auto known = Items.find(it.Key);
    const auto removed = RemovedAt.find(it.Key);
    const StoreRevision had = known != Items.end()         ? known->second.Revision
                              : removed != RemovedAt.end() ? removed->second
                                                           : 0;
    if (it.Revision <= had)
      continue;
    // All that existed at the replica's revision is known, so an older entry was removed since.
    if (known == Items.end() && it.Revision <= AsOf)
      continue;
    if (it.IsRemoved) {
      remove(it.Key, it.Revision);
      continue;
    }
    RemovedAt.erase(it.Key);
    Items.insert_or_assign(it.Key, it);
    changes.push_back(it);
  }
  if (delta.IsComplete && delta.AsOf >= AsOf) {
    std::set<std::string_view> named;
    for (const StoreItem &it : delta.Items)
      named.insert(it.Key);
    std::vector<std::string> gone;
    for (const auto &[key, item] : Items)
      if (!named.contains(key) && item.Revision <= delta.AsOf)
        gone.push_back(key);
    for (const std::string &key : gone)
      remove(key, delta.AsOf);
    // The removals in the gap have no revisions of their own, so a delta can't begin within it.
    ForgottenUpTo = std::max(ForgottenUpTo, delta.AsOf);
  }
  AsOf = std::max(AsOf, delta.AsOf);
  forgetRemovals(now);
  std::ranges::stable_sort(changes, {}, &StoreItem::Revision);
  return changes;
}

StoreDelta StoreReplica::changesSince(StoreRevision revision) const {
  StoreDelta delta{
      .Items = {}, .IsComplete = revision < ForgottenUpTo || revision == 0, .AsOf = AsOf};
  for (const auto &[key, item] : Items)
    if (delta.IsComplete || item.Revision > revision)
      delta.Items.push_back(item);
  if (!delta.IsComplete)
    for (const Removal &it : Removals)
      if (it.Revision > revision && RemovedAt.contains(it.Key))
        delta.Items.push_back(
            {.Key = it.Key, .Value = {}, .Revision = it.Revision, .IsRemoved = true});
  return delta;
}

const StoreItem *StoreReplica::find(std::string_view key) const {
  const auto it = Items.find(key);
  return it == Items.end() ? nullptr : &it->second;
}

void StoreReplica::forgetRemovals(TimePoint now) {
  while (!Removals.empty() && now - Removals.front().At > RemovalRetention) {
    const Removal &it = Removals.front();
    ForgottenUpTo = std::max(ForgottenUpTo, it.Revision);
    if (const auto removed = RemovedAt.find(it.Key);
        removed != RemovedAt.end() && removed->second == it.Revision)
      RemovedAt.erase(removed);
    Removals.pop_front();
  }
}

} // namespace wigeonlift
