#include <LibBalance/ServiceBalancer.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Amounts that failures add to the failure score of an upstream.
constexpr double InvalidResponsePenalty = 1.0;
constexpr double LostResponsePenalty = 1.0;
constexpr double UpstreamFailurePenalty = 0.7;
// An upstream that has no free slot is busy, not faulty.
constexpr double NotRunPenalty = 0.4;
constexpr double ConnectionFailurePenalty = 1.5;
constexpr double TimeoutPenalty = 1.0;
// A hedge responded before the attempt did. Less than for a lost response, as the attempt may only
// be slow, but enough to keep the excess score above 0.3, that of a good choice, for some seconds.
constexpr double OvertakenPenalty = 0.8;
// An overtaken attempt counts as a failure after this multiple of the expected time.
constexpr double OvertakenFactor = 2.0;

// A hedge is considered when the time left until the objective is this multiple of the work time.
// A hedge that starts later than that would probably miss the objective.
constexpr double HedgeLateFactor = 1.15;
// A hedge is considered when the rest of the attempt is expected to take this multiple of the work
// of a new attempt. A new attempt at a good upstream takes up to 1.3 times the work time; a hedge
// that starts at twice the work would often miss the objective.
constexpr double HedgeResidualFactor = 1.25;
// An attempt whose work has taken this multiple of the expected time is overdue: a lognormal spread
// of 0.3 leaves 3% of the attempts, so most overdue ones are of a tail and take far longer. Used
// until the distribution is known, as a small VM may see few requests of a kind.
constexpr double OverdueFactor = 1.7;
// An attempt without a response after this multiple of the expected time may have been lost.
constexpr double HedgeSilentFactor = 3.0;
constexpr Duration MinTimeToLatenessCheck = std::chrono::milliseconds{20};
constexpr Duration HedgeCheckInterval = std::chrono::milliseconds{25};
// Lower bound for the remaining work of an attempt without a response, as a fraction of the work
// time.
constexpr double MinRemainingWork = 0.15;

// A token of a cold upstream's rate is valid for so long. In the meantime its place is free for the
// next request, so requests that wait longer for a connection could arrive with later ones.
constexpr Duration MaxTokenAge = std::chrono::milliseconds{500};
constexpr Duration ShedRetryAfter = std::chrono::milliseconds{10};
// The queue hardly changes in a shorter time, so an earlier retry would probably be refused again.
constexpr Duration MinRetryAfter = std::chrono::milliseconds{100};
constexpr Duration MaxRetryAfter = std::chrono::milliseconds{2000};
constexpr double RetryAfterShareOfTimeLeft = 0.3;

/// Updates what is known of an upstream by one of its responses.
void noteResponse(UpstreamView &upstream, const ResponseInfo &response, TimePoint now) {
  if (response.Load)
    upstream.didReport(*response.Load, now, now);
  switch (response.Kind) {
  case ResponseKind::Success:
    return upstream.didSucceed(now);
  case ResponseKind::UpstreamFailure:
  case ResponseKind::MisleadingFailure:
    return upstream.didFail(UpstreamFailurePenalty, now);
  case ResponseKind::NotRun:
    return upstream.didFail(NotRunPenalty, now);
  case ResponseKind::Invalid:
    return upstream.didFail(InvalidResponsePenalty, now);
  }
}

} // namespace

bool ServiceBalancer::takeRoom(Attempt &attempt, TimePoint now) {
  if (now - attempt.StartedAt > MaxTokenAge) {
    attempt.Room.OfWarmup = false;
    if (!Limits.isWarmupKnown(attempt.Upstream, now))
      return false;
  }
  return Limits.take(attempt.Upstream, attempt.Room, now);
}

bool ServiceBalancer::maySend(AttemptId id, TimePoint now, BalanceCommands &out) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end())
    return false;
  Request &request = Requests.at(it->second.Call);
  if (now >= request.Spec.Deadline) {
    expireRequest(request, now, out);
    return false;
  }
  // An upstream that was removed, or has said that it wants no more requests, after it was chosen
  // gets none.
  const UpstreamIndex upstream = it->second.Upstream;
  const bool isUnavailable =
      !findUpstream(upstream) || mustAwaitBody(upstream, request) || !takeRoom(it->second, now);
  if (isUnavailable || (it->second.IsExtraAttempt && !RetryLimiter.take(now))) {
    withdrawAttempt(id, isUnavailable, now, out);
    dispatchQueue(now, out);
    return false;
  }
  if (request.Spec.BodyBytes > RequestSpec::MaxSmallBodyBytes)
    ReadingBodies.insert(upstream);
  // Attempts that are withdrawn before they are sent don't count as started.
  if (!it->second.IsExtraAttempt) {
    Forecast.didStart(now);
    Admission.didDecide(request.Spec.Priority, true, now);
  }
  it->second.IsSent = true;
  Counts.SentToCold += Limits.isCold(upstream, now) ? 1 : 0;
  ++request.PossibleExecutions;
  return true;
}

ResponseAction ServiceBalancer::responseReceived(AttemptId id, const ResponseInfo &response,
                                                 TimePoint now, BalanceCommands &out) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end())
    return ResponseAction::Drop;
  Attempt attempt = it->second;
  Request &request = Requests.at(attempt.Call);
  removeAttempt(id);
  if (UpstreamView *upstream = findUpstream(attempt.Upstream))
    noteResponse(*upstream, response, now);
  if (response.Kind == ResponseKind::Success) {
    WorkTimes.addSample(request.Spec.Kind, now - attempt.StartedAt, attempt.Slowness,
                        response.Bytes);
    const UpstreamView *upstream = response.Load ? findUpstream(attempt.Upstream) : nullptr;
    measureWork(attempt,
                upstream ? upstream->slowness(now, TypicalSlowness) : attempt.MeasuredSlowness,
                now);
    WorkTimes.addFinished(request.Spec.Kind, attempt.Work, attempt.Slowness);
    Counts.HedgeWins += attempt.IsHedge ? 1 : 0;
    addAbortedWork(request, now);
    if (attempt.IsHedge)
      noteOvertaken(request, now);
    finishRequest(request, out);
    dispatchQueue(now, out);
    return ResponseAction::Relay;
  }
  const bool isNonIdempotent = request.Spec.Class == CallClass::NonIdempotent;
  if (response.Kind == ResponseKind::NotRun) {
    --request.PossibleExecutions;
    if (request.RunningAttempts.empty() && mayAttemptAgain(request, now))
      requeue(request);
    else
      refuseUnlessRunning(request, FailureKind::UpstreamRefused, now, out);
    dispatchQueue(now, out);
    return ResponseAction::Drop;
  }
  if (!isNonIdempotent && request.RunningAttempts.empty() && mayAttemptAgain(request, now)) {
    requeue(request);
    dispatchQueue(now, out);
    return ResponseAction::Drop;
  }
  if (response.Kind == ResponseKind::UpstreamFailure && request.RunningAttempts.empty()) {
    finishRequest(request, out);
    dispatchQueue(now, out);
    return ResponseAction::Relay;
  }
  refuseUnlessRunning(request,
                      response.Kind == ResponseKind::Invalid ? FailureKind::ConnectionLost
                                                             : FailureKind::UpstreamError,
                      now, out);
  dispatchQueue(now, out);
  return ResponseAction::Drop;
}

void ServiceBalancer::attemptFailed(AttemptId id, AttemptStage stage, TimePoint now,
                                    BalanceCommands &out) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end())
    return;
  const Attempt attempt = it->second;
  Request &request = Requests.at(attempt.Call);
  if (UpstreamView *upstream = findUpstream(attempt.Upstream)) {
    upstream->didFail(
        stage == AttemptStage::Unsent ? ConnectionFailurePenalty : LostResponsePenalty, now);
    upstream->clearReport();
  }
  removeAttempt(id);
  const bool wasSent = stage == AttemptStage::Sent;
  const bool isNonIdempotent = request.Spec.Class == CallClass::NonIdempotent;
  if (!wasSent && attempt.IsSent && attempt.IsExtraAttempt)
    RetryLimiter.refund(now);
  if (!wasSent && attempt.IsSent)
    --request.PossibleExecutions;
  if ((!wasSent || !isNonIdempotent) && request.RunningAttempts.empty() &&
      mayAttemptAgain(request, now))
    requeue(request);
  else
    refuseUnlessRunning(request,
                        wasSent ? FailureKind::ConnectionLost : FailureKind::UpstreamUnreachable,
                        now, out);
  dispatchQueue(now, out);
}

void ServiceBalancer::bodyTaken(UpstreamIndex upstream, TimePoint now, BalanceCommands &out) {
  ReadingBodies.erase(upstream);
  dispatchQueue(now, out);
}

void ServiceBalancer::removeAttempt(AttemptId id) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end())
    return;
  if (UpstreamView *upstream = findUpstream(it->second.Upstream))
    upstream->didEndAttempt(id);
  if (const auto request = Requests.find(it->second.Call); request != Requests.end())
    std::erase(request->second.RunningAttempts, id);
  Attempts.erase(it);
}

void ServiceBalancer::withdrawAttempt(AttemptId id, bool mayPlaceAgain, TimePoint now,
                                      BalanceCommands &out) {
  const Attempt attempt = Attempts.at(id);
  Request &request = Requests.at(attempt.Call);
  removeAttempt(id);
  std::erase(request.TriedUpstreams, attempt.Upstream);
  if (mayPlaceAgain && (!attempt.IsExtraAttempt || RetryLimiter.hasRoom(now)))
    requeue(request);
  else
    refuseUnlessRunning(request, FailureKind::UpstreamUnreachable, now, out);
}

void ServiceBalancer::withdrawFromRemovedUpstreams(TimePoint now, BalanceCommands &out) {
  std::vector<AttemptId> unsent;
  for (const auto &[id, attempt] : Attempts)
    if (!attempt.IsSent && !Upstreams.contains(attempt.Upstream))
      unsent.push_back(id);
  for (const AttemptId id : unsent) {
    out.push_back(AbortAttempt{id});
    withdrawAttempt(id, true, now, out);
  }
}

bool ServiceBalancer::mayAttemptAgain(const Request &request, TimePoint now) {
  if (static_cast<int>(request.TriedUpstreams.size()) >= request.Spec.MaxAttempts ||
      now + workTime(request) >= request.Spec.Deadline)
    return false;
  if (RetryLimiter.hasRoom(now))
    return true;
  ++Counts.RetriesDenied;
  return false;
}

void ServiceBalancer::requeue(Request &request) {
  request.IsQueued = true;
  request.WantsHedge = false;
  request.HedgeAt = TimePoint::max();
  request.ProbeRounds = 0;
  Queue.insert(request.Spec.Id);
}

void ServiceBalancer::refuseUnlessRunning(Request &request, FailureKind kind, TimePoint now,
                                          BalanceCommands &out) {
  if (!request.RunningAttempts.empty())
    return;
  refuse(request, kind, now, out);
}

void ServiceBalancer::refuse(Request &request, FailureKind kind, TimePoint now,
                             BalanceCommands &out) {
  const bool lackedRoom = kind == FailureKind::Overloaded || kind == FailureKind::UpstreamRefused;
  if (HasOverloadControl && lackedRoom)
    didRejectForRoom(request, now);
  if (isWaiting(request))
    Admission.didDecide(request.Spec.Priority, false, now);
  refuse(request, kind, retryAfter(request, kind, now), out);
}

void ServiceBalancer::refuseForLimits(Request &request, TimePoint roomAt, TimePoint now,
                                      BalanceCommands &out) {
  if (request.PossibleExecutions > 0)
    return refuse(request, FailureKind::ConnectionLost, now, out);
  // If this VM has no share of any limit, the caller may soon find one that has.
  const Duration wait = roomAt == TimePoint::max() ? MinRetryAfter : roomAt - now;
  refuse(request, FailureKind::RateLimited, std::clamp(wait, MinRetryAfter, MaxRetryAfter), out);
}

void ServiceBalancer::refuse(Request &request, FailureKind kind, Duration retryAfter,
                             BalanceCommands &out) {
  ++Counts.Refusals;
  const bool mayHaveRun = request.PossibleExecutions > 0;
  const Failure failure{.Kind = kind,
                        .Executed = mayHaveRun ? Execution::Unknown : Execution::NotRun,
                        .RetryAfter = mayHaveRun ? Duration{} : retryAfter};
  const CallId id = request.Spec.Id;
  finishRequest(request, out);
  out.push_back(RefuseRequest{.Call = id, .Reason = failure});
}

void ServiceBalancer::finishRequest(Request &request, BalanceCommands &out) {
  const std::vector<AttemptId> running = request.RunningAttempts;
  const bool isNonIdempotent = request.Spec.Class == CallClass::NonIdempotent;
  for (const AttemptId id : running) {
    // A sent non-idempotent request is not interrupted; its response is read and discarded.
    if (!isNonIdempotent || !Attempts.at(id).IsSent)
      out.push_back(AbortAttempt{id});
    removeAttempt(id);
  }
  Queue.erase(request.Spec.Id);
  const CallId id = request.Spec.Id;
  Requests.erase(id);
}

void ServiceBalancer::expireRequest(Request &request, TimePoint now, BalanceCommands &out) {
  addAbortedWork(request, now);
  for (const AttemptId id : std::vector<AttemptId>{request.RunningAttempts}) {
    if (UpstreamView *upstream = findUpstream(Attempts.at(id).Upstream))
      upstream->didFail(TimeoutPenalty, now);
    out.push_back(AbortAttempt{id});
    removeAttempt(id);
  }
  refuse(request,
         request.PossibleExecutions > 0 ? FailureKind::DeadlineExceeded : FailureKind::Overloaded,
         now, out);
}

void ServiceBalancer::measureWork(Attempt &attempt, double slowness, TimePoint now) {
  // It is unknown when the slowness changed. The estimate assumes that this was halfway.
  const double speed = (1 / attempt.MeasuredSlowness + 1 / slowness) / 2;
  attempt.Work += fromSeconds(toSeconds(now - attempt.MeasuredAt) * speed);
  attempt.MeasuredAt = now;
  attempt.MeasuredSlowness = slowness;
}

void ServiceBalancer::addAbortedWork(const Request &request, TimePoint now) {
  for (const AttemptId id : request.RunningAttempts) {
    Attempt &it = Attempts.at(id);
    if (!it.IsSent)
      continue;
    const UpstreamView *upstream = findUpstream(it.Upstream);
    const bool isFresh = upstream && upstream->isFresh(now);
    measureWork(it, isFresh ? upstream->slowness(now, TypicalSlowness) : it.MeasuredSlowness, now);
    WorkTimes.addAborted(request.Spec.Kind, it.Work, it.Slowness);
  }
}

void ServiceBalancer::noteOvertaken(const Request &request, TimePoint now) {
  for (const AttemptId id : request.RunningAttempts) {
    const Attempt &attempt = Attempts.at(id);
    UpstreamView *upstream = findUpstream(attempt.Upstream);
    if (!upstream || !attempt.IsSent)
      continue;
    const double slowness = std::max(
        attempt.Slowness, upstream->hasReport() ? upstream->slowness(now, TypicalSlowness) : 1.0);
    if (toSeconds(now - attempt.StartedAt) <
        OvertakenFactor * toSeconds(workTime(request)) * slowness)
      continue;
    ++Counts.OvertakenAttempts;
    upstream->didFail(OvertakenPenalty, now);
  }
}

std::optional<Duration> ServiceBalancer::hedgeableWork(const Request &request) const {
  const auto newWork = WorkTimes.meanResidual(request.Spec.Kind, Duration::zero());
  if (!newWork)
    return std::nullopt;
  return WorkTimes.firstWithResidual(request.Spec.Kind,
                                     fromSeconds(HedgeResidualFactor * toSeconds(*newWork)));
}

bool ServiceBalancer::canOvertake(const Request &request, Duration work, double slowness) const {
  const auto newWork = WorkTimes.meanResidual(request.Spec.Kind, Duration::zero());
  const auto residual = WorkTimes.meanResidual(request.Spec.Kind, work);
  return newWork && residual &&
         toSeconds(*residual) * slowness > HedgeResidualFactor * toSeconds(*newWork);
}

void ServiceBalancer::scheduleHedge(Request &request, const Candidate &candidate, TimePoint now) {
  request.HedgeAt = TimePoint::max();
  if (request.Spec.Class == CallClass::NonIdempotent ||
      static_cast<int>(request.TriedUpstreams.size()) >= request.Spec.MaxAttempts)
    return;
  const Duration expectedWork = workTime(request);
  const TimePoint lastChance =
      request.Spec.Objective - fromSeconds(HedgeLateFactor * toSeconds(expectedWork));
  const TimePoint silentAt =
      now + fromSeconds(HedgeSilentFactor * toSeconds(candidate.ExpectedTime));
  request.HedgeAt =
      lastChance > now + MinTimeToLatenessCheck ? std::min(lastChance, silentAt) : silentAt;
  // A slow upstream may recover at any time, so the first check assumes the usual speed.
  if (const auto work = hedgeableWork(request))
    request.HedgeAt = std::min(request.HedgeAt, now + *work);
  if (const TimePoint at = now + overdueWork(request); mayHedgeOverdue(request, at))
    request.HedgeAt = std::min(request.HedgeAt, at);
}

Duration ServiceBalancer::overdueWork(const Request &request) const {
  return fromSeconds(OverdueFactor * toSeconds(workTime(request)));
}

bool ServiceBalancer::mayHedgeOverdue(const Request &request, TimePoint at) const {
  if (WorkTimes.meanResidual(request.Spec.Kind, Duration::zero()))
    return false;
  return at + fromSeconds(HedgeLateFactor * toSeconds(workTime(request))) <= request.Spec.Objective;
}

TimePoint ServiceBalancer::expectedEnd(const Attempt &attempt, Duration expectedWork,
                                       double slowness, TimePoint now) {
  // It is unknown when the upstream became slow. The estimate assumes that this was halfway through
  // the elapsed time.
  const double elapsed = toSeconds(now - attempt.StartedAt);
  const double workDone =
      slowness > attempt.Slowness ? elapsed / 2 * (1 + 1 / slowness) : elapsed / attempt.Slowness;
  const double workTime = toSeconds(expectedWork);
  return now + fromSeconds(std::max(workTime - workDone, MinRemainingWork * workTime) * slowness);
}

void ServiceBalancer::checkHedge(Request &request, TimePoint now, BalanceCommands &out) {
  request.HedgeAt = TimePoint::max();
  if (request.IsQueued || request.RunningAttempts.empty() || !mayAttemptAgain(request, now))
    return;
  Attempt &attempt = Attempts.at(request.RunningAttempts.front());
  const Duration expectedWork = workTime(request);
  const bool isSilent = toSeconds(now - attempt.StartedAt) >=
                        HedgeSilentFactor * toSeconds(expectedWork) * attempt.Slowness;
  UpstreamView *upstream = findUpstream(attempt.Upstream);
  const bool isTooSlow =
      upstream && upstream->isFresh(now) &&
      expectedEnd(attempt, expectedWork, upstream->slowness(now, TypicalSlowness), now) >
          request.Spec.Objective;
  // The distribution of work times may call for a hedge. The upstream is asked first whether it
  // became slow, but its answer isn't waited for twice.
  const auto hedgeable = hedgeableWork(request);
  const bool isFresh = upstream && upstream->isFresh(now);
  const bool isAsked = upstream && !isSilent && !isFresh && !upstream->Probe &&
                       Limits.mayProbe(attempt.Upstream, now) && sendProbe(*upstream, now, out);
  if (!isAsked)
    measureWork(attempt,
                isFresh ? upstream->slowness(now, TypicalSlowness) : attempt.MeasuredSlowness, now);
  const bool isOvertakable = !isAsked && hedgeable && attempt.Work >= *hedgeable &&
                             canOvertake(request, attempt.Work, attempt.MeasuredSlowness);
  const bool isOverdue =
      !isAsked && attempt.Work >= overdueWork(request) && mayHedgeOverdue(request, now);
  if (isSilent || isTooSlow || isOvertakable || isOverdue || !upstream) {
    Counts.ResidualHedges += isOvertakable && !isSilent && !isTooSlow ? 1 : 0;
    request.IsQueued = true;
    request.WantsHedge = true;
    request.ProbeRounds = 0;
    Queue.insert(request.Spec.Id);
    return;
  }
  const TimePoint nextCheck = now + (isFresh ? HedgeCheckInterval : std::chrono::milliseconds{5});
  const TimePoint silentAt =
      attempt.StartedAt +
      fromSeconds(HedgeSilentFactor * toSeconds(expectedWork) * attempt.Slowness);
  request.HedgeAt =
      now + expectedWork <= request.Spec.Objective ? nextCheck : std::max(silentAt, nextCheck);
  if (hedgeable)
    request.HedgeAt = std::min(
        request.HedgeAt, std::max(attempt.MeasuredAt + (*hedgeable - attempt.Work), nextCheck));
  const TimePoint overdueAt =
      std::max(attempt.MeasuredAt + (overdueWork(request) - attempt.Work), nextCheck);
  if (mayHedgeOverdue(request, overdueAt))
    request.HedgeAt = std::min(request.HedgeAt, overdueAt);
}

Duration ServiceBalancer::retryAfter(const Request &request, FailureKind kind, TimePoint now) {
  // An upstream that sheds part of its load may accept the next request.
  if (kind == FailureKind::UpstreamRefused)
    return ShedRetryAfter;
  const Duration timeLeft = request.Spec.Deadline - now;
  const Duration fractionOfTimeLeft = fromSeconds(RetryAfterShareOfTimeLeft * toSeconds(timeLeft));
  const Duration longest = std::clamp(fractionOfTimeLeft, MinRetryAfter, MaxRetryAfter);
  if (kind != FailureKind::Overloaded || !HasOverloadControl)
    return longest;
  const std::size_t otherWaiting = Queue.size() - Queue.count(request.Spec.Id);
  const Duration wait =
      Returns.didReject(otherWaiting, Forecast.startsPerSecond(now), longest, now);
  return std::max(wait, MinRetryAfter);
}

} // namespace wigeonlift
