#include <LibDiscovery/BoundedItems.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace wigeonlift {

namespace {

// What remains after items were dropped, so that the next items don't each cost a pass over all.
constexpr std::size_t BytesAfterShedding = BoundedItems::MaxUnusedBytes / 4 * 3;
// The key is stored twice: in the node of the map and in the item.
constexpr std::size_t NodeBytes = sizeof(BoundedItems::Map::value_type) + 4 * sizeof(void *);

} // namespace

BoundedItems::BoundedItems(const ServiceNames &used) : Used(used) {}

std::size_t BoundedItems::bytesOf(const StoreItem &item) {
  return NodeBytes + 2 * item.Key.size() + item.Value.size() + item.Service.size();
}

const StoreItem *BoundedItems::find(std::string_view key) const {
  const auto it = Items.find(key);
  return it == Items.end() ? nullptr : &it->second;
}

void BoundedItems::insert(StoreItem item) {
  erase(item.Key);
  didAdd(item);
  std::string key = item.Key;
  Items.emplace(std::move(key), std::move(item));
}

void BoundedItems::erase(std::string_view key) {
  const auto it = Items.find(key);
  if (it == Items.end())
    return;
  didErase(it->second);
  Items.erase(it);
}

void BoundedItems::clear() {
  Items.clear();
  UnusedServices.clear();
  UnusedBytes = 0;
}

bool BoundedItems::isUsed(const StoreItem &item) const {
  return item.Service.empty() || Used.contains(item.Service);
}

bool BoundedItems::use(const std::string &service) {
  if (!Used.insert(service).second)
    return false;
  if (const auto it = UnusedServices.find(service); it != UnusedServices.end()) {
    UnusedBytes -= it->second;
    UnusedServices.erase(it);
  }
  return true;
}

void BoundedItems::didAdd(const StoreItem &item) {
  if (isUsed(item))
    return;
  UnusedServices[item.Service] += bytesOf(item);
  UnusedBytes += bytesOf(item);
}

void BoundedItems::didErase(const StoreItem &item) {
  if (isUsed(item))
    return;
  const auto it = UnusedServices.find(item.Service);
  it->second -= bytesOf(item);
  UnusedBytes -= bytesOf(item);
  if (it->second == 0)
    UnusedServices.erase(it);
}

std::size_t BoundedItems::fairShare() const {
  std::vector<std::size_t> sizes;
  for (const auto &[service, bytes] : UnusedServices)
    sizes.push_back(bytes);
  std::ranges::sort(sizes);
  std::size_t left = BytesAfterShedding;
  for (std::size_t n = 0; n < sizes.size(); ++n) {
    const std::size_t share = left / (sizes.size() - n);
    if (sizes[n] > share)
      return share;
    left -= sizes[n];
  }
  return std::numeric_limits<std::size_t>::max();
}

std::size_t BoundedItems::shed() {
  if (UnusedBytes <= MaxUnusedBytes)
    return 0;
  const std::size_t share = fairShare();
  std::map<std::string_view, std::size_t> keptOf;
  std::size_t kept = 0;
  std::vector<std::string> dropped;
  for (const auto &[key, item] : Items) {
    if (isUsed(item))
      continue;
    const std::size_t bytes = bytesOf(item);
    std::size_t &ofService = keptOf[UnusedServices.find(item.Service)->first];
    // Where there are too many services for a share each, the first ones keep an item.
    const bool isFirst = ofService == 0 && kept + bytes <= BytesAfterShedding;
    if ((ofService + bytes > share && !isFirst) || kept + bytes > BytesAfterShedding) {
      dropped.push_back(key);
      continue;
    }
    ofService += bytes;
    kept += bytes;
  }
  for (const std::string &it : dropped)
    erase(it);
  return dropped.size();
}

std::vector<StoreItem> BoundedItems::itemsOf(std::string_view service) const {
  std::vector<StoreItem> result;
  for (const auto &[key, item] : Items)
    if (item.Service == service)
      result.push_back(item);
  return result;
}

std::string BoundedItems::largestUnusedService() const {
  const auto it = std::ranges::max_element(UnusedServices, {},
                                           [](const auto &service) { return service.second; });
  return it == UnusedServices.end() ? std::string{} : it->first;
}

} // namespace wigeonlift
