#pragma once

#include <LibDiscovery/StoreRevision.h>

#include <string>
#include <vector>

namespace wigeonlift {

/// A write or a removal of a key.
struct StoreItem {
  std::string Key;
  std::string Value{};
  /// Revision of the write or of the removal.
  StoreRevision Revision = 0;
  bool IsRemoved = false;
  /// The service whose upstream the item registers. Empty for all other items.
  std::string Service{};
  /// Of a removal: the key still exists, but its value names no upstream.
  bool IsUnreadable = false;

  bool operator==(const StoreItem &) const = default;
};

/// The changes since a revision, or a complete copy of the store.
struct StoreDelta {
  std::vector<StoreItem> Items{};
  /// Whether this is a complete copy: keys that are not in `Items` don't exist.
  bool IsComplete = false;
  /// The delta includes all changes up to this revision.
  StoreRevision AsOf = 0;
  /// Whether upstreams of services that no configuration named were left out.
  bool HasLeftOut = false;
  /// Whether upstreams of a service may be missing that was named after some were left out.
  bool IsLacking = false;
};

} // namespace wigeonlift
