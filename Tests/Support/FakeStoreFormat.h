#pragma once

#include <LibDiscovery/LibDiscovery.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// A store whose key `config` has the names of services, each followed by a comma, and whose keys
/// `u/…` have the service of an upstream. What follows `|` in a value isn't read, and neither are
/// other keys.
class FakeStoreFormat final : public StoreFormat {
public:
  bool reduce(StoreItem &item) const override {
    if (item.Key == "config")
      return true;
    if (!item.Key.starts_with("u/"))
      return false;
    if (item.IsRemoved)
      return true;
    item.Value.resize(std::min(item.Value.size(), item.Value.find('|')));
    item.Service = item.Value;
    item.IsRemoved = item.IsUnreadable = item.Value.empty();
    return true;
  }
  std::optional<std::vector<std::string>> namedServices(const StoreItem &item) const override {
    if (item.Key != "config")
      return std::nullopt;
    std::vector<std::string> names;
    for (std::size_t at = 0, end = 0; (end = item.Value.find(',', at)) != std::string::npos;
         at = end + 1)
      names.push_back(item.Value.substr(at, end - at));
    return names;
  }

  /// An upstream's entry as this format keeps it.
  static StoreItem upstream(const std::string &id, const std::string &service,
                            StoreRevision revision) {
    return {.Key = "u/" + id, .Value = service, .Revision = revision, .Service = service};
  }
  static StoreItem configuration(const std::string &services, StoreRevision revision) {
    return {.Key = "config", .Value = services, .Revision = revision};
  }
};

} // namespace wigeonlift
