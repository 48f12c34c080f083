#include <LibBalance/ServiceBalancer.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr double InvalidAnswerTrouble = 1.0;
constexpr double LostAnswerTrouble = 1.0;
constexpr double UpstreamFailureTrouble = 0.7;
// An upstream without room is busy and not broken.
constexpr double NotRunTrouble = 0.4;
constexpr double NoConnectionTrouble = 1.5;
constexpr double TimeoutTrouble = 1.0;

// A request that has taken this much longer than expected is looked at again.
constexpr double HedgeLateFactor = 1.15;
// An attempt from which nothing has come for this multiple of the expected time may have been lost.
constexpr double HedgeSilentFactor = 3.0;
constexpr Duration MinHedgeDelay = std::chrono::milliseconds{20};
constexpr Duration HedgeInterval = std::chrono::milliseconds{25};
// Work that is left at least, as a share of the usual work, while no answer has come.
constexpr double LeastWorkLeft = 0.15;

constexpr Duration ShedRetryAfter = std::chrono::milliseconds{10};
// Callers that come back sooner than this find the same queue.
constexpr Duration MinRetryAfter = std::chrono::milliseconds{100};
constexpr Duration MaxRetryAfter = std::chrono::milliseconds{2000};
constexpr double RetryAfterShareOfTime = 0.3;

} // namespace

bool ServiceBalancer::maySend(AttemptId id, TimePoint now, BalanceCommands &out) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end())
    return false;
  Request &request = Requests.at(it->second.Call);
  if (now >= request.Spec.Deadline) {
    checkDeadline(request, now, out);
    return false;
  }
  // An upstream that has left since the choice gets no new work.
  const bool isGone = !view(it->second.Upstream);
  if (isGone || (it->second.IsRepeat && !Repeats.take(now))) {
    const bool isRepeat = it->second.IsRepeat;
    dropAttempt(id);
    if (isGone && (!isRepeat || Repeats.hasRoom(now)))
      requeue(request);
    else
      settle(request, FailureKind::UpstreamUnreachable, now, out);
    pump(now, out);
    return false;
  }
  it->second.IsSent = true;
  ++request.PossibleRuns;
  return true;
}

AnswerUse ServiceBalancer::didAnswer(AttemptId id, const AnswerFacts &facts, TimePoint now,
                                     BalanceCommands &out) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end())
    return AnswerUse::Drop;
  const Attempt attempt = it->second;
  Request &request = Requests.at(attempt.Call);
  UpstreamView *from = view(attempt.Upstream);
  dropAttempt(id);
  if (from) {
    if (facts.Load)
      from->didReport(*facts.Load, now, now);
    switch (facts.Kind) {
    case AnswerKind::Success:
      from->didSucceed(now);
      break;
    case AnswerKind::UpstreamFailure:
      from->didFail(UpstreamFailureTrouble, now);
      break;
    case AnswerKind::NotRun:
      from->didFail(NotRunTrouble, now);
      break;
    case AnswerKind::Invalid:
      from->didFail(InvalidAnswerTrouble, now);
      break;
    }
  }
  if (facts.Kind == AnswerKind::Success) {
    Work.didAnswer(request.Spec.Kind, now - attempt.StartedAt, attempt.Slowness, facts.Bytes);
    Counts.HedgeWins += attempt.IsHedge ? 1 : 0;
    end(request, out);
    pump(now, out);
    return AnswerUse::Relay;
  }
  const bool isOnce = request.Spec.Class == CallClass::NonIdempotent;
  if (facts.Kind == AnswerKind::NotRun) {
    --request.PossibleRuns;
    if (request.Running.empty() && mayRepeat(request, now))
      requeue(request);
    else
      settle(request, FailureKind::UpstreamRefused, now, out);
    pump(now, out);
    return AnswerUse::Drop;
  }
  const bool isOwn = facts.Kind == AnswerKind::UpstreamFailure;
  if (!isOnce && request.Running.empty() && mayRepeat(request, now)) {
    requeue(request);
    pump(now, out);
    return AnswerUse::Drop;
  }
  if (isOwn && request.Running.empty()) {
    end(request, out);
    pump(now, out);
    return AnswerUse::Relay;
  }
  settle(request, isOwn ? FailureKind::UpstreamError : FailureKind::ConnectionLost, now, out);
  pump(now, out);
  return AnswerUse::Drop;
}

void ServiceBalancer::attemptFailed(AttemptId id, AttemptStage stage, TimePoint now,
                                    BalanceCommands &out) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end())
    return;
  const Attempt attempt = it->second;
  Request &request = Requests.at(attempt.Call);
  if (UpstreamView *from = view(attempt.Upstream)) {
    from->didFail(stage == AttemptStage::Unsent ? NoConnectionTrouble : LostAnswerTrouble, now);
    from->forgetReport();
  }
  dropAttempt(id);
  const bool wasSent = stage == AttemptStage::Sent;
  const bool isOnce = request.Spec.Class == CallClass::NonIdempotent;
  if (!wasSent && attempt.IsSent && attempt.IsRepeat)
    Repeats.refund(now);
  if (!wasSent && attempt.IsSent)
    --request.PossibleRuns;
  if ((!wasSent || !isOnce) && request.Running.empty() && mayRepeat(request, now))
    requeue(request);
  else
    settle(request, wasSent ? FailureKind::ConnectionLost : FailureKind::UpstreamUnreachable, now,
           out);
  pump(now, out);
}

void ServiceBalancer::dropAttempt(AttemptId id) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end())
    return;
  if (UpstreamView *at = view(it->second.Upstream))
    at->didEnd(id);
  if (const auto request = Requests.find(it->second.Call); request != Requests.end())
    std::erase(request->second.Running, id);
  Attempts.erase(it);
}

bool ServiceBalancer::mayRepeat(const Request &request, TimePoint now) {
  if (static_cast<int>(request.Tried.size()) >= request.Spec.MaxAttempts ||
      now + work(request) >= request.Spec.Deadline)
    return false;
  if (Repeats.hasRoom(now))
    return true;
  ++Counts.RepeatsDenied;
  return false;
}

void ServiceBalancer::requeue(Request &request) {
  request.IsQueued = true;
  request.WantsHedge = false;
  request.HedgeAt = TimePoint::max();
  request.Rounds = 0;
  Queue.insert(request.Spec.Id);
}

void ServiceBalancer::settle(Request &request, FailureKind kind, TimePoint now,
                             BalanceCommands &out) {
  // Another attempt of the same request still runs and decides.
  if (!request.Running.empty())
    return;
  refuse(request, kind, now, out);
}

void ServiceBalancer::refuse(Request &request, FailureKind kind, TimePoint now,
                             BalanceCommands &out) {
  ++Counts.Refusals;
  const Failure failure{
      .Kind = kind,
      .Executed = request.PossibleRuns > 0 ? Execution::Unknown : Execution::NotRun,
      .RetryAfter = request.PossibleRuns > 0 ? Duration{} : retryAfter(request, kind, now)};
  const CallId id = request.Spec.Id;
  end(request, out);
  out.push_back(RefuseRequest{.Call = id, .Reason = failure});
}

void ServiceBalancer::end(Request &request, BalanceCommands &out) {
  const std::vector<AttemptId> running = request.Running;
  const bool isOnce = request.Spec.Class == CallClass::NonIdempotent;
  for (const AttemptId id : running) {
    // Work that must not repeat is not interrupted; its answer is read and dropped.
    if (!isOnce || !Attempts.at(id).IsSent)
      out.push_back(AbandonAttempt{id});
    dropAttempt(id);
  }
  Queue.erase(request.Spec.Id);
  const CallId id = request.Spec.Id;
  Requests.erase(id);
}

void ServiceBalancer::checkDeadline(Request &request, TimePoint now, BalanceCommands &out) {
  for (const AttemptId id : std::vector<AttemptId>{request.Running}) {
    if (UpstreamView *at = view(Attempts.at(id).Upstream))
      at->didFail(TimeoutTrouble, now);
    out.push_back(AbandonAttempt{id});
    dropAttempt(id);
  }
  refuse(request,
         request.PossibleRuns > 0 ? FailureKind::DeadlineExceeded : FailureKind::Overloaded, now,
         out);
}

void ServiceBalancer::armHedge(Request &request, const Candidate &candidate, TimePoint now) {
  request.HedgeAt = TimePoint::max();
  if (request.Spec.Class == CallClass::NonIdempotent ||
      static_cast<int>(request.Tried.size()) >= request.Spec.MaxAttempts)
    return;
  const Duration usual = work(request);
  const TimePoint lastChance =
      request.Spec.Objective - fromSeconds(HedgeLateFactor * toSeconds(usual));
  const TimePoint silent = now + fromSeconds(HedgeSilentFactor * toSeconds(candidate.Expected));
  request.HedgeAt = lastChance > now + MinHedgeDelay ? std::min(lastChance, silent) : silent;
}

TimePoint ServiceBalancer::expectedEnd(const Attempt &attempt, Duration usual, double slowness,
                                       TimePoint now) {
  // When the upstream has turned slow is not known; half of the time is the best guess.
  const double elapsed = toSeconds(now - attempt.StartedAt);
  const double done =
      slowness > attempt.Slowness ? elapsed / 2 * (1 + 1 / slowness) : elapsed / attempt.Slowness;
  const double work = toSeconds(usual);
  return now + fromSeconds(std::max(work - done, LeastWorkLeft * work) * slowness);
}

void ServiceBalancer::checkHedge(Request &request, TimePoint now, BalanceCommands &out) {
  request.HedgeAt = TimePoint::max();
  if (request.IsQueued || request.Running.empty() || !mayRepeat(request, now))
    return;
  const Attempt &attempt = Attempts.at(request.Running.front());
  const Duration usual = work(request);
  const bool isSilent =
      toSeconds(now - attempt.StartedAt) >= HedgeSilentFactor * toSeconds(usual) * attempt.Slowness;
  UpstreamView *at = view(attempt.Upstream);
  const bool isTooSlow =
      at && at->isFresh(now) &&
      expectedEnd(attempt, usual, at->slowness(now, TypicalSlowness), now) > request.Spec.Objective;
  if (isSilent || isTooSlow || !at) {
    request.IsQueued = true;
    request.WantsHedge = true;
    request.Rounds = 0;
    Queue.insert(request.Spec.Id);
    return;
  }
  // Asks whether the upstream has turned slow, and looks at the answer in a moment.
  if (!at->isFresh(now) && !at->Probe)
    ask(*at, now, out);
  const TimePoint again = now + (at->isFresh(now) ? HedgeInterval : std::chrono::milliseconds{5});
  const TimePoint silent =
      attempt.StartedAt + fromSeconds(HedgeSilentFactor * toSeconds(usual) * attempt.Slowness);
  request.HedgeAt = now + usual <= request.Spec.Objective ? again : std::max(silent, again);
}

Duration ServiceBalancer::retryAfter(const Request &request, FailureKind kind,
                                     TimePoint now) const {
  // Upstreams that shed some of their requests may take the next one.
  if (kind == FailureKind::UpstreamRefused)
    return ShedRetryAfter;
  const Duration left = request.Spec.Deadline - now;
  const Duration latest = fromSeconds(RetryAfterShareOfTime * toSeconds(left));
  return std::clamp(latest, MinRetryAfter, MaxRetryAfter);
}

} // namespace wigeonlift
