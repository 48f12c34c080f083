#include <LibDispatch/Dispatcher.h>

#include <LibDispatch/DispatcherAttempts.h>
#include <LibDispatch/DispatcherPlacement.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Shortest time after which a call that found no upstream is worth repeating.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);

} // namespace

template <ChoicePolicy Policy>
Dispatcher<Policy>::Dispatcher(std::uint64_t seed, TimePoint startedAt)
    : Rng(seed), Table(seed), Probes(startedAt) {}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::setCatalogue(std::shared_ptr<const Catalogue> catalogue,
                                      std::uint32_t service, TimePoint now, Commands &out) {
  InEffect = std::move(catalogue);
  Service = service;
  const ServiceSpec &spec = InEffect->Services[service];
  const int vms = std::max(1, InEffect->Fleet.MaxEntryVms);
  Table.setLimits({std::max(1, spec.Slots), vms, std::max(1, spec.ConnectionsPerUpstream / vms),
                   InEffect->Fleet.PermissionLifetime});
  Table.updateSubset();
  Admitted.setCatalogue(*InEffect, service, now);
  Probes.setBudget(spec.ProbeBudget, vms, now);
  RetryBudget.setPercent(spec.RetryPercent);
  Hedger.setPercent(spec.HedgePercent);
  pump(now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::setUpstreams(std::span<const UpstreamSpec> upstreams, TimePoint now,
                                      Commands &out) {
  for (const UpstreamIndex it : Registry.setUpstreams(upstreams, Table, now))
    out.push_back(UpstreamLeaves{it});
  Table.updateSubset();
  Probes.growTo(Table.size(), now);
  pump(now, out);
  startProbes(now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::setLimitShare(std::uint32_t entry, double callsPerSecond, int inFlight,
                                       TimePoint until, TimePoint now, Commands &out) {
  Admitted.setLimitShare(entry, callsPerSecond, inFlight, until, now);
  pump(now, out);
}

// Evidence and probes.

template <ChoicePolicy Policy>
void Dispatcher<Policy>::didHear(const UpstreamEvidence &evidence, TimePoint now, Commands &out) {
  if (wigeonlift::didHear(Table, evidence, now))
    out.push_back(UpstreamLeaves{evidence.Upstream});
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
    didHear({probe->Upstream, *probe->SentAt, report}, now, out);
  pump(now, out);
  startProbes(now, out);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::probeFailed(ProbeId id, TimePoint now, Commands &out) {
  if (const auto probe = Probes.finish(id, now))
    Table[probe->Upstream].IsProbed = false;
  startProbes(now, out);
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::startProbes(TimePoint now, Commands &out) {
  if (const auto probe = Probes.startMostUseful(Table, Rng, now))
    out.push_back(*probe);
  NextProbeCheck = Probes.nextCheck(now);
}

template <ChoicePolicy Policy>
Duration Dispatcher<Policy>::retryAfterNoUpstream(TimePoint now) const {
  const TimePoint next = Probes.nextPermit();
  return next == TimePoint::max() ? Table.limits().PermissionLife
                                  : std::max(next - now, MinRetryAfter);
}

template <ChoicePolicy Policy>
void Dispatcher<Policy>::peerEvidence(const UpstreamEvidence &evidence, TimePoint now,
                                      Commands &out) {
  if (didHearFromPeer(Table, evidence, now))
    out.push_back(UpstreamLeaves{evidence.Upstream});
  pump(now, out);
}

template <ChoicePolicy Policy>
std::vector<UpstreamEvidence> Dispatcher<Policy>::freshEvidence(TimePoint now) const {
  return wigeonlift::freshEvidence(Table, now);
}

template <ChoicePolicy Policy> void Dispatcher<Policy>::didPause(TimePoint now, Commands &out) {
  Table.forgetAll(now);
  tick(now, out);
}

// Time.

template <ChoicePolicy Policy> void Dispatcher<Policy>::tick(TimePoint now, Commands &out) {
  Admitted.tick(now);
  // Not the present median: it grows with the queues, reports would then count for longer and make
  // VMs crowd on the same upstreams, and the queues would grow further.
  if (const auto unloaded = Hedger.unloadedMedian())
    Table.setReportDecay(*unloaded / 2);
  while (const auto timer = Timers.takeDue(now)) {
    Call *call = Calls.find(timer->Call);
    // A relayed response may run past the deadline; the caller has it already in part.
    if (!call || (call->HasResponse && !call->IsQueued))
      continue;
    if (timer->Kind == TimerKind::Deadline) {
      deadlinePassed(*call, now, out);
      continue;
    }
    Attempt *attempt = timer->Kind == TimerKind::Slow ? Calls.find(timer->Attempt) : nullptr;
    if (attempt)
      judge().didBecomeSlow(*attempt, now);
    if (attempt || timer->Kind == TimerKind::Hedge)
      hedge(*call, now, out);
  }
  for (const UpstreamIndex it : Probes.expire(now))
    Table[it].IsProbed = false;
  pump(now, out);
  startProbes(now, out);
}

template <ChoicePolicy Policy> std::optional<TimePoint> Dispatcher<Policy>::nextWakeup() const {
  std::optional<TimePoint> next = Timers.next();
  if (const auto share = Admitted.nextWakeup())
    next = std::min(next.value_or(*share), *share);
  if (NextProbeCheck != TimePoint::max())
    next = std::min(next.value_or(NextProbeCheck), NextProbeCheck);
  return next;
}

template <ChoicePolicy Policy> DispatcherState Dispatcher<Policy>::state(TimePoint now) const {
  DispatcherState state;
  state.Service = InEffect ? InEffect->Services[Service].Name : "";
  state.Entries = Admitted.figures();
  for (std::uint32_t n = 0; n < Table.size(); ++n) {
    const UpstreamIndex index{n};
    state.Upstreams.push_back(figuresOf(Table, index, Registry.spec(index), now));
    state.Upstreams.back().Probes = Probes.started(index);
  }
  state.Calls = static_cast<int>(Calls.calls());
  state.AttemptsRunning = static_cast<int>(Calls.attempts());
  state.Attempts = Attempts;
  state.Retries = Retries;
  state.Hedges = Hedges;
  state.HedgeWins = HedgeWins;
  state.HedgeDelay = Hedger.delay().value_or(Duration::zero());
  state.Probes = Probes.started();
  state.ProbesPerWindow = Probes.perWindow();
  return state;
}

template class Dispatcher<RandomChoice>;
template class Dispatcher<RoundRobin>;
template class Dispatcher<LeastLocal>;
template class Dispatcher<TwoChoices>;
template class Dispatcher<LeastExpectedWait>;

} // namespace wigeonlift
