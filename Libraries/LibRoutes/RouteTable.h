#pragma once

#include <LibRoutes/RouteConfiguration.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wigeonlift {

/// Finds routes by host and path. The cost of a look-up grows with the slashes of the path and not
/// with the number of routes.
class RouteTable {
public:
  explicit RouteTable(RouteConfiguration configuration);

  const RouteConfiguration &configuration() const { return Configuration; }
  /// The route of that host whose prefix is the longest one that begins the path; null when there
  /// is none. A port in the host and a query in the target are ignored.
  const Route *find(std::string_view host, std::string_view target) const;
  /// Null when the plan has no such service.
  const ServiceConfiguration *service(std::string_view name) const;

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
};

/// The configuration in force. It only goes forward while the process lives.
class RouteTableStore {
public:
  /// Takes a configuration over unless one with the same or a later version is in force.
  bool replaceIfNewer(RouteConfiguration configuration);
  /// Null until the first configuration has arrived.
  const std::shared_ptr<const RouteTable> &current() const { return Current; }

private:
  std::shared_ptr<const RouteTable> Current;
};

/// Deals the calls of a route out to its parts, so that after any number of calls each part has its
/// share but for a fraction of one call.
class WeightedRoundRobin {
public:
  /// Position of the part that takes the next call. The route must have a part with a weight.
  std::size_t next(const Route &route, double initialFraction);

private:
  std::vector<double> CurrentWeights;
  std::vector<double> Weights;
};

} // namespace wigeonlift
