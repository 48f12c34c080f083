#pragma once

#include <LibRoutes/RouteConfiguration.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wigeonlift {

/// Finds routes by host and path. The cost of a lookup grows with the number of slashes in the
/// path, not with the number of routes.
class RouteTable {
public:
  explicit RouteTable(RouteConfiguration configuration);

  const RouteConfiguration &configuration() const { return Configuration; }
  /// Returns the route of the host with the longest prefix that matches the path; null when no
  /// route matches. Letter case and port of the host and the query of the target are ignored.
  const Route *find(std::string_view host, std::string_view target) const;
  /// Null when the configuration has no such service.
  const ServiceConfiguration *service(std::string_view name) const;
  /// Whether routes of different priorities send requests to the service.
  bool hasSeveralPriorities(std::string_view service) const;

private:
  struct StringHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  template <typename Value>
  using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  RouteConfiguration Configuration;
  StringMap<StringMap<const Route *>> RoutesByHost;
  StringMap<const ServiceConfiguration *> Services;
  StringMap<std::set<int>> PrioritiesByService;
};

/// Holds the current route table. Its version never decreases during the life of the process.
class RouteTableStore {
public:
  /// Replaces the current configuration if the new one has a higher version. Returns whether it
  /// did.
  bool replaceIfNewer(RouteConfiguration configuration);
  /// Null until the first configuration is stored.
  const std::shared_ptr<const RouteTable> &current() const { return Current; }

private:
  std::shared_ptr<const RouteTable> Current;
};

/// Smooth weighted round robin over the services of one route. The difference between the number of
/// calls of a service and its exact share doesn't grow with the number of calls, but with many
/// services it can exceed one call.
class WeightedRoundRobin {
public:
  /// Returns the index of the service for the next call. The route must have a service with a
  /// positive weight. When the weights are new or have changed, each service's current weight
  /// starts at `initialFraction` of its weight.
  std::size_t next(const Route &route, double initialFraction);

private:
  std::vector<double> CurrentWeights;
  std::vector<double> Weights;
};

} // namespace wigeonlift
