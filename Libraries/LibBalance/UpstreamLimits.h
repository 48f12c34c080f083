#pragma once

#include <LibBalance/BalanceTypes.h>
#include <LibBudget/LibBudget.h>

#include <map>
#include <optional>
#include <span>

namespace wigeonlift {

/// What the upstreams of a service say about the requests that they accept: rate limits for the
/// fleet, of which this VM has a part, and times for which they want nothing from this VM.
///
/// A limit is divided into a few shares, which VMs hold as `ShareAssignment` says. Only a VM that
/// holds shares sends requests to the upstream, and saves up at most a burst of one request for
/// each. So the fleet never sends more than one request for each share beyond the limit, however
/// many VMs there are. A VM that gains a share starts without saved requests, because the VM that
/// had it may just have used them.
class UpstreamLimits {
public:
  explicit UpstreamLimits(std::uint64_t seed) : Rng(seed) {}

  /// `fleetKey` identifies the upstream in the same way on all VMs. Returns whether the limit
  /// changed.
  bool didReport(UpstreamIndex upstream, std::uint64_t fleetKey, const RateLimitReport &report,
                 TimePoint now);
  /// The upstream wants nothing from this VM for so long. Doesn't shorten an earlier time.
  void didAskToStayAway(UpstreamIndex upstream, Duration duration, TimePoint now);
  void forget(UpstreamIndex upstream);
  /// Forgets times that have passed.
  void expire(TimePoint now);
  void setAssignment(const ShareAssignment &assignment, TimePoint now);

  /// Requests per second that the upstream accepts from the fleet; empty if it names no limit.
  std::optional<double> requestsPerSecond(UpstreamIndex upstream) const;
  /// Number of upstreams that name a limit.
  std::size_t size() const { return Limits.size(); }
  bool isEmpty() const { return Limits.empty() && StayAwayUntil.empty(); }
  /// Whether the upstream wants nothing from this VM for now.
  bool wantsNothing(UpstreamIndex upstream, TimePoint now) const;
  /// Whether the upstream names a limit or wants nothing for now.
  bool isRestricted(UpstreamIndex upstream, TimePoint now) const;
  /// Number of shares of the upstream's limit that this VM holds; 0 without a limit.
  int heldShares(UpstreamIndex upstream) const;
  /// Whether this VM probably holds shares of the upstream's limit if it has one. A VM learns of
  /// limits only from the upstreams that it works with.
  bool wouldHoldShares(std::uint64_t fleetKey) const;
  /// Whether the upstream can take a request of this VM now.
  bool hasRoom(UpstreamIndex upstream, TimePoint now) const;
  /// Takes the room for one request. Always succeeds at an upstream that isn't restricted.
  bool take(UpstreamIndex upstream, TimePoint now);
  /// Whether a question for the load of the upstream is of use: it has room for a request, or it is
  /// time to find out whether the limit is still in force.
  bool mayProbe(UpstreamIndex upstream, TimePoint now) const;
  /// Whether this VM has no part of the upstream's limit, or the upstream wants nothing for now.
  bool isWithheld(UpstreamIndex upstream, TimePoint now) const;
  /// When one of the restricted upstreams has room for a request behind `callsAhead` others.
  /// `TimePoint::max()` if that never happens.
  TimePoint readyAt(std::span<const UpstreamIndex> upstreams, std::size_t callsAhead) const;

  /// Number of shares that a limit is divided into. With this number, what the VMs may save up
  /// stays well below the requests that upstreams tolerate beyond their limit.
  static int shareCount(double requestsPerSecond);

private:
  struct Limit {
    std::uint64_t FleetKey = 0;
    double RequestsPerSecond = 0;
    int HeldShares = 0;
    /// For the shares that this VM holds.
    RateLimit Room;
    /// When to ask whether the limit is still in force if this VM has no other reason to ask.
    TimePoint RecheckAt{};
  };
  void updateShares(Limit &limit, TimePoint now) const;
  Duration recheckInterval();

  /// When the upstream has room for a request of this VM behind `callsAhead` others.
  TimePoint readyAt(UpstreamIndex upstream, std::size_t callsAhead) const;

  std::map<UpstreamIndex, Limit> Limits;
  std::map<UpstreamIndex, TimePoint> StayAwayUntil;
  ShareAssignment Assignment;
  Random Rng;
};

} // namespace wigeonlift
