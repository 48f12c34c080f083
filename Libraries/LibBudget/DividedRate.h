#pragma once

#include <LibBudget/RateLimit.h>
#include <LibBudget/ShareAssignment.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace wigeonlift {

/// The part of a rate for the whole fleet that this VM may use. The rate is divided into equal
/// shares, which VMs hold as a `ShareAssignment` says.
///
/// A VM that gains a share starts without saved requests, because the VM that had it may just have
/// used them.
class DividedRate {
public:
  struct Terms {
    /// Identifies the rate in the same way on all VMs.
    std::uint64_t FleetKey = 0;
    double RequestsPerSecond = 0;
    int Shares = 0;
    /// How many unused requests the holder of a share may save up. If empty, those of 100 ms, but
    /// at least one in all.
    std::optional<double> SavedRequestsPerShare{};
    bool operator==(const Terms &) const = default;
  };

  /// The first call fills the saved requests of the held shares.
  void setTerms(const Terms &terms, const ShareAssignment &assignment, TimePoint now);
  void setAssignment(const ShareAssignment &assignment, TimePoint now);

  std::uint64_t fleetKey() const { return Agreed.FleetKey; }
  /// Of the whole fleet.
  double requestsPerSecond() const { return Agreed.RequestsPerSecond; }
  int heldShares() const { return HeldShares; }
  bool hasRoom(TimePoint now) const { return Room.readyAt(0) <= now; }
  bool take(TimePoint now) { return Room.take(now); }
  /// When there is room for a request behind `callsAhead` others. `TimePoint::max()` if that never
  /// happens.
  TimePoint readyAt(std::size_t callsAhead) const { return Room.readyAt(callsAhead); }

private:
  Terms Agreed;
  int HeldShares = 0;
  RateLimit Room;
};

} // namespace wigeonlift
