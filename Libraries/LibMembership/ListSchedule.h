#pragma once

#include <LibBase/LibBase.h>

#include <cstddef>

namespace wigeonlift {

/// Decides when a VM reads the platform's list itself: at its interval, or soon when it starts,
/// wakes after a pause or loses its last peer. The waits are random, so that all VMs together read
/// at most about 10 times a second.
class ListSchedule {
public:
  /// A VM with seeds doesn't know the size of the fleet when it starts and spreads its first read
  /// over 4 s.
  ListSchedule(std::uint64_t seed, bool hasSeeds, TimePoint now);

  /// Whether the list should be read now, with the VMs that are known to exist, this one included,
  /// and whether a peer can be reached.
  bool isDue(std::size_t vms, bool hasPeers, TimePoint now);
  /// A read ended. The interval is that of a VM whose peers read too.
  void didRead(bool isRead, Duration interval, TimePoint now);
  void didPause(TimePoint now) { readSoon({}, now); }

private:
  void readSoon(Duration minSpan, TimePoint now);

  Random Chance;
  bool IsSoon = true;
  /// The last read was one that was due soon.
  bool IsAfterSoon = false;
  bool HadPeers = false;
  bool HasFailed = false;
  /// Random number from 0 to 1 that the wait is made of.
  double Part = 0;
  TimePoint BeganAt{};
  Duration MinSpan{};
  Duration Interval{};
};

} // namespace wigeonlift
