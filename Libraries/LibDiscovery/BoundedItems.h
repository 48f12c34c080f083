#pragma once

#include <LibDiscovery/StoreItem.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// Names of services.
using ServiceNames = std::set<std::string, std::less<>>;

/// Items of the store by key. Any number of items without a service and of services in use is kept.
/// The upstreams of all other services, which only a later configuration may name, share a bound in
/// bytes. Above it the services with the most bytes lose items first, so that one that floods the
/// store doesn't displace the others.
class BoundedItems {
public:
  /// Bytes of upstreams of services that aren't in use. Thousands of them, which is more than the
  /// largest deployments have in all, and little beside the memory of the smallest VM.
  static constexpr std::size_t MaxUnusedBytes = 2 * 1024 * 1024;

  using Map = std::map<std::string, StoreItem, std::less<>>;

  explicit BoundedItems(const ServiceNames &used = {});

  /// Null if there is no such key.
  const StoreItem *find(std::string_view key) const;
  /// Inserts or replaces the item of the key.
  void insert(StoreItem item);
  void erase(std::string_view key);
  void clear();
  /// A configuration names the service. Returns whether none did before.
  bool use(const std::string &service);
  /// Whether the item has no service, or one that is in use.
  bool isUsed(const StoreItem &item) const;
  /// Drops items if those of unused services exceed the bound. Returns how many it dropped.
  std::size_t shed();

  const Map &all() const { return Items; }
  std::vector<StoreItem> itemsOf(std::string_view service) const;
  const ServiceNames &used() const { return Used; }
  /// Of services that aren't in use, with the overhead of the containers.
  std::size_t unusedBytes() const { return UnusedBytes; }
  /// The service that isn't in use and has the most bytes; empty if there is none.
  std::string largestUnusedService() const;

private:
  /// Approximate memory of an item, in bytes.
  static std::size_t bytesOf(const StoreItem &item);
  void didAdd(const StoreItem &item);
  void didErase(const StoreItem &item);
  /// How many bytes each unused service may keep for all to fit the bound.
  std::size_t fairShare() const;

  Map Items;
  ServiceNames Used;
  /// Bytes by service, of those that aren't in use.
  std::map<std::string, std::size_t, std::less<>> UnusedServices;
  std::size_t UnusedBytes = 0;
};

} // namespace wigeonlift
