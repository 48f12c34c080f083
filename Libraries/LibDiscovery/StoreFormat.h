#pragma once

#include <LibDiscovery/StoreItem.h>

#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// What the keys and values of the store mean to VMs. `platform/` implements it.
class StoreFormat {
public:
  StoreFormat() = default;
  StoreFormat(const StoreFormat &) = delete;
  StoreFormat &operator=(const StoreFormat &) = delete;
  virtual ~StoreFormat() = default;

  /// Reduces an item to what VMs read of it and names its service. An entry that names no upstream
  /// becomes a removal. Returns false if nobody reads the key.
  virtual bool reduce(StoreItem &item) const = 0;
  /// The services that the item names if it is a configuration; empty if it isn't.
  virtual std::optional<std::vector<std::string>> namedServices(const StoreItem &item) const = 0;
};

} // namespace wigeonlift
