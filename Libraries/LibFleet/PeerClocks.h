#pragma once

#include <LibFleet/VmAddress.h>

#include <LibBase/LibBase.h>

#include <cstdint>
#include <map>
#include <optional>

namespace wigeonlift {

/// A time on the clock of one process: milliseconds of its steady clock.
struct ClockReading {
  VmAddress Vm = 0;
  /// Incarnation of the process. A machine that restarts may start its clock anew.
  std::uint64_t Incarnation = 0;
  std::uint64_t Ms = 0;

  bool operator==(const ClockReading &) const = default;
};

/// Converts times on the clocks of other VMs to this VM's clock.
///
/// A message shows the difference between two clocks and the time that it was on its way, which is
/// never negative but may be long: the network may delay it, and it waits in the socket while the
/// process stands still. The smallest sum that was seen is therefore close to the difference of the
/// clocks, and converted times are too late by no more than the fastest message took.
///
/// A single message may have waited for long. Unless a second one that arrives later shows the same
/// difference, an estimate is used only for a moment.
class PeerClocks {
public:
  /// A message that was sent at `sentAt` has arrived.
  void didReceive(const ClockReading &sentAt, TimePoint now);
  /// Empty for processes whose clock isn't known well enough.
  std::optional<TimePoint> toOwnClock(const ClockReading &reading, TimePoint now) const;
  /// Forgets VMs that have sent nothing for a while.
  void expire(TimePoint now);

private:
  struct Estimate {
    std::uint64_t Incarnation = 0;
    /// What has to be added to a time on that clock.
    Duration Offset{};
    /// When a message first showed about this offset.
    TimePoint FirstSeenAt{};
    TimePoint UpdatedAt{};
    /// Whether messages that arrived at different times showed this offset.
    bool IsConfirmed = false;
  };

  std::map<VmAddress, Estimate> Estimates;
};

} // namespace wigeonlift
