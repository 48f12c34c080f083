#include <LibBalance/ServiceBalancer.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

// Rounds of probes that look for a good upstream before an acceptable one is used.
constexpr int ProbeRoundsBeforeAcceptable = 2;
// The interval between rounds of probes doubles while no attempt is started.
constexpr Duration MinProbeRoundInterval = std::chrono::milliseconds{2};
// Interval until the next round of probes when no probe could be sent.
constexpr Duration NoProbeInterval = std::chrono::milliseconds{16};
// Interval until the next round of probes after one for a request that can no longer meet its
// objective.
constexpr Duration LateProbeRoundInterval = std::chrono::milliseconds{60};
constexpr int MaxIntervalDoublings = 3;
// A candidate is good when its cost is at most this multiple of the work time, plus `RemoteCost`.
constexpr double GoodCostFactor = 1.3;
// Round trip to another data centre.
constexpr Duration RemoteCost = std::chrono::milliseconds{2};
// Traffic between data centres is expensive: per KiB of response, a local upstream may take this
// much longer than a remote one and is still preferred.
constexpr Duration RemoteCostPerKib = std::chrono::milliseconds{4};
constexpr double FailureScoreWeight = 1.0;
// An upstream whose failure score exceeds the mean by this much is ejected: it gets no requests.
constexpr double EjectionScore = 1.6;
// A sent non-idempotent request can't be retried after most failures, so the failure score of an
// upstream weighs more.
constexpr double NonIdempotentFailureScoreWeight = 3.0;
constexpr double BytesPerKib = 1024;
// A request without any attempt is refused once it can no longer meet its objective, but not before
// this fraction of the time from its arrival to its deadline has passed. An earlier refusal would
// not help, because a retry by the caller would also miss the objective.
constexpr double MinWaitFractionBeforeRefusal = 0.12;

} // namespace

Duration ServiceBalancer::workTime(const Request &request) const {
  return WorkTimes.workTime(request.Spec.Kind, request.Spec.TargetLatency);
}

bool ServiceBalancer::isLate(const Request &request, TimePoint now) const {
  return now + workTime(request) > request.Spec.Objective;
}

TimePoint ServiceBalancer::latestStart(const Request &request) const {
  const Duration expectedWork = workTime(request);
  const TimePoint lastForDeadline = request.Spec.Deadline - expectedWork;
  // Requests that were attempted stay until they can no longer meet the deadline. Late requests
  // without any attempt are refused well before it, so that the caller has time to retry.
  // A caller that returns doesn't retry again, so its request stays as long.
  if (!request.TriedUpstreams.empty() || request.Spec.IsReturning)
    return lastForDeadline;
  const Duration allowedTime = request.Spec.Deadline - request.Spec.ArrivedAt;
  const TimePoint lastIfLate =
      request.Spec.ArrivedAt + fromSeconds(MinWaitFractionBeforeRefusal * toSeconds(allowedTime));
  return std::min(lastForDeadline, std::max(request.Spec.Objective - expectedWork, lastIfLate));
}

std::optional<TimePoint> ServiceBalancer::roomIfTooLate(const Request &request,
                                                        std::size_t requestsAhead,
                                                        TimePoint now) const {
  if (Limits.isEmpty())
    return std::nullopt;
  std::vector<UpstreamIndex> restricted;
  for (const auto &[index, view] : Upstreams) {
    if (!isEligible(view, request, now))
      continue;
    if (!Limits.isRestricted(index, now))
      return std::nullopt;
    restricted.push_back(index);
  }
  if (restricted.empty())
    return std::nullopt;
  const TimePoint roomAt = Limits.readyAt(restricted, requestsAhead);
  return roomAt > latestStart(request) ? std::optional{roomAt} : std::nullopt;
}

std::vector<CallId> ServiceBalancer::sortedQueue(TimePoint now) const {
  enum class Rank : std::uint8_t { Timely, LateReturning, Late };
  struct QueueSortKey {
    Rank Order;
    int Priority;
    TimePoint ArrivedAt;
    CallId Id;
    auto operator<=>(const QueueSortKey &) const = default;
  };
  std::vector<QueueSortKey> sortKeys;
  sortKeys.reserve(Queue.size());
  for (const CallId id : Queue) {
    const Request &it = Requests.at(id);
    const Rank lateRank = it.Spec.IsReturning ? Rank::LateReturning : Rank::Late;
    sortKeys.push_back({isLate(it, now) ? lateRank : Rank::Timely,
                        Admission.queuePriority(it.Spec.Priority), it.Spec.ArrivedAt, id});
  }
  std::ranges::sort(sortKeys);
  std::vector<CallId> order;
  order.reserve(sortKeys.size());
  for (const QueueSortKey &it : sortKeys)
    order.push_back(it.Id);
  return order;
}

double ServiceBalancer::excessFailureScore(const UpstreamView &view, TimePoint now) const {
  return std::max(0.0, view.failureScore(now) - MeanFailureScore);
}

void ServiceBalancer::dispatchQueue(TimePoint now, BalanceCommands &out) {
  observeQueue(now);
  if (Queue.empty())
    return;
  if (refusesQueue())
    return refuseQueue(now, out);
  MeanFailureScore = 0;
  for (const auto &[index, view] : Upstreams)
    MeanFailureScore += view.failureScore(now) / static_cast<double>(Upstreams.size());
  TimelyQueued = static_cast<int>(
      std::ranges::count_if(Queue, [&](CallId id) { return !isLate(Requests.at(id), now); }));
  std::size_t requestsAhead = 0;
  for (const CallId id : sortedQueue(now)) {
    const auto it = Requests.find(id);
    if (it != Requests.end() && it->second.IsQueued)
      requestsAhead += tryPlace(it->second, requestsAhead, now, out) ? 0 : 1;
  }
}

void ServiceBalancer::refuseQueue(TimePoint now, BalanceCommands &out) {
  for (const CallId id : std::set<CallId>{Queue}) {
    Request &request = Requests.at(id);
    const bool mayHaveRun = request.PossibleExecutions > 0;
    refuseUnlessRunning(request, mayHaveRun ? FailureKind::ConnectionLost : FailureKind::NoUpstream,
                        now, out);
  }
}

bool ServiceBalancer::tryPlace(Request &request, std::size_t requestsAhead, TimePoint now,
                               BalanceCommands &out) {
  if (request.RunningAttempts.empty() && now > latestStart(request)) {
    refuse(request,
           request.PossibleExecutions > 0 ? FailureKind::ConnectionLost : FailureKind::Overloaded,
           now, out);
    return true;
  }
  if (request.RunningAttempts.empty())
    if (const auto roomAt = roomIfTooLate(request, requestsAhead, now)) {
      recheckLimits(now, out);
      refuseForLimits(request, *roomAt, now, out);
      return true;
    }
  const auto best = bestCandidate(request, now);
  if (best && isGood(*best, request)) {
    startAttempt(request, *best, now, out);
    return true;
  }
  if (isBeyondForecast(request, requestsAhead, now)) {
    ++Counts.RefusedByForecast;
    refuse(request, FailureKind::Overloaded, now, out);
    return true;
  }
  if (givesWay(request, now)) {
    ++Counts.RefusedByAdmission;
    // Not counted as a lack of room, so that it doesn't limit even less urgent requests.
    Admission.didDecide(request.Spec.Priority, false, now);
    const Duration wait = retryAfter(request, FailureKind::Overloaded, now);
    refuse(request, FailureKind::Overloaded, wait, out);
    return true;
  }
  if (isAwaitingProbes(now))
    return false;
  const bool hasAcceptable = best && isAcceptable(*best, request, now);
  if (hasAcceptable && request.ProbeRounds >= ProbeRoundsBeforeAcceptable) {
    startAttempt(request, *best, now, out);
    return true;
  }
  if (now < NextProbeRoundAt)
    return false;
  if (sendProbes(request, now, out) > 0) {
    ++request.ProbeRounds;
    const int doublings = std::min(UnsuccessfulProbeRounds++, MaxIntervalDoublings);
    ProbeRoundAt = now;
    NextProbeRoundAt = now + MinProbeRoundInterval * (1 << doublings);
    // A round for a late request delays the next round for any request. Otherwise late requests
    // would use up the rate limit of probes, which requests that can still be on time need.
    if (isLate(request, now))
      NextProbeRoundAt = now + LateProbeRoundInterval;
    return false;
  }
  NextProbeRoundAt = now + NoProbeInterval;
  if (!hasAcceptable)
    return false;
  startAttempt(request, *best, now, out);
  return true;
}

std::optional<ServiceBalancer::Candidate> ServiceBalancer::bestCandidate(const Request &request,
                                                                         TimePoint now) {
  std::optional<Candidate> result;
  const bool givesTimelyPrecedence = leavesRoomToTimely(request, now);
  for (auto &[index, view] : Upstreams) {
    const int leftFree = givesTimelyPrecedence ? 1
                                               : Admission.slotsToLeaveFree(request.Spec.Priority,
                                                                            view.info().FleetKey);
    const int limit = std::max(1, view.bestSlotLimit() - leftFree);
    const bool hasRoom = view.outstandingRequests() < limit;
    if (!hasRoom || !view.isFresh(now) || !isEligible(view, request, now) ||
        !Limits.hasRoom(index, now))
      continue;
    const Candidate it = evaluate(view, request, now);
    if (!result || it.Cost < result->Cost)
      result = it;
  }
  return result;
}

bool ServiceBalancer::mustAwaitBody(UpstreamIndex upstream, const Request &request) const {
  return request.Spec.BodyBytes > RequestSpec::MaxSmallBodyBytes &&
         ReadingBodies.contains(upstream);
}

bool ServiceBalancer::isEligible(const UpstreamView &view, const Request &request,
                                 TimePoint now) const {
  const auto &tried = request.TriedUpstreams;
  return excessFailureScore(view, now) < EjectionScore &&
         std::ranges::find(tried, view.info().Index) == tried.end() &&
         !mustAwaitBody(view.info().Index, request);
}

ServiceBalancer::Candidate ServiceBalancer::evaluate(UpstreamView &view, const Request &request,
                                                     TimePoint now) const {
  const double slowness = view.slowness(now, TypicalSlowness);
  const int outstandingRequests = view.outstandingRequests();
  double expected = toSeconds(workTime(request)) * slowness;
  if (outstandingRequests >= view.softSlotLimit())
    expected *= UpstreamView::OverSoftLimitFactor;
  if (outstandingRequests >= view.slots())
    expected *= 1.0 + (outstandingRequests - view.slots() + 1.0) / view.slots();
  const bool isNonIdempotent = request.Spec.Class == CallClass::NonIdempotent;
  const double failureScore =
      excessFailureScore(view, now) *
      (isNonIdempotent ? NonIdempotentFailureScoreWeight : FailureScoreWeight);
  // Otherwise a cold upstream would be used only when all others are busy, and wouldn't be known
  // when its warm-up ends.
  const bool isIntroduction = Limits.isColdAndUnused(view.info().Index, now) &&
                              now + fromSeconds(expected) <= request.Spec.Objective;
  const double costFactor = isIntroduction ? 1 / UpstreamView::WarmupSlowness : 1;
  Duration cost = fromSeconds(costFactor * expected * (1 + failureScore));
  if (!view.info().IsInLocalDataCentre)
    cost += RemoteCost + fromSeconds(toSeconds(RemoteCostPerKib) *
                                     WorkTimes.responseBytes(request.Spec.Kind) / BytesPerKib);
  return {.View = &view, .ExpectedTime = fromSeconds(expected), .Cost = cost};
}

bool ServiceBalancer::isGood(const Candidate &candidate, const Request &request) const {
  return toSeconds(candidate.Cost) <=
         GoodCostFactor * toSeconds(workTime(request)) + toSeconds(RemoteCost);
}

bool ServiceBalancer::isAcceptable(const Candidate &candidate, const Request &request,
                                   TimePoint now) const {
  if (request.WantsHedge)
    return false;
  if (now + candidate.ExpectedTime <= request.Spec.Objective)
    return true;
  // A late request on a slow upstream blocks slots in which several other requests could finish on
  // time. It is placed there only when the whole service is equally slow.
  const bool isTypical = toSeconds(candidate.ExpectedTime) <=
                         GoodCostFactor * TypicalSlowness * toSeconds(workTime(request));
  return isTypical && isLate(request, now) && now + candidate.ExpectedTime <= request.Spec.Deadline;
}

void ServiceBalancer::startAttempt(Request &request, const Candidate &candidate, TimePoint now,
                                   BalanceCommands &out) {
  const AttemptId id{++LastAttemptId};
  UpstreamView &view = *candidate.View;
  Attempt &attempt = Attempts[id];
  attempt.Call = request.Spec.Id;
  attempt.Upstream = view.info().Index;
  attempt.StartedAt = now;
  attempt.Slowness = view.slowness(now, TypicalSlowness);
  attempt.MeasuredAt = now;
  attempt.MeasuredSlowness = attempt.Slowness;
  attempt.IsHedge = request.WantsHedge;
  attempt.IsExtraAttempt = !request.TriedUpstreams.empty();
  const auto rateLimit = Limits.requestsPerSecond(attempt.Upstream);
  Limits.take(attempt.Upstream, attempt.Room, now);
  attempt.Choice = {.Upstream = attempt.Upstream,
                    .OutstandingRequests = view.outstandingRequests(),
                    .Slots = view.slots(),
                    .Slowness = attempt.Slowness,
                    .ReportAge = view.reportAge(now),
                    .Waited = now - request.Spec.ArrivedAt,
                    .Attempt = static_cast<int>(request.TriedUpstreams.size()) + 1,
                    .IsHedge = attempt.IsHedge,
                    .RateLimit = rateLimit};
  ++Counts.Attempts;
  Counts.Hedges += attempt.IsHedge ? 1 : 0;
  Counts.SentToSlow += attempt.Slowness > GoodCostFactor ? 1 : 0;
  Counts.SentToLimited += attempt.Choice.RateLimit ? 1 : 0;
  Counts.SentToOtherDataCentre += view.info().IsInLocalDataCentre ? 0 : 1;
  view.didSend(id, now);
  request.TriedUpstreams.push_back(attempt.Upstream);
  request.RunningAttempts.push_back(id);
  request.IsQueued = false;
  request.WantsHedge = false;
  Queue.erase(request.Spec.Id);
  UnsuccessfulProbeRounds = 0;
  scheduleHedge(request, candidate, now);
  out.push_back(SendRequest{.Attempt = id, .Call = request.Spec.Id, .Upstream = attempt.Upstream});
}

} // namespace wigeonlift
