#pragma once

#include <LibBase/Time.h>

#include <cstdint>
#include <optional>

namespace wigeonlift {

/// What a response says about how many requests per second its upstream accepts.
struct RateLimitReport {
  enum class Content : std::uint8_t {
    Unusable,  ///< A value that can't be read; what was known before remains true.
    Unlimited, ///< The response names no limit, so none is in force.
    Limited,
  };
  Content Kind = Content::Unusable;
  /// From all VMs together, as long as the responses name this limit.
  double RequestsPerSecond = 0;

  bool operator==(const RateLimitReport &) const = default;
};

/// What the answer to a health check says about the warm-up of its upstream.
struct WarmupReport {
  enum class Content : std::uint8_t {
    Unusable, ///< A value that can't be read; what was known before remains true.
    Unnamed,  ///< The answer says nothing about it.
    Named,
  };
  Content Kind = Content::Unusable;
  /// The upstream is cold for so long; zero if it is warm.
  Duration Remaining{};
  /// When the health check was sent.
  TimePoint AskedAt{};

  bool operator==(const WarmupReport &) const = default;
};

/// What an upstream says in any response about the requests that it wants, apart from its load.
struct UpstreamNotice {
  RateLimitReport RateLimit;
  /// The upstream finishes what it has and ends.
  bool IsLeaving = false;
  /// The upstream rejects a request and wants nothing from this VM for so long.
  std::optional<Duration> RetryAfter{};
  /// Empty in all responses but the answers to health checks.
  std::optional<WarmupReport> WarmupRemaining{};

  bool operator==(const UpstreamNotice &) const = default;
};

} // namespace wigeonlift
