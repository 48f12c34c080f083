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
// The unused requests that all VMs may save up for a cold upstream, as a fraction of what it
// tolerates beyond its rate.
constexpr double WarmupSavedFraction = 0.5;
// An upstream may become cold at any moment, and its entry says so seconds later. In this time it
// gets few requests, and a VM seldom needs a health check for a request only because of this limit.
constexpr Duration MaxHealthAnswerAge = std::chrono::milliseconds{500};
// VMs without shares of a cold upstream's rate use it again within this time after its warm-up, so
// that their new connections don't come at once.
constexpr Duration MaxReturnDelay = std::chrono::seconds{1};

} // namespace

int UpstreamLimits::shareCount(double requestsPerSecond) {
  if (requestsPerSecond <= 0)
    return 0;
  return MinShares + static_cast<int>(std::min<double>(MaxShares - MinShares, requestsPerSecond));
}

int UpstreamLimits::warmupShareCount(double requestsPerSecond, const WarmupBounds &bounds) {
  const double tolerated = requestsPerSecond * (bounds.Overage - 1) + bounds.Tolerance;
  // With no share at all, no VM could send anything.
  return static_cast<int>(std::clamp<double>(WarmupSavedFraction * tolerated, 1, MaxShares));
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
  if (!isNew && limit.Rate.requestsPerSecond() == rate)
    return false;
  limit.Rate.setTerms({.FleetKey = fleetKey, .RequestsPerSecond = rate, .Shares = shareCount(rate)},
                      Assignment, now);
  return true;
}

void UpstreamLimits::setAssignment(const ShareAssignment &assignment, TimePoint now) {
  Assignment = assignment;
  for (auto &[upstream, limit] : Limits)
    limit.Rate.setAssignment(assignment, now);
}

void UpstreamLimits::setWarmupAssignment(const ShareAssignment &assignment, TimePoint now) {
  WarmupAssignment = assignment;
  for (const UpstreamIndex it : Cold)
    Warmups.at(it).Rate.setAssignment(assignment, now);
}

void UpstreamLimits::setWarmup(double requestsPerSecond, const WarmupBounds &bounds,
                               TimePoint now) {
  WarmupRate = std::clamp(requestsPerSecond, 0.0, MaxRequestsPerSecond);
  WarmupShares = warmupShareCount(WarmupRate, bounds);
  if (!limitsWarmup()) {
    Warmups.clear();
    Cold.clear();
  }
  for (const UpstreamIndex it : Cold) {
    DividedRate &rate = Warmups.at(it).Rate;
    rate.setTerms(warmupTerms(rate.fleetKey()), WarmupAssignment, now);
  }
}

DividedRate::Terms UpstreamLimits::warmupTerms(std::uint64_t fleetKey) const {
  return {.FleetKey = fleetKey,
          .RequestsPerSecond = WarmupRate,
          .Shares = WarmupShares,
          .SavedRequestsPerShare = 1};
}

void UpstreamLimits::didReportWarmup(UpstreamIndex upstream, std::uint64_t fleetKey,
                                     Duration remaining, TimePoint now) {
  if (!limitsWarmup())
    return;
  Warmup &warmup = Warmups[upstream];
  warmup.KnownAt.reset();
  if (remaining > Duration::zero())
    warmup.EntryAt = now;
  setWarmupEnd(upstream, warmup, fleetKey, now + remaining, now);
}

void UpstreamLimits::didReportWarmup(UpstreamIndex upstream, std::uint64_t fleetKey,
                                     const WarmupReport &report, TimePoint now) {
  using Content = WarmupReport::Content;
  if (!limitsWarmup())
    return;
  Warmup &warmup = Warmups[upstream];
  const bool isNamed = report.Kind == Content::Named;
  warmup.IsNamedInHealthAnswers |= isNamed;
  const Duration remaining = isNamed ? report.Remaining : Duration::zero();
  const bool isRecent = now - report.AskedAt <= MaxHealthAnswerAge;
  // The upstream may have become cold since it wrote an answer that was on its way for long, or
  // that answers a check from before its entry arrived.
  const bool isOutdated = !isRecent || (warmup.EntryAt && report.AskedAt < *warmup.EntryAt);
  if (isOutdated && remaining == Duration::zero())
    return;
  if (isRecent)
    warmup.KnownAt = report.AskedAt;
  if (isNamed || (report.Kind == Content::Unnamed && warmup.IsNamedInHealthAnswers))
    setWarmupEnd(upstream, warmup, fleetKey, now + remaining, now);
}

void UpstreamLimits::setWarmupEnd(UpstreamIndex upstream, Warmup &warmup, std::uint64_t fleetKey,
                                  TimePoint end, TimePoint now) {
  const bool wasCold = now < warmup.EndsAt;
  if (end <= now) {
    warmup.EndsAt = std::min(warmup.EndsAt, now);
    return;
  }
  warmup.EndsAt = end;
  if (wasCold)
    return;
  warmup.IsUsed = false;
  warmup.ReturnDelay = fromSeconds(toSeconds(MaxReturnDelay) * Rng.unit());
  warmup.Rate.setTerms(warmupTerms(fleetKey), WarmupAssignment, now);
  Cold.insert(upstream);
}

Duration UpstreamLimits::recheckInterval() {
  const double perSecond = RechecksPerSecond * Assignment.ownFraction();
  const double bounded =
      std::clamp(perSecond, 1 / toSeconds(MaxRecheckInterval), 1 / toSeconds(MinRecheckInterval));
  return fromSeconds(1 / bounded * (1 + RecheckJitter * (Rng.unit() - 0.5)));
}

std::optional<double> UpstreamLimits::requestsPerSecond(UpstreamIndex upstream) const {
  const auto it = Limits.find(upstream);
  return it == Limits.end() ? std::nullopt : std::optional{it->second.Rate.requestsPerSecond()};
}

const DividedRate *UpstreamLimits::coldRate(UpstreamIndex upstream, TimePoint now) const {
  const auto it = Warmups.find(upstream);
  return it != Warmups.end() && now < it->second.EndsAt ? &it->second.Rate : nullptr;
}

bool UpstreamLimits::isCold(UpstreamIndex upstream, TimePoint now) const {
  return coldRate(upstream, now) != nullptr;
}

std::size_t UpstreamLimits::coldUpstreams(TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Cold, [&](UpstreamIndex it) { return isCold(it, now); }));
}

std::optional<TimePoint> UpstreamLimits::warmupEndsAt(UpstreamIndex upstream) const {
  const auto it = Warmups.find(upstream);
  return it == Warmups.end() ? std::nullopt : std::optional{it->second.EndsAt};
}

bool UpstreamLimits::isColdAndUnused(UpstreamIndex upstream, TimePoint now) const {
  const DividedRate *cold = coldRate(upstream, now);
  return cold && cold->heldShares() > 0 && !Warmups.at(upstream).IsUsed;
}

bool UpstreamLimits::isWarmupKnown(UpstreamIndex upstream, TimePoint now) const {
  if (!limitsWarmup())
    return true;
  const auto it = Warmups.find(upstream);
  return it != Warmups.end() && it->second.KnownAt &&
         now - *it->second.KnownAt <= MaxHealthAnswerAge;
}

int UpstreamLimits::heldShares(UpstreamIndex upstream, TimePoint now) const {
  const auto limit = Limits.find(upstream);
  const DividedRate *cold = coldRate(upstream, now);
  if (limit == Limits.end())
    return cold ? cold->heldShares() : 0;
  const int held = limit->second.Rate.heldShares();
  return cold ? std::min(held, cold->heldShares()) : held;
}

bool UpstreamLimits::wouldHoldShares(std::uint64_t fleetKey) const {
  return Assignment.heldShares(fleetKey, SharesOfUnknownLimit) > 0;
}

void UpstreamLimits::didAskToStayAway(std::uint64_t fleetKey, Duration duration, TimePoint now) {
  // VMs that were rejected together must not return together.
  const Duration span = fromSeconds(toSeconds(duration) * (1 + ReturnJitter * Rng.unit()));
  TimePoint &until = StayAwayUntilByKey[fleetKey];
  until = std::max(until, now + span);
}

void UpstreamLimits::didList(UpstreamIndex upstream, std::uint64_t fleetKey, TimePoint now) {
  const auto it = StayAwayUntilByKey.find(fleetKey);
  if (it != StayAwayUntilByKey.end() && now < it->second)
    StayAwayUntil[upstream] = it->second;
}

void UpstreamLimits::forget(UpstreamIndex upstream) {
  Limits.erase(upstream);
  StayAwayUntil.erase(upstream);
  Warmups.erase(upstream);
  Cold.erase(upstream);
}

void UpstreamLimits::expire(TimePoint now) {
  const auto isOver = [&](const auto &it) { return now >= it.second; };
  std::erase_if(StayAwayUntil, isOver);
  std::erase_if(StayAwayUntilByKey, isOver);
  std::erase_if(Cold, [&](UpstreamIndex it) {
    const Warmup &warmup = Warmups.at(it);
    return now >= warmup.EndsAt + warmup.ReturnDelay;
  });
}

bool UpstreamLimits::wantsNothing(UpstreamIndex upstream, TimePoint now) const {
  const auto it = StayAwayUntil.find(upstream);
  return it != StayAwayUntil.end() && now < it->second;
}

bool UpstreamLimits::isRestricted(UpstreamIndex upstream, TimePoint now) const {
  return Limits.contains(upstream) || isCold(upstream, now) || wantsNothing(upstream, now);
}

bool UpstreamLimits::hasRoomInLimits(UpstreamIndex upstream, TimePoint now) const {
  const auto limit = Limits.find(upstream);
  const DividedRate *cold = coldRate(upstream, now);
  return (limit == Limits.end() || limit->second.Rate.hasRoom(now)) &&
         (!cold || cold->hasRoom(now));
}

bool UpstreamLimits::hasRoom(UpstreamIndex upstream, TimePoint now) const {
  return !wantsNothing(upstream, now) && hasRoomInLimits(upstream, now) &&
         isWarmupKnown(upstream, now);
}

bool UpstreamLimits::take(UpstreamIndex upstream, TakenRoom &taken, TimePoint now) {
  if (wantsNothing(upstream, now))
    return false;
  const auto limit = Limits.find(upstream);
  const bool needsLimit = !taken.OfLimit && limit != Limits.end();
  const bool needsWarmup = !taken.OfWarmup && isCold(upstream, now);
  if (needsWarmup && !Warmups.at(upstream).Rate.hasRoom(now))
    return false;
  if (needsLimit && !limit->second.Rate.take(now))
    return false;
  if (needsWarmup && !Warmups.at(upstream).Rate.take(now))
    return false;
  if (needsWarmup)
    Warmups.at(upstream).IsUsed = true;
  taken.OfLimit |= needsLimit;
  taken.OfWarmup |= needsWarmup;
  return true;
}

bool UpstreamLimits::take(UpstreamIndex upstream, TimePoint now) {
  TakenRoom taken;
  return take(upstream, taken, now);
}

bool UpstreamLimits::mayProbe(UpstreamIndex upstream, TimePoint now) const {
  if (wantsNothing(upstream, now))
    return false;
  if (const DividedRate *cold = coldRate(upstream, now); cold && !cold->hasRoom(now))
    return false;
  const auto it = Limits.find(upstream);
  return it == Limits.end() || now >= it->second.RecheckAt || it->second.Rate.hasRoom(now);
}

bool UpstreamLimits::isWithheld(UpstreamIndex upstream, TimePoint now) const {
  if (wantsNothing(upstream, now))
    return true;
  if (Cold.contains(upstream)) {
    const Warmup &warmup = Warmups.at(upstream);
    if (warmup.Rate.heldShares() == 0 && now < warmup.EndsAt + warmup.ReturnDelay)
      return true;
  }
  const auto it = Limits.find(upstream);
  return it != Limits.end() && it->second.Rate.heldShares() == 0 && now < it->second.RecheckAt;
}

TimePoint UpstreamLimits::readyAt(UpstreamIndex upstream, std::size_t callsAhead) const {
  TimePoint result = TimePoint::min();
  if (const auto it = StayAwayUntil.find(upstream); it != StayAwayUntil.end())
    result = it->second;
  if (const auto it = Limits.find(upstream); it != Limits.end())
    result = std::max(result, it->second.Rate.readyAt(callsAhead));
  // At the end of the warm-up, the rate is no longer limited.
  if (Cold.contains(upstream)) {
    const Warmup &warmup = Warmups.at(upstream);
    result = std::max(result, std::min(warmup.Rate.readyAt(callsAhead), warmup.EndsAt));
  }
  return result;
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
