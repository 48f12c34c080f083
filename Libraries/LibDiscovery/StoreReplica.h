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

/// Counter of the configuration store that increases with each change.
using StoreRevision = std::uint64_t;

/// A key as it was written, or its removal.
struct StoreItem {
  std::string Key;
  std::string Value{};
  /// Revision of the write or of the removal.
  StoreRevision Revision = 0;
  bool IsRemoved = false;

  bool operator==(const StoreItem &) const = default;
};

/// Changes since a revision, or everything.
struct StoreDelta {
  std::vector<StoreItem> Items{};
  /// Keys that the delta doesn't name don't exist.
  bool IsComplete = false;
  /// All changes up to this revision are contained.
  StoreRevision AsOf = 0;
};

/// A copy of the store's keys. It is fed by reads and watches of the store or by peers, in any
/// order: each key only goes forward.
class StoreReplica {
public:
  /// Merges a delta. Returns what has changed, removals included, in the order of the revisions.
  std::vector<StoreItem> apply(const StoreDelta &delta, TimePoint now);
  /// Changes after a revision, for a peer. Complete when removals since then were forgotten.
  StoreDelta changesSince(StoreRevision revision) const;
  StoreRevision revision() const { return AsOf; }
  bool isEmpty() const { return AsOf == 0; }
  /// Null when there is no such key.
  const StoreItem *find(std::string_view key) const;
  const std::map<std::string, StoreItem, std::less<>> &items() const { return Items; }

private:
  void forgetRemovals(TimePoint now);

  struct Removal {
    StoreRevision Revision;
    std::string Key;
    TimePoint At;
  };

  std::map<std::string, StoreItem, std::less<>> Items;
  std::map<std::string, StoreRevision, std::less<>> RemovedAt;
  std::deque<Removal> Removals;
  /// Removals up to this revision may be forgotten.
  StoreRevision ForgottenUpTo = 0;
  StoreRevision AsOf = 0;
};

} // namespace wigeonlift
