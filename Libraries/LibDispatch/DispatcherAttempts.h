#pragma once

// Part of the definition of Dispatcher: attempts and the ends of calls. A program that brings its
// own policy includes this to instantiate the template.
#include <LibDispatch/Dispatcher.h>

namespace wigeonlift {

// Attempts of one call that may fail before anything is sent. They add no work to the upstreams and
// take nothing from the retry budget.
inline constexpr int MaxUnsentFailures = 3;
inline constexpr int FirstServerError = 500;
// When a call that failed at its upstreams may be tried again: about the time of another call.
inline constexpr Duration RetryAfterFailure = std::chrono::milliseconds(10);

template <ChoicePolicy Policy>
bool Dispatcher<Policy>::mayWrite(AttemptId id, TimePoint now, Commands &out) {
  Attempt *attempt = Calls.find(id);
  // A second grant would permit a second write of the same attempt.
  if (!attempt || attempt->IsSent)
    return false;
  Call &call = *Calls.find(attempt->Call);
  if (now >= call.Spec.Deadline) {
    deadlinePassed(call, now, out);
    pump(now, out);
    return false;
  }
  if (!Table.mayReceive(attempt->Upstream, now)) {
    call.ExtraLeft += attempt->PassedOn;
    judge().didAbandon(*attempt);
    dropAttempt(id);
    if (call.running().empty()) {
      requeue(call, now);
      pump(now, out);
    }
    return false;
  }
  attempt->IsSent = true;
  attempt->SentAt = now;
  ++call.MayHaveRun;
  armSlowTimer(*attempt);
  return true;
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::responseStarted(AttemptId id, const ResponseHead &head, TimePoint now,
                                         Commands &out) {
  Attempt *attempt = Calls.find(id);
  if (!attempt || !attempt->IsSent || attempt->IsRelayed)
    return;
  if (head.Load)
    didHear({attempt->Upstream, attempt->SentAt, *head.Load}, now, out);
  if (head.IsRefused) {
    responseRefused(*attempt, now, out);
    return;
  }
  Call &call = *Calls.find(attempt->Call);
  if (head.HttpStatus < FirstServerError) {
    judge().didAnswer(*attempt, now);
    relay(*attempt, head, now, out);
    return;
  }
  // A failure further below says nothing against the upstream that relays it.
  if (head.IsDependencyFailure)
    judge().didAbandon(*attempt);
  else
    judge().didFail(*attempt, now);
  call.avoid(attempt->Upstream);
  call.LastFailure = FailureKind::UpstreamError;
  const bool isLast = call.running().size() == 1;
  const bool mayRepeat = call.Spec.Class != CallClass::NonIdempotent && !head.IsDependencyFailure;
  if (isLast && !(mayRepeat && takeRetry(call))) {
    relay(*attempt, head, now, out);
    return;
  }
  dropAttempt(id);
  if (isLast) {
    requeue(call, now);
    pump(now, out);
  }
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::responseFinished(AttemptId id, TimePoint now, Commands &out) {
  Attempt *attempt = Calls.find(id);
  if (!attempt || !attempt->IsRelayed)
    return;
  Call &call = *Calls.find(attempt->Call);
  dropAttempt(id);
  endCall(call, now);
  pump(now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::attemptFailed(AttemptId id, FailureStage stage, TimePoint now,
                                       Commands &out) {
  Attempt *attempt = Calls.find(id);
  if (!attempt)
    return;
  Call &call = *Calls.find(attempt->Call);
  call.avoid(attempt->Upstream);
  judge().didFail(*attempt, now);
  const bool isUnsent = stage == FailureStage::BeforeWrite && !attempt->IsSent;
  if (isUnsent)
    call.ExtraLeft += attempt->PassedOn;
  call.LastFailure = isUnsent ? FailureKind::UpstreamUnreachable : FailureKind::ConnectionLost;
  call.NeedsResume = call.NeedsResume || attempt->IsRelayed;
  dropAttempt(id);
  if (isUnsent && ++call.UnsentFailures <= MaxUnsentFailures && call.running().empty()) {
    requeue(call, now);
    pump(now, out);
    return;
  }
  const bool mayRepeat = call.isIdempotent() ? !call.HasResponse : call.isExport();
  settle(call, mayRepeat && !isUnsent, now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::responseRefused(Attempt &attempt, TimePoint now, Commands &out) {
  Call &call = *Calls.find(attempt.Call);
  judge().didAbandon(attempt);
  call.avoid(attempt.Upstream);
  call.ExtraLeft += attempt.PassedOn;
  --call.MayHaveRun;
  call.LastFailure = FailureKind::UpstreamRefused;
  dropAttempt(attempt.Id);
  // The upstream says that the call was not run, so a repeat is safe for every class.
  settle(call, true, now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::relay(Attempt &attempt, const ResponseHead &head, TimePoint now,
                               Commands &out) {
  Call &call = *Calls.find(attempt.Call);
  attempt.IsRelayed = true;
  call.HasResponse = true;
  HedgeWins += attempt.IsHedge ? 1 : 0;
  cancelAttempts(call, attempt.Id, now, out);
  // A server error leaves open how far the upstream had come.
  const bool isError = head.HttpStatus >= FirstServerError;
  out.push_back(
      RelayResponse{call.Spec.Id, attempt.Id, isError ? Execution::Unknown : Execution::Run});
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::settle(Call &call, bool mayRetry, TimePoint now, Commands &out) {
  if (!call.running().empty())
    return;
  if (mayRetry && takeRetry(call)) {
    requeue(call, now);
  } else {
    const Duration retryAfter = Admitted.expectedWait(call.Flow, now) + RetryAfterFailure;
    failCall(call, call.LastFailure, retryAfter, now, out);
  }
  pump(now, out);
}

template <ChoicePolicy Policy> bool Dispatcher<Policy>::takeRetry(Call &call) {
  if (call.ExtraLeft < 1 || !RetryBudget.take())
    return false;
  --call.ExtraLeft;
  ++Retries;
  return true;
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::dropAttempt(AttemptId id) {
  const Attempt &attempt = *Calls.find(id);
  --Table[attempt.Upstream].OwnInFlight;
  if (attempt.IsExport)
    Table.didEndExport(attempt.Upstream);
  Calls.remove(id);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::cancelAttempts(Call &call, AttemptId except, TimePoint now,
                                        Commands &out) {
  const Call before = call;
  for (const AttemptId id : before.running()) {
    if (id == except)
      continue;
    judge().didCancel(*Calls.find(id), now);
    out.push_back(CancelAttempt{id});
    dropAttempt(id);
  }
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::endCall(Call &call, TimePoint now) {
  if (call.IsQueued)
    Admitted.remove(call.Flow, call.Spec.Id);
  else
    Admitted.didEnd(call.Flow, now - call.StartedAt);
  Calls.remove(call.Spec.Id);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::failCall(Call &call, FailureKind kind, Duration retryAfter, TimePoint now,
                                  Commands &out) {
  const Failure failure{kind, call.HasResponse ? Execution::Unknown : call.executed(), retryAfter};
  const CallId id = call.Spec.Id;
  cancelAttempts(call, AttemptId{}, now, out);
  endCall(call, now);
  out.push_back(FailCall{id, failure});
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::deadlinePassed(Call &call, TimePoint now, Commands &out) {
  const bool isHeld = call.IsQueued && call.MayHaveRun == 0;
  if (isHeld)
    Admitted.didRefuseByDeadline(call.Flow);
  if (isHeld && !Table.hasPermission(now)) {
    failCall(call, FailureKind::NoUpstream, retryAfterNoUpstream(now), now, out);
    return;
  }
  FailureKind kind = FailureKind::DeadlineExceeded;
  if (isHeld)
    kind = Admitted.waitsForToken(call.Flow) ? FailureKind::RateLimited : FailureKind::Overloaded;
  failCall(call, kind, Admitted.expectedWait(call.Flow, now), now, out);
}

} // namespace wigeonlift
