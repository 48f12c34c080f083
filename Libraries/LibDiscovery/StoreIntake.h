#pragma once

#include <LibDiscovery/BoundedItems.h>
#include <LibDiscovery/StoreFormat.h>
#include <LibDiscovery/StoreItem.h>
#include <LibDiscovery/StoreReplica.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wigeonlift {

/// What an answer consists of.
enum class IntakeKind : std::uint8_t {
  Copy,    ///< All keys. Removals don't count, as what isn't there is removed.
  Changes, ///< Writes and removals.
};

/// Gathers the items of an answer of the store, or of another VM's copy, one by one as they arrive,
/// and keeps only what VMs read. However much others have written, this takes the memory of the
/// items in use, of as many others as `BoundedItems` keeps, and of the removals.
class StoreIntake {
public:
  /// Bytes of changes in use, without configurations, that a watch may bring. A complete copy takes
  /// their place beyond that.
  static constexpr std::size_t MaxChangeBytes = 4 * 1024 * 1024;

  /// Without a format all items are kept as they are. `used` are the services that configurations
  /// have named.
  explicit StoreIntake(IntakeKind kind, const StoreFormat *format = nullptr,
                       const ServiceNames &used = {})
      : Kind(kind), Format(format), Unused(used) {}

  /// Adds an item as it was written.
  void add(StoreItem item);
  /// Adds an item that is reduced already.
  void addReduced(StoreItem item);
  /// Counts an item that nobody reads.
  void ignore() { ++Ignored; }
  /// Forgets all items, for a read that begins again.
  void clear();
  /// Whether the changes take more memory than those of a watch may.
  bool isOverfull() const { return Kind == IntakeKind::Changes && ChangeBytes > MaxChangeBytes; }
  /// Whether there are more removals than a VM remembers, and so sends.
  bool hasTooManyRemovals() const { return Removals > StoreReplica::MaxRemovals; }
  /// Items that nobody reads, and those that were left out.
  std::size_t ignored() const { return Ignored; }
  std::size_t leftOut() const { return LeftOut; }
  /// Whether whoever sent the items has left out some, or lacks some.
  void setSenderState(bool hasLeftOut, bool isLacking);

  /// Takes the items out, as a delta.
  StoreDelta take(bool isComplete, StoreRevision asOf);

private:
  void addUsed(StoreItem item);
  void didConfigure(const StoreItem &configuration);

  IntakeKind Kind;
  const StoreFormat *Format;
  /// Items in use and removals, in the order in which they came.
  std::vector<StoreItem> Used;
  BoundedItems Unused;
  std::size_t ChangeBytes = 0;
  std::size_t Removals = 0;
  std::size_t Ignored = 0;
  std::size_t LeftOut = 0;
  bool HasLeftOut = false;
  bool IsLacking = false;
};

} // namespace wigeonlift
