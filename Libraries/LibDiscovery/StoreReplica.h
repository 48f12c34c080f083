#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// Version number of the configuration store. Each change increases it.
using StoreRevision = std::uint64_t;

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
class StoreReplica {
public:
  /// Merges a delta. Returns the items that changed, including removals, sorted by revision.
  std::vector<StoreItem> apply(const StoreDelta &delta, TimePoint now);
  /// Changes after a revision, to be sent to a peer. Returns a complete copy if the removals since
  /// that revision are no longer kept.
  StoreDelta changesSince(StoreRevision revision) const;
  StoreRevision revision() const { return AsOf; }
  bool isEmpty() const { return AsOf == 0; }
  /// Returns null if the key doesn't exist.
  const StoreItem *find(std::string_view key) const;
  const std::map<std::string, StoreItem, std::less<>> &items() const { return Items; }

private:
  /// Drops removals that are older than the retention time.
  void forgetRemovals(TimePoint now);

  struct Removal {
    StoreRevision Revision;
    std::string Key;
    TimePoint ReceivedAt;
  };

  std::map<std::string, StoreItem, std::less<>> Items;
  /// Revision of the last removal of each key that is removed.
  std::map<std::string, StoreRevision, std::less<>> RemovalRevisions;
  std::deque<Removal> Removals;
  /// Removals up to this revision may be missing from `Removals`.
  StoreRevision RemovalsForgottenUpTo = 0;
  /// The replica includes all changes up to this revision.
  StoreRevision AsOf = 0;
};

} // namespace wigeonlift
