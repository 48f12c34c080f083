#pragma once

#include <LibRouting/LoadEstimate.h>
#include <LibRouting/SendPermission.h>
#include <LibRouting/UpstreamHealth.h>

#include <cstdint>

namespace wigeonlift {

/// What this VM knows about one upstream of a service.
struct Upstream {
  /// The list names the upstream.
  bool IsListed = false;
  /// The list says that the upstream is leaving.
  bool IsLeaving = false;
  /// Part of the subset that this VM prefers.
  bool IsInSubset = true;
  /// Place of the upstream in this VM's order of preference; the highest are in the subset.
  std::uint64_t Rank = 0;
  /// Since when the upstream has been reporting that it is warming.
  std::optional<TimePoint> WarmingSince;
  SendPermission Permission;
  LoadEstimate Load;
  UpstreamHealth Health;
  /// Attempts of this VM that were given to the upstream and have not ended.
  int OwnInFlight = 0;
  int OwnExports = 0;
  /// A connection is in use by a probe.
  bool IsProbed = false;
  std::uint64_t Attempts = 0;
  std::uint64_t Failures = 0;

  bool mayReceive(TimePoint now, Duration permissionLife) const {
    return IsListed && !IsLeaving && Permission.isValid(now, permissionLife);
  }
};

} // namespace wigeonlift
