#pragma once

#include <LibRoutes/RoutePlan.h>

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
  explicit RouteTable(RoutePlan plan);

  const RoutePlan &plan() const { return Plan; }
  /// The route of that host whose prefix is the longest one that begins the path; null when there
  /// is none. A port in the host and a query in the target are ignored.
  const Route *find(std::string_view host, std::string_view target) const;
  /// Null when the plan has no such service.
  const ServicePlan *service(std::string_view name) const;

private:
  struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  template <typename Value>
  using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  RoutePlan Plan;
  TextMap<TextMap<const Route *>> RoutesOfHost;
  TextMap<const ServicePlan *> Services;
};

/// The configuration in force. It only goes forward while the process lives.
class RoutePlanStore {
public:
  /// Takes a configuration over unless one with the same or a later version is in force.
  bool offer(RoutePlan plan);
  /// Null until the first configuration has arrived.
  const std::shared_ptr<const RouteTable> &inForce() const { return InForce; }

private:
  std::shared_ptr<const RouteTable> InForce;
};

/// Deals the calls of a route out to its parts, so that after any number of calls each part has its
/// share but for a fraction of one call.
class TrafficSplit {
public:
  /// Position of the part that takes the next call. The route must have a part with a weight.
  std::size_t next(const Route &route, double start);

private:
  std::vector<double> Credits;
  std::vector<double> Weights;
};

} // namespace wigeonlift
