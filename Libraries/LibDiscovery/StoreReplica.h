#pragma once

#include <LibBase/LibBase.h>
#include <LibDiscovery/BoundedItems.h>
#include <LibDiscovery/StoreItem.h>
#include <LibDiscovery/StoreRevision.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// A local copy of the store's keys. Reads and watches of the store and copies from peers update it
/// in any order: a change with an older revision never replaces a newer one of the same key.
///
/// Only a complete copy of a later era replaces the replica, whatever the revisions of its keys.
/// Changes of another era than the replica's have no effect.
///
/// Upstreams of services that no configuration has named are kept within a bound, see
/// `BoundedItems`. If some were left out, here or by whoever sent a copy, and a configuration then
/// names a service, the replica may lack upstreams in use until it gets a complete copy.
class StoreReplica {
public:
  /// How many removals are remembered at most. A VM that lacks an earlier one gets a complete copy.
  static constexpr std::size_t MaxRemovals = 4096;

  /// Merges a delta. Returns the items in use that changed, including all removals, sorted by
  /// revision. For a copy of a later era these are the keys whose value differs, and those that are
  /// missing. `keepWithinBound` must follow, after `use` for the services that the delta names.
  std::vector<StoreItem> apply(const StoreDelta &delta, TimePoint now);
  /// A configuration names services. Returns the items of those that none named before. If
  /// `isCovered`, the delta that contains the configuration left out none of them.
  std::vector<StoreItem> use(std::span<const std::string> services, bool isCovered);
  /// Drops items of services that aren't in use down to the bound.
  void keepWithinBound();
  /// The items without a service and those of services in use.
  std::vector<StoreItem> usedItems() const;
  const ServiceNames &usedServices() const { return Items.used(); }
  /// Whether upstreams of services that aren't in use were left out since the last complete copy.
  bool hasLeftOut() const { return HasLeftOut; }
  /// Whether upstreams in use may be missing, since their service was named after they were left
  /// out.
  bool isLacking() const { return LackingSince.has_value(); }
  /// Increases whenever the replica changes, also if its revision doesn't.
  std::uint64_t version() const { return Version; }
  const BoundedItems &bounded() const { return Items; }
  /// Returns the changes after a revision, to be sent to a peer. Returns a complete copy if the
  /// revision is 0 or of an earlier era, or if the removals since that revision aren't all known.
  StoreDelta changesSince(StoreRevision revision) const;
  StoreRevision revision() const { return AsOf; }
  bool isEmpty() const { return AsOf == 0; }
  /// Returns null if the key doesn't exist.
  const StoreItem *find(std::string_view key) const { return Items.find(key); }
  const BoundedItems::Map &items() const { return Items.all(); }

private:
  /// Adds a write to the changes. One that gives an upstream to a service that isn't in use takes
  /// it from the one that is.
  void addChange(const StoreItem &item, bool wasUsed, std::vector<StoreItem> &changes) const;
  /// Replaces all keys by those of a complete copy of a later era.
  std::vector<StoreItem> replaceBy(const StoreDelta &copy);
  /// Drops the removals that were received longer ago than the retention time, and the oldest ones
  /// beyond the largest number.
  void dropOldRemovals(TimePoint now);
  /// Whether the replica may lack the key of an older revision than its own because it was left
  /// out, not because it was removed.
  bool mayAdopt(const StoreDelta &delta) const;
  /// Notes what a copy or changes leave out.
  void didMerge(const StoreDelta &delta, bool isLatestCopy);

  struct Removal {
    StoreRevision Revision;
    std::string Key;
    TimePoint ReceivedAt;
  };

  BoundedItems Items;
  /// Revision of the last removal of each removed key, as long as the removal is kept.
  std::map<std::string, StoreRevision, std::less<>> RemovalRevisions;
  /// The removals of the retention time, in the order in which they were received.
  std::deque<Removal> Removals;
  /// Up to this revision, removals may be missing from `Removals` or have a revision there that is
  /// later than the true one.
  StoreRevision RemovalsIncompleteUpTo = 0;
  /// The replica includes all changes up to this revision.
  StoreRevision AsOf = 0;
  bool HasLeftOut = false;
  /// Revision of the replica when a service was named of which upstreams may be missing.
  std::optional<StoreRevision> LackingSince;
  std::uint64_t Version = 0;
};

} // namespace wigeonlift
