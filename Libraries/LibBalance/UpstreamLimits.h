#pragma once

#include <LibBalance/BalanceTypes.h>
#include <LibBudget/LibBudget.h>

#include <map>
#include <optional>
#include <set>
#include <span>

namespace wigeonlift {

/// How far requests to a cold upstream may exceed the rate that its service names: in any second,
/// the upstream tolerates the rate times `Overage`, plus `Tolerance` requests.
struct WarmupBounds {
  double Overage = 1;
  double Tolerance = 0;
  bool operator==(const WarmupBounds &) const = default;
};

/// The room that an attempt has taken at its upstream.
struct TakenRoom {
  /// Of the limit that the upstream names.
  bool OfLimit = false;
  /// Of the rate for cold upstreams.
  bool OfWarmup = false;
};

/// What the upstreams of a service accept: rate limits for the fleet, of which this VM has a part,
/// and times for which they want nothing from this VM. An upstream has a rate limit because its
/// responses name one, because it is cold, or both; then the stricter one applies.
///
/// A limit is divided into a few shares, which VMs hold as `ShareAssignment` says. Only a VM that
/// holds shares sends requests to the upstream, and saves up at most a burst of one request for
/// each. So the fleet never sends more than one request for each share beyond the limit, however
/// many VMs there are.
///
/// Upstreams name their limits in all responses, but say only in health answers and in their
/// entries that they are cold. Where cold upstreams are limited, an upstream gets requests only
/// shortly after a health answer.
class UpstreamLimits {
public:
  explicit UpstreamLimits(std::uint64_t seed) : Rng(seed) {}

  /// `fleetKey` identifies the upstream in the same way on all VMs. Returns whether the limit
  /// changed.
  bool didReport(UpstreamIndex upstream, std::uint64_t fleetKey, const RateLimitReport &report,
                 TimePoint now);
  /// The upstream wants nothing from this VM for so long, whether or not it is listed. Doesn't
  /// shorten an earlier time.
  void didAskToStayAway(std::uint64_t fleetKey, Duration duration, TimePoint now);
  /// The upstream is listed and may have asked this VM to stay away.
  void didList(UpstreamIndex upstream, std::uint64_t fleetKey, TimePoint now);
  /// The upstream is no longer listed.
  void forget(UpstreamIndex upstream);
  /// Forgets times that have passed.
  void expire(TimePoint now);
  /// Who holds the shares of the limits that upstreams name.
  void setAssignment(const ShareAssignment &assignment, TimePoint now);
  /// Who holds the shares of the rates of cold upstreams.
  void setWarmupAssignment(const ShareAssignment &assignment, TimePoint now);
  /// Limits the requests to each cold upstream. A rate of 0 ends that, and what is known about
  /// warm-ups is forgotten.
  void setWarmup(double requestsPerSecond, const WarmupBounds &bounds, TimePoint now);
  /// The entry of the upstream says that it is cold for so long; zero if it is warm.
  void didReportWarmup(UpstreamIndex upstream, std::uint64_t fleetKey, Duration remaining,
                       TimePoint now);
  /// A health answer of the upstream arrived.
  void didReportWarmup(UpstreamIndex upstream, std::uint64_t fleetKey, const WarmupReport &report,
                       TimePoint now);

  /// Requests per second that the upstream accepts from the fleet; empty if it names no limit.
  std::optional<double> requestsPerSecond(UpstreamIndex upstream) const;
  /// Number of upstreams that name a limit.
  std::size_t size() const { return Limits.size(); }
  bool isEmpty() const { return Limits.empty() && StayAwayUntil.empty() && Cold.empty(); }
  /// Whether requests to cold upstreams are limited.
  bool limitsWarmup() const { return WarmupRate > 0; }
  /// Whether the upstream is cold and its rate therefore limited.
  bool isCold(UpstreamIndex upstream, TimePoint now) const;
  /// Number of such upstreams.
  std::size_t coldUpstreams(TimePoint now) const;
  /// The end of the upstream's last known warm-up. Empty if none is known, or if requests to cold
  /// upstreams aren't limited.
  std::optional<TimePoint> warmupEndsAt(UpstreamIndex upstream) const;
  /// Whether the upstream is cold, this VM holds shares of its rate, and has sent it nothing since
  /// it became cold.
  bool isColdAndUnused(UpstreamIndex upstream, TimePoint now) const;
  /// Whether a health answer has said a moment ago whether the upstream is cold. Always true where
  /// requests to cold upstreams aren't limited.
  bool isWarmupKnown(UpstreamIndex upstream, TimePoint now) const;
  /// Whether the upstream wants nothing from this VM for now.
  bool wantsNothing(UpstreamIndex upstream, TimePoint now) const;
  /// Whether the upstream names a limit, is cold or wants nothing for now.
  bool isRestricted(UpstreamIndex upstream, TimePoint now) const;
  /// Number of shares of the upstream's limit that this VM holds, the smaller one of two limits; 0
  /// without a limit.
  int heldShares(UpstreamIndex upstream, TimePoint now) const;
  /// Whether this VM probably holds shares of the upstream's limit if it has one. A VM learns of
  /// limits only from the upstreams that it works with.
  bool wouldHoldShares(std::uint64_t fleetKey) const;
  /// Whether the upstream can take a request of this VM now, as far as this VM knows for certain.
  bool hasRoom(UpstreamIndex upstream, TimePoint now) const;
  /// Takes the room for one request, apart from what the request has taken already. Always succeeds
  /// at an upstream that isn't restricted.
  bool take(UpstreamIndex upstream, TakenRoom &taken, TimePoint now);
  /// The same for a request that has taken nothing.
  bool take(UpstreamIndex upstream, TimePoint now);
  /// Whether a question for the load of the upstream is of use: it has room for a request, or it is
  /// time to find out whether the limit is still in force.
  bool mayProbe(UpstreamIndex upstream, TimePoint now) const;
  /// Whether this VM has no part of the upstream's limit, or the upstream wants nothing for now.
  /// VMs without a part of a cold upstream's rate return to it one after the other.
  bool isWithheld(UpstreamIndex upstream, TimePoint now) const;
  /// When one of the restricted upstreams has room for a request behind `callsAhead` others.
  /// `TimePoint::max()` if that never happens.
  TimePoint readyAt(std::span<const UpstreamIndex> upstreams, std::size_t callsAhead) const;

  /// Number of shares that a limit is divided into. With this number, what the VMs may save up
  /// stays well below the requests that upstreams tolerate beyond their limit.
  static int shareCount(double requestsPerSecond);
  /// The same for the rate of a cold upstream. What the VMs may save up is at most half of what the
  /// upstream tolerates beyond the rate; the other half is for VMs whose views of the fleet differ.
  static int warmupShareCount(double requestsPerSecond, const WarmupBounds &bounds);

private:
  struct Limit {
    DividedRate Rate;
    /// When to ask whether the limit is still in force if this VM has no other reason to ask.
    TimePoint RecheckAt{};
  };
  struct Warmup {
    /// Kept when the upstream is warm, so that it has no new saved requests when it becomes cold
    /// again.
    DividedRate Rate;
    TimePoint EndsAt{};
    /// Whether this VM has sent the upstream a request since it became cold.
    bool IsUsed = false;
    /// How long after the end a VM without shares uses the upstream.
    Duration ReturnDelay{};
    /// Whether health answers name the warm-up. One that doesn't then means that it is over.
    bool IsNamedInHealthAnswers = false;
    /// When the health check was sent whose answer last said whether the upstream is cold.
    std::optional<TimePoint> KnownAt{};
    /// When the entry that last said that the upstream is cold arrived.
    std::optional<TimePoint> EntryAt{};
  };
  Duration recheckInterval();
  void setWarmupEnd(UpstreamIndex upstream, Warmup &warmup, std::uint64_t fleetKey, TimePoint end,
                    TimePoint now);
  DividedRate::Terms warmupTerms(std::uint64_t fleetKey) const;
  /// The rate that limits requests to the upstream because it is cold; null if it isn't.
  const DividedRate *coldRate(UpstreamIndex upstream, TimePoint now) const;
  bool hasRoomInLimits(UpstreamIndex upstream, TimePoint now) const;

  /// When the upstream has room for a request of this VM behind `callsAhead` others.
  TimePoint readyAt(UpstreamIndex upstream, std::size_t callsAhead) const;

  std::map<UpstreamIndex, Limit> Limits;
  std::map<UpstreamIndex, TimePoint> StayAwayUntil;
  /// The same by fleet key, also of upstreams that are no longer listed: an evacuation that ends,
  /// or an entry that was away for a moment, doesn't change what the upstream wants.
  std::map<std::uint64_t, TimePoint> StayAwayUntilByKey;
  ShareAssignment Assignment;
  double WarmupRate = 0;
  int WarmupShares = 0;
  ShareAssignment WarmupAssignment;
  /// What upstreams said about their warm-up, as long as they are in the service.
  std::map<UpstreamIndex, Warmup> Warmups;
  /// Those of them that are cold, or were so a moment ago.
  std::set<UpstreamIndex> Cold;
  Random Rng;
};

} // namespace wigeonlift
