#pragma once

#include <LibBase/LibBase.h>
#include <LibDiscovery/StoreRevision.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// A write or a removal of a key.
struct StoreItem {
  std::string Key;
  std::string Value{};
  /// Revision of the write or of the removal.
  StoreRevision Revision = 0;
  bool IsRemoved = false;

  bool operator==(const StoreItem &) const = default;
};

/// The changes since a revision, or a complete copy of the store.
struct StoreDelta {
  std::vector<StoreItem> Items{};
  /// Whether this is a complete copy: keys that are not in `Items` don't exist.
  bool IsComplete = false;
  /// The delta includes all changes up to this revision.
  StoreRevision AsOf = 0;
};

/// A local copy of the store's keys. Reads and watches of the store and copies from peers update it
/// in any order: a change with an older revision never replaces a newer one of the same key.
///
/// Only a complete copy of a later era replaces the replica, whatever the revisions of its keys.
/// Changes of another era than the replica's have no effect.
class StoreReplica {
public:
  /// Merges a delta. Returns the items that changed, including removals, sorted by revision. For a
  /// copy of a later era these are the keys whose value differs, and those that are missing.
  std::vector<StoreItem> apply(const StoreDelta &delta, TimePoint now);
  /// Returns the changes after a revision, to be sent to a peer. Returns a complete copy if the
  /// revision is 0 or of an earlier era, or if the removals since that revision aren't all known.
  StoreDelta changesSince(StoreRevision revision) const;
  StoreRevision revision() const { return AsOf; }
  bool isEmpty() const { return AsOf == 0; }
  /// Returns null if the key doesn't exist.
  const StoreItem *find(std::string_view key) const;
  const std::map<std::string, StoreItem, std::less<>> &items() const { return Items; }

private:
  /// Replaces all keys by those of a complete copy of a later era.
  std::vector<StoreItem> replaceBy(const StoreDelta &copy);
  /// Drops the removals that were received longer ago than the retention time.
  void dropOldRemovals(TimePoint now);

  struct Removal {
    StoreRevision Revision;
    std::string Key;
    TimePoint ReceivedAt;
  };

  std::map<std::string, StoreItem, std::less<>> Items;
  /// Revision of the last removal of each removed key, as long as the removal is kept.
  std::map<std::string, StoreRevision, std::less<>> RemovalRevisions;
  /// The removals of the retention time, in the order in which they were received.
  std::deque<Removal> Removals;
  /// Up to this revision, removals may be missing from `Removals` or have a revision there that is
  /// later than the true one.
  StoreRevision RemovalsIncompleteUpTo = 0;
  /// The replica includes all changes up to this revision.
  StoreRevision AsOf = 0;
};

} // namespace wigeonlift
