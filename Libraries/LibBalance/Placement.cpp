#include <LibBalance/ServiceBalancer.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

constexpr int ProbesPerRound = 3;
// Upper limit for the probes of a round. A round has at least `ProbesPerRound` and otherwise one
// per queued request that can still meet its objective, since a long queue needs several upstreams.
constexpr int MaxProbesPerRound = 12;
constexpr int UpstreamsPerProbe = 4;
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
// Upstreams respond to probes within a round trip. A request does not wait longer than this for
// the remaining responses of a round.
constexpr Duration MaxProbeWait = std::chrono::milliseconds{6};
// A candidate is good when its cost is at most this multiple of the work time, plus `RemoteCost`.
constexpr double GoodCostFactor = 1.3;
// Round trip to another data centre.
constexpr Duration RemoteCost = std::chrono::milliseconds{2};
// Traffic between data centres is expensive: per KiB of response, a local upstream may take this
// much longer than a remote one and is still preferred.
constexpr Duration RemoteCostPerKib = std::chrono::milliseconds{4};
// Remote upstreams are probed first only when local ones are expected to take longer by this
// fraction of the work time. The fraction halves with each round of probes for the request.
constexpr double RemoteProbePenalty = 0.6;
// Added to the cost of probing an upstream that has no open connection, because a new connection
// causes work at the upstream. A fraction of the work time, which halves with each round as well.
constexpr double NewConnectionPenalty = 0.3;
// An upstream that reported its load within this time is assumed to have an open connection.
constexpr Duration AssumedConnectionKeepAlive = std::chrono::seconds{8};
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

bool ServiceBalancer::shouldRefuse(const Request &request, TimePoint now) const {
  if (now + workTime(request) > request.Spec.Deadline)
    return true;
  // Refuses late requests without any attempt well before their deadline, so that the caller has
  // time to retry. Requests that were attempted stay until they can no longer meet the deadline.
  const Duration allowedTime = request.Spec.Deadline - request.Spec.ArrivedAt;
  const Duration waited = now - request.Spec.ArrivedAt;
  return request.TriedUpstreams.empty() && isLate(request, now) &&
         toSeconds(waited) > MinWaitFractionBeforeRefusal * toSeconds(allowedTime);
}

std::vector<CallId> ServiceBalancer::sortedQueue(TimePoint now) const {
  struct QueueSortKey {
    bool IsLate;
    int Priority;
    TimePoint ArrivedAt;
    CallId Id;
    auto operator<=>(const QueueSortKey &) const = default;
  };
  std::vector<QueueSortKey> sortKeys;
  sortKeys.reserve(Queue.size());
  for (const CallId id : Queue) {
    const Request &it = Requests.at(id);
    sortKeys.push_back({isLate(it, now), it.Spec.Priority, it.Spec.ArrivedAt, id});
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
  if (Queue.empty())
    return;
  MeanFailureScore = 0;
  for (const auto &[index, view] : Upstreams)
    MeanFailureScore += view.failureScore(now) / static_cast<double>(Upstreams.size());
  TimelyQueued = static_cast<int>(
      std::ranges::count_if(Queue, [&](CallId id) { return !isLate(Requests.at(id), now); }));
  for (const CallId id : sortedQueue(now)) {
    const auto it = Requests.find(id);
    if (it != Requests.end() && it->second.IsQueued)
      tryPlace(it->second, now, out);
  }
}

bool ServiceBalancer::tryPlace(Request &request, TimePoint now, BalanceCommands &out) {
  if (request.RunningAttempts.empty() && shouldRefuse(request, now)) {
    refuse(request,
           request.PossibleExecutions > 0 ? FailureKind::ConnectionLost : FailureKind::Overloaded,
           now, out);
    return true;
  }
  const auto best = bestCandidate(request, now);
  if (best && isGood(*best, request)) {
    startAttempt(request, *best, now, out);
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
  for (auto &[index, view] : Upstreams) {
    const bool hasRoom = view.outstandingRequests() < view.bestSlotLimit();
    if (!hasRoom || !view.isFresh(now) || !isEligible(view, request, now))
      continue;
    const Candidate it = evaluate(view, request, now);
    if (!result || it.Cost < result->Cost)
      result = it;
  }
  return result;
}

bool ServiceBalancer::isEligible(const UpstreamView &view, const Request &request,
                                 TimePoint now) const {
  const auto &tried = request.TriedUpstreams;
  return excessFailureScore(view, now) < EjectionScore &&
         std::ranges::find(tried, view.info().Index) == tried.end();
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
  Duration cost = fromSeconds(expected * (1 + failureScore));
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
  attempt.IsHedge = request.WantsHedge;
  attempt.IsExtraAttempt = !request.TriedUpstreams.empty();
  attempt.Choice = {.Upstream = attempt.Upstream,
                    .OutstandingRequests = view.outstandingRequests(),
                    .Slots = view.slots(),
                    .Slowness = attempt.Slowness,
                    .ReportAge = view.reportAge(now),
                    .Waited = now - request.Spec.ArrivedAt,
                    .Attempt = static_cast<int>(request.TriedUpstreams.size()) + 1,
                    .IsHedge = attempt.IsHedge};
  ++Counts.Attempts;
  Counts.Hedges += attempt.IsHedge ? 1 : 0;
  Counts.SentToSlow += attempt.Slowness > GoodCostFactor ? 1 : 0;
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

int ServiceBalancer::sendProbes(const Request &request, TimePoint now, BalanceCommands &out) {
  constexpr double jitterSpread = 0.6;
  struct ProbeTarget {
    double Cost;
    UpstreamView *View;
  };
  std::vector<ProbeTarget> targets;
  for (auto &[index, view] : Upstreams) {
    if (view.Probe || view.isFresh(now) || !isEligible(view, request, now))
      continue;
    // The jitter keeps VMs with the same information from all probing and then choosing the same
    // upstreams.
    const double jitter = 1 - jitterSpread / 2 + jitterSpread * Rng.unit();
    const bool isLikelyConnected =
        view.hasReport() && view.reportAge(now) < AssumedConnectionKeepAlive;
    const double penalty = ((view.info().IsInLocalDataCentre ? 0 : RemoteProbePenalty) +
                            (isLikelyConnected ? 0 : NewConnectionPenalty)) *
                           std::exp2(-request.ProbeRounds);
    targets.push_back({toSeconds(evaluate(view, request, now).Cost) * jitter +
                           penalty * toSeconds(workTime(request)),
                       &view});
  }
  std::ranges::sort(targets, {}, &ProbeTarget::Cost);
  // Limits a round to a fraction of the upstreams. In a small service, a few such rounds already
  // cover all upstreams.
  const int maxProbes = std::clamp(static_cast<int>(Upstreams.size()) / UpstreamsPerProbe,
                                   ProbesPerRound, MaxProbesPerRound);
  const int probeCount = std::clamp(TimelyQueued, ProbesPerRound, maxProbes);
  int sent = 0;
  for (const ProbeTarget &it : targets) {
    if (sent >= probeCount || !sendProbe(*it.View, now, out))
      break;
    ++sent;
  }
  return sent;
}

bool ServiceBalancer::sendProbe(UpstreamView &view, TimePoint now, BalanceCommands &out) {
  if (!ProbeRate.take(now)) {
    ++Counts.ProbesDenied;
    return false;
  }
  const ProbeId id{++LastProbeId};
  view.Probe = id;
  view.ProbedAt = now;
  Probes[id] = view.info().Index;
  ++Counts.Probes;
  out.push_back(SendProbe{.Probe = id, .Upstream = view.info().Index});
  return true;
}

bool ServiceBalancer::hasProbesInFlight() const {
  return std::ranges::any_of(Upstreams, [](const auto &it) { return it.second.Probe.has_value(); });
}

bool ServiceBalancer::isAwaitingProbes(TimePoint now) const {
  return now < ProbeRoundAt + MaxProbeWait && hasProbesInFlight();
}

TimePoint ServiceBalancer::nextProbeRound() const {
  return hasProbesInFlight() ? std::max(NextProbeRoundAt, ProbeRoundAt + MaxProbeWait)
                             : NextProbeRoundAt;
}

} // namespace wigeonlift
