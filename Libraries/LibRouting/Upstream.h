#pragma once

#include <LibRouting/LoadEstimate.h>
#include <LibRouting/SendPermission.h>
#include <LibRouting/UpstreamHealth.h>

#include <cstdint>

namespace wigeonlift {

/// State of one upstream of a service, as this VM knows it.
struct Upstream {
  /// The upstream list contains this upstream.
  bool IsListed = false;
  /// The upstream list marks this upstream as leaving.
  bool IsLeaving = false;
  /// The upstream belongs to the subset that this VM sends calls to.
  bool IsInSubset = true;
  /// Hash of the upstream's name by which this VM orders the upstreams. Those with the highest rank
  /// form the subset.
  std::uint64_t Rank = 0;
  /// Time since which the upstream has been reporting that it is warming up.
  std::optional<TimePoint> WarmingSince;
  SendPermission Permission;
  LoadEstimate Load;
  UpstreamHealth Health;
  /// Attempts that this VM assigned to the upstream and that have not ended.
  int OwnInFlight = 0;
  int OwnExports = 0;
  /// A probe of this VM uses a connection to the upstream.
  bool IsProbed = false;
  std::uint64_t Attempts = 0;
  std::uint64_t Failures = 0;

  bool mayReceive(TimePoint now, Duration permissionLifetime) const {
    return IsListed && !IsLeaving && Permission.isValid(now, permissionLifetime);
  }
};

} // namespace wigeonlift
