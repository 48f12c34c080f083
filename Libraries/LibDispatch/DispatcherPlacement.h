#pragma once

// Member functions of Dispatcher for admission, placement and hedges. A program that defines its
// own choice policy includes this header to instantiate the template.
#include <LibDispatch/Dispatcher.h>

namespace wigeonlift {

// Interval at which a slow call that could not be hedged checks again for an idle slot and for room
// in the budget.
inline constexpr Duration HedgeRetryInterval = std::chrono::milliseconds(5);

template <ChoicePolicy Policy>
void Dispatcher<Policy>::callArrived(const CallSpec &spec, TimePoint now, Commands &out) {
  const auto flow = Admission.flowOf(spec.Entry);
  if (!flow) {
    out.push_back(FailCall{spec.Id, {FailureKind::NoEntry, Execution::NotRun, {}}});
    return;
  }
  if (now >= spec.Deadline) {
    out.push_back(FailCall{spec.Id, {FailureKind::DeadlineExceeded, Execution::NotRun, {}}});
    return;
  }
  const Duration typicalLatency = Hedger.median().value_or(Duration::zero());
  if (const auto refusal = Admission.admit(*flow, spec.Deadline - now - typicalLatency, now)) {
    out.push_back(FailCall{spec.Id, *refusal});
    return;
  }
  const Duration wait = Admission.expectedWait(*flow, now);
  if (now + wait >= spec.Deadline && Table.hasPermission(now)) {
    Admission.didRefuseByDeadline(*flow);
    out.push_back(FailCall{spec.Id, {FailureKind::Overloaded, Execution::NotRun, wait}});
    return;
  }
  Call *call = Calls.add(spec);
  if (!call)
    return;
  call->Flow = *flow;
  call->QueuedAt = now;
  call->IsQueued = true;
  call->QueuedBehind = Admission.enqueue(*flow, spec.Id);
  Timers.add({spec.Deadline, TimerKind::Deadline, spec.Id, {}});
  startQueuedCalls(now, out);
  if (!Table.hasPermission(now))
    startProbes(now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::callerLeft(CallId id, TimePoint now, Commands &out) {
  Call *call = Calls.find(id);
  if (!call)
    return;
  cancelAttempts(*call, AttemptId{}, now, out);
  endCall(*call, now);
  startQueuedCalls(now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::startQueuedCalls(TimePoint now, Commands &out) {
  if (Admission.queuedCalls() == 0)
    return;
  Admission.beginRound(now);
  while (const auto flow = Admission.nextFlow())
    if (!startHeadOf(*flow, now, out))
      Admission.skip(*flow);
}

template <ChoicePolicy Policy>
bool Dispatcher<Policy>::startHeadOf(std::size_t flow, TimePoint now, Commands &out) {
  Call &call = *Calls.find(Admission.head(flow));
  if (now >= call.Spec.Deadline) {
    deadlinePassed(call, now, out);
    return true;
  }
  if (startTrial(flow, call, now, out))
    return true;
  // A call that can no longer be answered before its deadline is failed, so that the next one that
  // can be answered in time starts instead.
  const Duration typicalLatency = Hedger.median().value_or(Duration::zero());
  if (now > call.QueuedAt && call.PossibleRuns == 0 && now + typicalLatency >= call.Spec.Deadline) {
    deadlinePassed(call, now, out);
    return true;
  }
  const auto upstream =
      choose({call.avoided(), call.isExport(), false, Features.UsesOutlierEjection}, now);
  if (!upstream)
    return false;
  didDequeue(flow, call, now);
  startAttempt(call, *upstream, false, now, out);
  return true;
}

template <ChoicePolicy Policy>
bool Dispatcher<Policy>::startTrial(std::size_t flow, Call &call, TimePoint now, Commands &out) {
  if (!Features.UsesOutlierEjection || call.isExport())
    return false;
  // A trial may be slow or fail, so calls that can be hedged and retried are preferred.
  const bool isRepeatable = call.isIdempotent() && call.ExtraAttemptsLeft > 0;
  const auto upstream = Table.findDueTrial(call.avoided(), isRepeatable, now);
  if (!upstream)
    return false;
  didDequeue(flow, call, now);
  recorder().didStartTrial(startAttempt(call, *upstream, false, now, out));
  return true;
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::didDequeue(std::size_t flow, Call &call, TimePoint now) {
  Admission.didStart(flow, call.QueuedAt, call.QueuedBehind, now);
  call.StartedAt = now;
  call.IsQueued = false;
  if (call.AttemptsStarted > 0)
    return;
  RetryBudget.didStartCall();
  Hedger.didStartCall();
}

template <ChoicePolicy Policy>
std::optional<UpstreamIndex> Dispatcher<Policy>::choose(const CandidateQuery &query,
                                                        TimePoint now) {
  const auto candidates = Table.candidates(query, Rng, now);
  if (candidates.empty())
    return std::nullopt;
  return candidates[UpstreamChooser.choose(candidates, Rng)].Upstream;
}

template <ChoicePolicy Policy>
Attempt &Dispatcher<Policy>::startAttempt(Call &call, UpstreamIndex upstream, bool isHedge,
                                          TimePoint now, Commands &out) {
  Attempt &attempt = Calls.start(call, upstream, now);
  attempt.Turns = Table.estimateLatency(upstream, now);
  attempt.IsHedge = isHedge;
  attempt.IsResume = call.NeedsResume;
  // The other half is kept for retries and hedges here, so that no extra attempt is used twice in
  // the call tree.
  attempt.DelegatedExtraAttempts = call.ExtraAttemptsLeft / 2;
  call.ExtraAttemptsLeft -= attempt.DelegatedExtraAttempts;
  ++Attempts;
  ++Table[upstream].OwnInFlight;
  ++Table[upstream].Attempts;
  if (attempt.IsExport)
    Table.didStartExport(upstream);
  out.push_back(StartAttempt{attempt.Id, call.Spec.Id, upstream, call.Spec.Deadline,
                             attempt.DelegatedExtraAttempts,
                             call.Spec.Class == CallClass::NonIdempotent, attempt.IsResume});
  return attempt;
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::requeue(Call &call, TimePoint now) {
  Admission.didEnd(call.Flow, now - call.StartedAt);
  call.QueuedAt = now;
  call.QueuedBehind = 0;
  call.IsQueued = true;
  Admission.requeue(call.Flow, call.Spec.Id);
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::armSlowTimer(const Attempt &attempt) {
  if (!attempt.IsExport && Hedger.delay())
    Timers.add({attempt.SentAt + *Hedger.delay(), TimerKind::Slow, attempt.Call, attempt.Id});
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::hedge(Call &call, TimePoint now, Commands &out) {
  if (!Features.UsesHedging || !call.isIdempotent() || call.WasHedged || call.running().size() != 1)
    return;
  // In overload a hedge would delay the first attempt of another call. Calls that do not wait for
  // the rate limit of their entry are queued only when no upstream is idle.
  const bool isOverloaded = Admission.isBacklogged();
  if (call.ExtraAttemptsLeft < 1 || isOverloaded || !Hedger.hasRoom()) {
    Timers.add({now + HedgeRetryInterval, TimerKind::Hedge, call.Spec.Id, {}});
    return;
  }
  call.avoid(Calls.find(call.running().front())->Upstream);
  const auto upstream = choose({call.avoided(), false, true, true}, now);
  if (!upstream) {
    Timers.add({now + HedgeRetryInterval, TimerKind::Hedge, call.Spec.Id, {}});
    return;
  }
  Hedger.take();
  --call.ExtraAttemptsLeft;
  call.WasHedged = true;
  ++Hedges;
  startAttempt(call, *upstream, true, now, out);
}

} // namespace wigeonlift
