#include <LibDispatch/Dispatcher.h>

#include <LibDispatch/DispatcherAttempts.h>
#include <LibDispatch/DispatcherPlacement.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Minimum retry time for a call that failed because no upstream was permitted.
constexpr Duration NoUpstreamMinRetryAfter = std::chrono::milliseconds(50);

} // namespace

template <ChoicePolicy Policy>
Dispatcher<Policy>::Dispatcher(std::uint64_t seed, TimePoint startedAt)
    : Rng(seed), Table(seed), Probes(startedAt) {}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::setCatalogue(std::shared_ptr<const Catalogue> catalogue,
                                      std::uint32_t service, TimePoint now, Commands &out) {
  CurrentCatalogue = std::move(catalogue);
  Service = service;
  const ServiceSpec &spec = CurrentCatalogue->Services[service];
  const int maxVms = std::max(1, CurrentCatalogue->Fleet.MaxEntryVms);
  Table.setLimits({std::max(1, spec.Slots), maxVms,
                   std::max(1, spec.ConnectionsPerUpstream / maxVms),
                   CurrentCatalogue->Fleet.PermissionLifetime});
  Table.updateSubset();
  Admission.setCatalogue(*CurrentCatalogue, service, now);
  Probes.setBudget(spec.ProbeBudget, maxVms, now);
  RetryBudget.setPercent(spec.RetryPercent);
  Hedger.setPercent(spec.HedgePercent);
  startQueuedCalls(now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::setUpstreams(std::span<const UpstreamSpec> upstreams, TimePoint now,
                                      Commands &out) {
  for (const UpstreamIndex it : Registry.setUpstreams(upstreams, Table, now))
    out.push_back(AnnounceUpstreamDrain{it});
  Table.updateSubset();
  Probes.growTo(Table.size(), now);
  startQueuedCalls(now, out);
  startProbes(now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::setLimitShare(std::uint32_t entry, double leasedRate, int leasedInFlight,
                                       TimePoint leaseExpiresAt, TimePoint now, Commands &out) {
  Admission.setLimitShare(entry, leasedRate, leasedInFlight, leaseExpiresAt, now);
  startQueuedCalls(now, out);
}

// Evidence and probes.

template <ChoicePolicy Policy>
void Dispatcher<Policy>::applyDirectEvidence(const UpstreamEvidence &evidence, TimePoint now,
                                             Commands &out) {
  if (wigeonlift::applyDirectEvidence(Table, evidence, now))
    out.push_back(AnnounceUpstreamDrain{evidence.Upstream});
}

template <ChoicePolicy Policy> bool Dispatcher<Policy>::mayWriteProbe(ProbeId id, TimePoint now) {
  return Probes.mayWrite(id, now);
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::didWriteProbe(ProbeId id, TimePoint now) {
  Probes.didWrite(id, now);
  NextProbeCheck = Probes.nextCheck(now);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::probeAnswered(ProbeId id, const LoadReport &report, TimePoint now,
                                       Commands &out) {
  const auto probe = Probes.finish(id, now);
  if (!probe)
    return;
  Table[probe->Upstream].IsProbed = false;
  if (probe->SentAt)
    applyDirectEvidence({probe->Upstream, *probe->SentAt, report}, now, out);
  startQueuedCalls(now, out);
  startProbes(now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::probeFailed(ProbeId id, TimePoint now, Commands &out) {
  if (const auto probe = Probes.finish(id, now))
    Table[probe->Upstream].IsProbed = false;
  startProbes(now, out);
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::startProbes(TimePoint now, Commands &out) {
  if (const auto probe = Probes.startDueProbe(Table, Rng, now))
    out.push_back(*probe);
  NextProbeCheck = Probes.nextCheck(now);
}

template <ChoicePolicy Policy>
Duration Dispatcher<Policy>::retryAfterNoUpstream(TimePoint now) const {
  const TimePoint next = Probes.nextPermit();
  return next == TimePoint::max() ? Table.limits().PermissionLifetime
                                  : std::max(next - now, NoUpstreamMinRetryAfter);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::peerEvidence(const UpstreamEvidence &evidence, TimePoint now,
                                      Commands &out) {
  if (applyPeerEvidence(Table, evidence, now))
    out.push_back(AnnounceUpstreamDrain{evidence.Upstream});
  startQueuedCalls(now, out);
}

template <ChoicePolicy Policy>
std::vector<UpstreamEvidence> Dispatcher<Policy>::freshEvidence(TimePoint now) const {
  return wigeonlift::freshEvidence(Table, now);
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::didPause(TimePoint now, Commands &out) {
  Table.discardObservations(now);
  tick(now, out);
}

// Timers and state.

template <ChoicePolicy Policy> void Dispatcher<Policy>::tick(TimePoint now, Commands &out) {
  Admission.tick(now);
  // The current median is not used because it grows with the queues. Reports would then count for
  // longer, VMs would choose the same upstreams, and the queues would grow further.
  if (const auto unloaded = Hedger.unloadedMedian())
    Table.setReportDecay(*unloaded / 2);
  while (const auto timer = Timers.popDue(now)) {
    Call *call = Calls.find(timer->Call);
    // A response that is being relayed may continue past the deadline, because the caller has
    // already received part of it.
    if (!call || (call->HasResponse && !call->IsQueued))
      continue;
    if (timer->Kind == TimerKind::Deadline) {
      deadlinePassed(*call, now, out);
      continue;
    }
    Attempt *attempt = timer->Kind == TimerKind::Slow ? Calls.find(timer->Attempt) : nullptr;
    if (attempt)
      recorder().didStayUnanswered(*attempt, now);
    if (attempt || timer->Kind == TimerKind::Hedge)
      hedge(*call, now, out);
  }
  for (const UpstreamIndex it : Probes.expire(now))
    Table[it].IsProbed = false;
  startQueuedCalls(now, out);
  startProbes(now, out);
}

template <ChoicePolicy Policy> std::optional<TimePoint> Dispatcher<Policy>::nextWakeup() const {
  std::optional<TimePoint> next = Timers.next();
  if (const auto admissionWakeup = Admission.nextWakeup())
    next = std::min(next.value_or(*admissionWakeup), *admissionWakeup);
  if (NextProbeCheck != TimePoint::max())
    next = std::min(next.value_or(NextProbeCheck), NextProbeCheck);
  return next;
}

template <ChoicePolicy Policy> DispatcherState Dispatcher<Policy>::state(TimePoint now) const {
  DispatcherState state;
  state.Service = CurrentCatalogue ? CurrentCatalogue->Services[Service].Name : "";
  state.Entries = Admission.snapshots();
  for (std::uint32_t n = 0; n < Table.size(); ++n) {
    const UpstreamIndex index{n};
    state.Upstreams.push_back(snapshotOf(Table, index, Registry.spec(index), now));
    state.Upstreams.back().Probes = Probes.started(index);
  }
  state.Calls = static_cast<int>(Calls.callCount());
  state.AttemptsRunning = static_cast<int>(Calls.attemptCount());
  state.Attempts = Attempts;
  state.Retries = Retries;
  state.Hedges = Hedges;
  state.HedgeWins = HedgeWins;
  state.HedgeDelay = Hedger.delay().value_or(Duration::zero());
  state.Probes = Probes.started();
  state.ProbesPerWindow = Probes.probesPerWindow();
  return state;
}

template class Dispatcher<RandomChoice>;
template class Dispatcher<RoundRobin>;
template class Dispatcher<LeastLocal>;
template class Dispatcher<TwoChoices>;
template class Dispatcher<LeastExpectedWait>;

} // namespace wigeonlift
