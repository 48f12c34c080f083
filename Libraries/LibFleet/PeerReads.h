#pragma once

#include <LibFleet/FleetMembership.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace wigeonlift {

/// Decides from which VMs a VM reads the changes that it lacks. A VM that has fallen silent may
/// count as alive for seconds, so the next one is asked before the first has failed, and one that
/// failed only when there is no other. Performs no I/O.
class PeerReads {
public:
  /// Time between two calls of `next` while the VM lacks changes.
  static constexpr Duration Interval = std::chrono::milliseconds{300};

  /// Returns the VM to read from now. Empty if no VM is known to be ahead of the revision, or if
  /// enough reads are in progress. Each read ends with `didEnd`.
  std::optional<VmAddress> next(FleetMembership &members, StoreRevision revision, TimePoint now);
  void didEnd(VmAddress vm, bool hasSucceeded, TimePoint now);

private:
  static constexpr std::size_t MaxInProgress = 3;

  std::set<VmAddress> InProgress;
  /// When a read from a VM last failed.
  std::map<VmAddress, TimePoint> FailedAt;
};

} // namespace wigeonlift
