#pragma once

#include <LibBase/LibBase.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// One service of a route with its weight.
struct WeightedService {
  std::string Service;
  /// The service's share of the route's requests is this weight divided by the sum of all weights
  /// of the route.
  double Weight = 1;
};

/// Assigns the requests for one host and path prefix to services.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  CallClass Class = CallClass::NonIdempotent;
  /// Upper bound of the time from a request's arrival to its response, retries included; empty when
  /// only the caller's deadline applies.
  std::optional<Duration> Timeout;
  /// Time within which the caller wants a response, counted from its first attempt; zero stands for
  /// the time until its deadline.
  Duration TargetLatency{};
  /// Priority among the routes of a service; 0 is the highest.
  int Priority = 0;
  /// Maximum number of upstreams to which one request is sent.
  int MaxAttempts = 1;
  std::vector<WeightedService> WeightedServices{};
};

/// Settings of a service that apply to all its routes.
struct ServiceConfiguration {
  std::string Name;
  std::string HealthPath;
  /// Limit on the connections of all entry VMs to one upstream; 0 when none is set.
  int MaxConnections = 0;
  /// Requests a second that a cold upstream accepts from all VMs; 0 when none are named.
  double WarmupRequestsPerSecond = 0;
};

/// Limits on the size of a request, on the time in which its header must arrive, and on the time
/// for which a caller's connection may be idle before a request.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
  Duration HeaderTimeout = std::chrono::seconds{3};
  Duration IdleTimeout = std::chrono::seconds{15};
};

/// A complete configuration as the operators publish it. Versions increase, but not always by 1.
struct RouteConfiguration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes{};
  std::vector<ServiceConfiguration> Services{};
  CallerLimits Limits{};
};

} // namespace wigeonlift
