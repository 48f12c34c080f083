#pragma once

#include <LibBase/LibBase.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// A service that gets a share of a route's calls.
struct WeightedService {
  std::string Service;
  /// Share in relation to the weights of the other parts.
  double Weight = 1;
};

/// One route of the operators' configuration.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  CallClass Class = CallClass::NonIdempotent;
  /// Longest time for which a caller is kept waiting; empty when only its deadline bounds that.
  std::optional<Duration> Timeout;
  /// Time within which an answer is useful to the caller, counted from its first attempt.
  Duration TargetLatency{};
  /// Rank among the routes of a service; 0 is the most urgent.
  int Priority = 0;
  /// Upstreams to which one request may be sent.
  int MaxAttempts = 1;
  std::vector<WeightedService> WeightedServices{};
};

/// What the operators say about a service.
struct ServiceConfiguration {
  std::string Name;
  std::string HealthPath;
  int MaxConnections = 0;
};

/// Bounds of what a caller may send, and of how long it may take.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
  Duration HeaderTimeout = std::chrono::seconds{3};
  Duration IdleTimeout = std::chrono::seconds{15};
};

/// A whole configuration. Versions increase in uneven steps.
struct RouteConfiguration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes{};
  std::vector<ServiceConfiguration> Services{};
  CallerLimits Limits{};
};

} // namespace wigeonlift
