#pragma once

#include <LibFleet/VmAddress.h>

#include <LibBase/LibBase.h>

#include <cstdint>
#include <map>
#include <optional>

namespace wigeonlift {

/// A time on the clock of a process: milliseconds of its steady clock.
struct ClockReading {
  /// Incarnation of the process. A machine that restarts may start its clock anew.
  std::uint64_t Incarnation = 0;
  std::uint64_t Ms = 0;

  bool operator==(const ClockReading &) const = default;
};

/// Converts times of this VM to the clocks of other VMs, never to later times than the true ones.
///
/// A message that arrives shows how far this VM's clock is ahead of its sender's at most: by the
/// difference between the times of arrival and of sending, since a message may be on its way for
/// long but never arrives before it is sent. The smallest difference that was seen is subtracted
/// from the times that this VM tells the sender. The result is at worst too early, however long any
/// message took or waited.
class PeerClocks {
public:
  /// A message of a VM has arrived that was sent at `sentAt` on the clock of that VM.
  void didReceive(VmAddress vm, const ClockReading &sentAt, TimePoint now);
  /// How much longer than the fastest known message a message was on its way that arrives now, also
  /// if it lay here while this process was frozen. At worst too short. Zero for unknown VMs.
  Duration delayOf(VmAddress vm, const ClockReading &sentAt, TimePoint now) const;
  /// Empty if no message of the VM has arrived, or if its clock started after that time.
  std::optional<ClockReading> toClockOf(VmAddress vm, TimePoint time, TimePoint now) const;
  /// Forgets VMs that have sent nothing for a while.
  void expire(TimePoint now);

private:
  struct Peer {
    std::uint64_t Incarnation = 0;
    /// How far this VM's clock is ahead, at most.
    Duration Lead{};
    TimePoint HeardAt{};
  };

  static Duration leadAt(const Peer &peer, TimePoint now);

  std::map<VmAddress, Peer> Peers;
};

} // namespace wigeonlift
