#include <LibBalance/UpstreamLimits.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <vector>

namespace wigeonlift {

namespace {

// A few VMs may use even the smallest limit, so that callers of several VMs have a way to it.
constexpr int MinShares = 2;
// More shares would only cost time to determine their holders.
constexpr int MaxShares = 96;
// Most limits have so many shares or more.
constexpr int SharesOfUnknownLimit = 4;
// Limits above this are not reached, and their products might overflow.
constexpr double MaxRequestsPerSecond = 1e6;
// VMs without a share of a limit together ask about so often whether it is still in force.
constexpr double RechecksPerSecond = 2;
constexpr Duration MinRecheckInterval = std::chrono::seconds{5};
constexpr Duration MaxRecheckInterval = std::chrono::seconds{30};
// Keeps VMs from asking at the same time.
constexpr double RecheckJitter = 0.5;
// Part of the time that an upstream asks for by which VMs return later.
constexpr double ReturnJitter = 0.1;

} // namespace

int UpstreamLimits::shareCount(double requestsPerSecond) {
  if (requestsPerSecond <= 0)
    return 0;
  return MinShares + static_cast<int>(std::min<double>(MaxShares - MinShares, requestsPerSecond));
}

bool UpstreamLimits::didReport(UpstreamIndex upstream, std::uint64_t fleetKey,
                               const RateLimitReport &report, TimePoint now) {
  using Content = RateLimitReport::Content;
  if (report.Kind == Content::Unusable)
    return false;
  if (report.Kind == Content::Unlimited)
    return Limits.erase(upstream) > 0;
  const double rate = std::min(report.RequestsPerSecond, MaxRequestsPerSecond);
  const auto [it, isNew] = Limits.try_emplace(upstream);
  Limit &limit = it->second;
  limit.RecheckAt = now + recheckInterval();
  if (!isNew && limit.RequestsPerSecond == rate)
    return false;
  limit.FleetKey = fleetKey;
  limit.RequestsPerSecond = rate;
  updateShares(limit, now);
  return true;
}

void UpstreamLimits::setAssignment(const ShareAssignment &assignment, TimePoint now) {
  Assignment = assignment;
  for (auto &[upstream, limit] : Limits)
    updateShares(limit, now);
}

void UpstreamLimits::updateShares(Limit &limit, TimePoint now) const {
  const int shares = shareCount(limit.RequestsPerSecond);
  limit.HeldShares = Assignment.heldShares(limit.FleetKey, shares);
  limit.Room.setRate(shares > 0 ? limit.RequestsPerSecond * limit.HeldShares / shares : 0, now);
}

Duration UpstreamLimits::recheckInterval() {
  const double seconds = 1 / (RechecksPerSecond * Assignment.ownFraction());
  const double bounded =
      std::clamp(seconds, toSeconds(MinRecheckInterval), toSeconds(MaxRecheckInterval));
  return fromSeconds(bounded * (1 + RecheckJitter * (Rng.unit() - 0.5)));
}

std::optional<double> UpstreamLimits::requestsPerSecond(UpstreamIndex upstream) const {
  const auto it = Limits.find(upstream);
  return it == Limits.end() ? std::nullopt : std::optional{it->second.RequestsPerSecond};
}

int UpstreamLimits::heldShares(UpstreamIndex upstream) const {
  const auto it = Limits.find(upstream);
  return it == Limits.end() ? 0 : it->second.HeldShares;
}

bool UpstreamLimits::wouldHoldShares(std::uint64_t fleetKey) const {
  return Assignment.heldShares(fleetKey, SharesOfUnknownLimit) > 0;
}

void UpstreamLimits::didAskToStayAway(UpstreamIndex upstream, Duration duration, TimePoint now) {
  // VMs that were rejected together must not return together.
  const Duration span = fromSeconds(toSeconds(duration) * (1 + ReturnJitter * Rng.unit()));
  TimePoint &until = StayAwayUntil[upstream];
  until = std::max(until, now + span);
}

void UpstreamLimits::forget(UpstreamIndex upstream) {
  Limits.erase(upstream);
  StayAwayUntil.erase(upstream);
}

void UpstreamLimits::expire(TimePoint now) {
  std::erase_if(StayAwayUntil, [&](const auto &it) { return now >= it.second; });
}

bool UpstreamLimits::wantsNothing(UpstreamIndex upstream, TimePoint now) const {
  const auto it = StayAwayUntil.find(upstream);
  return it != StayAwayUntil.end() && now < it->second;
}

bool UpstreamLimits::isRestricted(UpstreamIndex upstream, TimePoint now) const {
  return Limits.contains(upstream) || wantsNothing(upstream, now);
}

bool UpstreamLimits::hasRoom(UpstreamIndex upstream, TimePoint now) const {
  return readyAt(upstream, 0) <= now;
}

bool UpstreamLimits::take(UpstreamIndex upstream, TimePoint now) {
  if (wantsNothing(upstream, now))
    return false;
  const auto it = Limits.find(upstream);
  return it == Limits.end() || it->second.Room.take(now);
}

bool UpstreamLimits::mayProbe(UpstreamIndex upstream, TimePoint now) const {
  if (wantsNothing(upstream, now))
    return false;
  const auto it = Limits.find(upstream);
  return it == Limits.end() || now >= it->second.RecheckAt || it->second.Room.readyAt(0) <= now;
}

bool UpstreamLimits::isWithheld(UpstreamIndex upstream, TimePoint now) const {
  if (wantsNothing(upstream, now))
    return true;
  const auto it = Limits.find(upstream);
  return it != Limits.end() && it->second.HeldShares == 0 && now < it->second.RecheckAt;
}

TimePoint UpstreamLimits::readyAt(UpstreamIndex upstream, std::size_t callsAhead) const {
  const auto stayAway = StayAwayUntil.find(upstream);
  const TimePoint returnsAt = stayAway == StayAwayUntil.end() ? TimePoint::min() : stayAway->second;
  const auto limit = Limits.find(upstream);
  return limit == Limits.end() ? returnsAt
                               : std::max(returnsAt, limit->second.Room.readyAt(callsAhead));
}

TimePoint UpstreamLimits::readyAt(std::span<const UpstreamIndex> upstreams,
                                  std::size_t callsAhead) const {
  struct NextRoom {
    TimePoint At;
    UpstreamIndex Upstream;
    std::size_t CallsAhead;
    bool operator>(const NextRoom &other) const { return At > other.At; }
  };
  std::priority_queue<NextRoom, std::vector<NextRoom>, std::greater<>> next;
  for (const UpstreamIndex it : upstreams)
    next.push({readyAt(it, 0), it, 0});
  for (std::size_t n = 0; n < callsAhead && !next.empty(); ++n) {
    const NextRoom used = next.top();
    if (used.At == TimePoint::max())
      break;
    next.pop();
    next.push({readyAt(used.Upstream, used.CallsAhead + 1), used.Upstream, used.CallsAhead + 1});
  }
  return next.empty() ? TimePoint::max() : next.top().At;
}

} // namespace wigeonlift
