#pragma once

// Part of the definition of Dispatcher: admission, placement and hedges. A program that brings its
// own policy includes this to instantiate the template.
#include <LibDispatch/Dispatcher.h>

namespace wigeonlift {

// How soon a slow call looks again for an idle slot and for room in the budget.
inline constexpr Duration HedgeRetry = std::chrono::milliseconds(5);

template <ChoicePolicy Policy>
void Dispatcher<Policy>::callArrived(const CallSpec &spec, TimePoint now, Commands &out) {
  const auto flow = Admitted.flowOf(spec.Entry);
  if (!flow) {
    out.push_back(FailCall{spec.Id, {FailureKind::NoEntry, Execution::NotRun, {}}});
    return;
  }
  if (now >= spec.Deadline) {
    out.push_back(FailCall{spec.Id, {FailureKind::DeadlineExceeded, Execution::NotRun, {}}});
    return;
  }
  const Duration typical = Hedger.median().value_or(Duration::zero());
  if (const auto refusal = Admitted.admit(*flow, spec.Deadline - now - typical, now)) {
    out.push_back(FailCall{spec.Id, *refusal});
    return;
  }
  const Duration wait = Admitted.expectedWait(*flow, now);
  if (now + wait >= spec.Deadline && Table.hasPermission(now)) {
    Admitted.didRefuseByDeadline(*flow);
    out.push_back(FailCall{spec.Id, {FailureKind::Overloaded, Execution::NotRun, wait}});
    return;
  }
  Call *call = Calls.add(spec);
  if (!call)
    return;
  call->Flow = *flow;
  call->QueuedAt = now;
  call->IsQueued = true;
  call->QueuedBehind = Admitted.enqueue(*flow, spec.Id);
  Timers.add({spec.Deadline, TimerKind::Deadline, spec.Id, {}});
  pump(now, out);
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
  pump(now, out);
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::pump(TimePoint now, Commands &out) {
  if (Admitted.queued() == 0)
    return;
  Admitted.beginRound(now);
  while (const auto flow = Admitted.nextFlow())
    if (!startHead(*flow, now, out))
      Admitted.skip(*flow);
}

template <ChoicePolicy Policy>
bool Dispatcher<Policy>::startHead(std::size_t flow, TimePoint now, Commands &out) {
  Call &call = *Calls.find(Admitted.head(flow));
  if (now >= call.Spec.Deadline) {
    deadlinePassed(call, now, out);
    return true;
  }
  if (startTrial(flow, call, now, out))
    return true;
  // A call that waited in vain gives its place to one that can still be answered in time.
  const Duration typical = Hedger.median().value_or(Duration::zero());
  if (now > call.QueuedAt && call.MayHaveRun == 0 && now + typical >= call.Spec.Deadline) {
    deadlinePassed(call, now, out);
    return true;
  }
  const auto upstream =
      choose({call.avoided(), call.isExport(), false, Features.UsesOutlierEjection}, now);
  if (!upstream)
    return false;
  didTakeFromQueue(flow, call, now);
  startAttempt(call, *upstream, false, now, out);
  return true;
}

template <ChoicePolicy Policy>
bool Dispatcher<Policy>::startTrial(std::size_t flow, Call &call, TimePoint now, Commands &out) {
  if (!Features.UsesOutlierEjection || call.isExport())
    return false;
  // A trial may be slow or fail, so it takes calls that can be hedged and repeated, if there are
  // any.
  const bool isRepeatable = call.isIdempotent() && call.ExtraLeft > 0;
  const auto upstream = Table.findDueTrial(call.avoided(), isRepeatable, now);
  if (!upstream)
    return false;
  didTakeFromQueue(flow, call, now);
  judge().didStartTrial(startAttempt(call, *upstream, false, now, out));
  return true;
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::didTakeFromQueue(std::size_t flow, Call &call, TimePoint now) {
  Admitted.didStart(flow, call.QueuedAt, call.QueuedBehind, now);
  call.StartedAt = now;
  call.IsQueued = false;
  if (call.Starts > 0)
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
  return candidates[Choice.choose(candidates, Rng)].Upstream;
}

template <ChoicePolicy Policy>
Attempt &Dispatcher<Policy>::startAttempt(Call &call, UpstreamIndex upstream, bool isHedge,
                                          TimePoint now, Commands &out) {
  Attempt &attempt = Calls.start(call, upstream, now);
  attempt.Turns = Table.estimateLatency(upstream, now);
  attempt.IsHedge = isHedge;
  attempt.IsResume = call.NeedsResume;
  // What this level keeps for its own retries and hedges it does not pass on.
  attempt.PassedOn = call.ExtraLeft / 2;
  call.ExtraLeft -= attempt.PassedOn;
  ++Attempts;
  ++Table[upstream].OwnInFlight;
  ++Table[upstream].Attempts;
  if (attempt.IsExport)
    Table.didStartExport(upstream);
  out.push_back(StartAttempt{attempt.Id, call.Spec.Id, upstream, call.Spec.Deadline,
                             attempt.PassedOn, call.Spec.Class == CallClass::NonIdempotent,
                             attempt.IsResume});
  return attempt;
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::requeue(Call &call, TimePoint now) {
  Admitted.didEnd(call.Flow, now - call.StartedAt);
  call.QueuedAt = now;
  call.QueuedBehind = 0;
  call.IsQueued = true;
  Admitted.requeue(call.Flow, call.Spec.Id);
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::armSlowTimer(const Attempt &attempt) {
  if (!attempt.IsExport && Hedger.delay())
    Timers.add({attempt.SentAt + *Hedger.delay(), TimerKind::Slow, attempt.Call, attempt.Id});
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::hedge(Call &call, TimePoint now, Commands &out) {
  if (!Features.UsesHedging || !call.isIdempotent() || call.HasHedged || call.running().size() != 1)
    return;
  // In overload a second attempt delays a first one. But for those that wait for the rate of their
  // entry, calls wait here only when nothing is idle.
  const bool isOverloaded = Admitted.isBacklogged();
  if (call.ExtraLeft < 1 || isOverloaded || !Hedger.hasRoom()) {
    Timers.add({now + HedgeRetry, TimerKind::Hedge, call.Spec.Id, {}});
    return;
  }
  call.avoid(Calls.find(call.running().front())->Upstream);
  const auto upstream = choose({call.avoided(), false, true, true}, now);
  if (!upstream) {
    Timers.add({now + HedgeRetry, TimerKind::Hedge, call.Spec.Id, {}});
    return;
  }
  Hedger.take();
  --call.ExtraLeft;
  call.HasHedged = true;
  ++Hedges;
  startAttempt(call, *upstream, true, now, out);
}

} // namespace wigeonlift
