#pragma once

// Member functions of Dispatcher for attempts and the ends of calls. A program that defines its own
// choice policy includes this header to instantiate the template.
#include <LibDispatch/Dispatcher.h>

namespace wigeonlift {

// Attempts of one call that may fail before anything is sent and be repeated without the retry
// budget, because they add no work to the upstreams.
inline constexpr int MaxUnsentFailures = 3;
inline constexpr int FirstServerErrorStatus = 500;
// Added to the expected wait in the queue to get the retry time of a call that failed at its
// upstreams: about the duration of one call.
inline constexpr Duration FailedCallRetryAfter = std::chrono::milliseconds(10);

template <ChoicePolicy Policy>
bool Dispatcher<Policy>::mayWrite(AttemptId id, TimePoint now, Commands &out) {
  Attempt *attempt = Calls.find(id);
  // Returning true twice would permit a second write of the same attempt.
  if (!attempt || attempt->IsSent)
    return false;
  Call &call = *Calls.find(attempt->Call);
  if (now >= call.Spec.Deadline) {
    deadlinePassed(call, now, out);
    startQueuedCalls(now, out);
    return false;
  }
  if (!Table.mayReceive(attempt->Upstream, now)) {
    call.ExtraAttemptsLeft += attempt->DelegatedExtraAttempts;
    recorder().didAbandon(*attempt);
    removeAttempt(id);
    if (call.running().empty()) {
      requeue(call, now);
      startQueuedCalls(now, out);
    }
    return false;
  }
  attempt->IsSent = true;
  attempt->SentAt = now;
  ++call.PossibleRuns;
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
    applyDirectEvidence({attempt->Upstream, attempt->SentAt, *head.Load}, now, out);
  if (head.IsRefused) {
    handleRefusal(*attempt, now, out);
    return;
  }
  Call &call = *Calls.find(attempt->Call);
  if (head.HttpStatus < FirstServerErrorStatus) {
    recorder().didAnswer(*attempt, now);
    relayResponse(*attempt, head, now, out);
    return;
  }
  // The failure of a dependency says nothing about the health of the upstream that reports it.
  if (head.IsDependencyFailure)
    recorder().didAbandon(*attempt);
  else
    recorder().didFail(*attempt, now);
  call.avoid(attempt->Upstream);
  call.LastFailure = FailureKind::UpstreamError;
  const bool isLast = call.running().size() == 1;
  const bool mayRepeat = call.Spec.Class != CallClass::NonIdempotent && !head.IsDependencyFailure;
  if (isLast && !(mayRepeat && takeRetry(call))) {
    relayResponse(*attempt, head, now, out);
    return;
  }
  removeAttempt(id);
  if (isLast) {
    requeue(call, now);
    startQueuedCalls(now, out);
  }
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::responseFinished(AttemptId id, TimePoint now, Commands &out) {
  Attempt *attempt = Calls.find(id);
  if (!attempt || !attempt->IsRelayed)
    return;
  Call &call = *Calls.find(attempt->Call);
  removeAttempt(id);
  endCall(call, now);
  startQueuedCalls(now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::attemptFailed(AttemptId id, FailureStage stage, TimePoint now,
                                       Commands &out) {
  Attempt *attempt = Calls.find(id);
  if (!attempt)
    return;
  Call &call = *Calls.find(attempt->Call);
  call.avoid(attempt->Upstream);
  recorder().didFail(*attempt, now);
  const bool isUnsent = stage == FailureStage::BeforeWrite && !attempt->IsSent;
  if (isUnsent)
    call.ExtraAttemptsLeft += attempt->DelegatedExtraAttempts;
  call.LastFailure = isUnsent ? FailureKind::UpstreamUnreachable : FailureKind::ConnectionLost;
  call.NeedsResume = call.NeedsResume || attempt->IsRelayed;
  removeAttempt(id);
  if (isUnsent && ++call.UnsentFailures <= MaxUnsentFailures && call.running().empty()) {
    requeue(call, now);
    startQueuedCalls(now, out);
    return;
  }
  const bool mayRepeat = call.isIdempotent() ? !call.HasResponse : call.isExport();
  retryOrFail(call, mayRepeat && !isUnsent, now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::handleRefusal(Attempt &attempt, TimePoint now, Commands &out) {
  Call &call = *Calls.find(attempt.Call);
  recorder().didAbandon(attempt);
  call.avoid(attempt.Upstream);
  call.ExtraAttemptsLeft += attempt.DelegatedExtraAttempts;
  --call.PossibleRuns;
  call.LastFailure = FailureKind::UpstreamRefused;
  removeAttempt(attempt.Id);
  // The upstream states that it did not run the call, so a retry is safe for every call class.
  retryOrFail(call, true, now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::relayResponse(Attempt &attempt, const ResponseHead &head, TimePoint now,
                                       Commands &out) {
  Call &call = *Calls.find(attempt.Call);
  attempt.IsRelayed = true;
  call.HasResponse = true;
  HedgeWins += attempt.IsHedge ? 1 : 0;
  cancelAttempts(call, attempt.Id, now, out);
  // A server error does not show whether the upstream ran the call.
  const bool isError = head.HttpStatus >= FirstServerErrorStatus;
  out.push_back(
      RelayResponse{call.Spec.Id, attempt.Id, isError ? Execution::Unknown : Execution::Run});
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::retryOrFail(Call &call, bool mayRetry, TimePoint now, Commands &out) {
  if (!call.running().empty())
    return;
  if (mayRetry && takeRetry(call)) {
    requeue(call, now);
  } else {
    const Duration retryAfter = Admission.expectedWait(call.Flow, now) + FailedCallRetryAfter;
    failCall(call, call.LastFailure, retryAfter, now, out);
  }
  startQueuedCalls(now, out);
}

template <ChoicePolicy Policy> bool Dispatcher<Policy>::takeRetry(Call &call) {
  if (call.ExtraAttemptsLeft < 1 || !RetryBudget.take())
    return false;
  --call.ExtraAttemptsLeft;
  ++Retries;
  return true;
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::removeAttempt(AttemptId id) {
  const Attempt &attempt = *Calls.find(id);
  --Table[attempt.Upstream].OwnInFlight;
  if (attempt.IsExport)
    Table.didEndExport(attempt.Upstream);
  Calls.remove(id);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::cancelAttempts(Call &call, AttemptId keptAttempt, TimePoint now,
                                        Commands &out) {
  const Call callBeforeRemovals = call;
  for (const AttemptId id : callBeforeRemovals.running()) {
    if (id == keptAttempt)
      continue;
    recorder().didCancel(*Calls.find(id), now);
    out.push_back(CancelAttempt{id});
    removeAttempt(id);
  }
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::endCall(Call &call, TimePoint now) {
  if (call.IsQueued)
    Admission.remove(call.Flow, call.Spec.Id);
  else
    Admission.didEnd(call.Flow, now - call.StartedAt);
  Calls.remove(call.Spec.Id);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::failCall(Call &call, FailureKind kind, Duration retryAfter, TimePoint now,
                                  Commands &out) {
  const Failure failure{kind, call.HasResponse ? Execution::Unknown : call.execution(), retryAfter};
  const CallId id = call.Spec.Id;
  cancelAttempts(call, AttemptId{}, now, out);
  endCall(call, now);
  out.push_back(FailCall{id, failure});
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::deadlinePassed(Call &call, TimePoint now, Commands &out) {
  const bool isWaitingUnsent = call.IsQueued && call.PossibleRuns == 0;
  if (isWaitingUnsent)
    Admission.didRefuseByDeadline(call.Flow);
  if (isWaitingUnsent && !Table.hasPermission(now)) {
    failCall(call, FailureKind::NoUpstream, retryAfterNoUpstream(now), now, out);
    return;
  }
  FailureKind kind = FailureKind::DeadlineExceeded;
  if (isWaitingUnsent)
    kind = Admission.waitsForToken(call.Flow) ? FailureKind::RateLimited : FailureKind::Overloaded;
  failCall(call, kind, Admission.expectedWait(call.Flow, now), now, out);
}

} // namespace wigeonlift
