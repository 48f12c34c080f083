#include "Fleet.h"

#include "Runs.h"

#include <fmt/format.h>

namespace wigeonlift::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration PingPeriod = 1s;
constexpr std::size_t EvidencePerPing = 16;
constexpr int RumourPeers = 3;
constexpr int ExtraAttempts = 4;
constexpr int OldConnections = 3;
constexpr Duration SilenceTimeout = 500ms;
constexpr Duration ConnectTimeout = 100ms;
constexpr Duration ListLag = 10s;
constexpr double StragglerSlowness = 10;
constexpr double NoiseSlowness = 3;
constexpr Duration NoiseLength = 300ms;
constexpr Duration WarmingTime = 2s;
constexpr double ColdSlowness = 4;

} // namespace

template <ChoicePolicy Policy>
Fleet<Policy>::Fleet(const RunOptions &options)
    : Options(options), Outcomes(options), Rng(options.Seed + 1) {
  for (int n = 0; n < options.User.Upstreams; ++n) {
    Specs.push_back({fmt::format("up{}", n), fmt::format("10.0.0.{}:80", n), "a"});
    Upstreams.push_back(std::make_unique<FakeUpstream>(Events, Options, Rng.below(1'000'000'000)));
  }
}

template <ChoicePolicy Policy> RunResult Fleet<Policy>::run() {
  startVms();
  scheduleFaults();
  Arrivals arrivals(Events, Options, Outcomes, [this](const ArrivingCall &call) {
    const std::size_t vm = Rng.below(Vms.size());
    Calls.push_back({vm, call});
    on(vm, [&](Vm &it) {
      it.Decider.callArrived({CallId{call.Number}, call.Class,
                              call.Class == CallClass::Idempotent ? 0U : 1U,
                              Events.now() + CallDeadline, ExtraAttempts},
                             Events.now(), it.Out);
    });
  });
  arrivals.start();
  Events.runUntil(FaultStart + Options.Measured + 2 * CallDeadline);
  for (const auto &it : Upstreams)
    for (int n = 0; n < it->LateArrivals; ++n)
      Outcomes.didBreakRule();
  return Outcomes.result();
}

template <ChoicePolicy Policy> void Fleet<Policy>::startVms() {
  const auto catalogue = makeCatalogue(Options);
  for (int n = 0; n < Options.EntryVms; ++n)
    Vms.push_back(std::make_unique<Vm>(Vm{Dispatcher<Policy>(Rng.below(1'000'000'000), TimePoint{}),
                                          {},
                                          false,
                                          TimePoint::max(),
                                          std::vector<int>(Specs.size(), OldConnections)}));
  for (std::size_t vm = 0; vm < Vms.size(); ++vm) {
    on(vm, [&](Vm &it) {
      it.Decider.setCatalogue(catalogue, 0, Events.now(), it.Out);
      it.Decider.setUpstreams(Specs, Events.now(), it.Out);
    });
    Events.after(fromSeconds(Rng.unit()), [this, vm] { ping(vm); });
  }
}

template <ChoicePolicy Policy> void Fleet<Policy>::scheduleFaults() {
  Events.at(FaultStart, [this] {
    switch (Options.Scenario) {
    case ScenarioKind::Straggler:
      Upstreams[0]->Slowness = StragglerSlowness;
      break;
    case ScenarioKind::FastFailure:
      Upstreams[0]->FailsFast = true;
      break;
    case ScenarioKind::Drain:
      Upstreams[0]->startDraining();
      Events.after(ListLag, [this] {
        Specs[0].IsLeaving = true;
        for (std::size_t vm = 0; vm < Vms.size(); ++vm)
          on(vm, [&](Vm &it) { it.Decider.setUpstreams(Specs, Events.now(), it.Out); });
      });
      break;
    case ScenarioKind::ColdStart:
      Upstreams[0]->IsWarming = true;
      warmUpstream(0);
      break;
    case ScenarioKind::NoisyNeighbour:
      scheduleNoise();
      break;
    case ScenarioKind::CutOff:
      IsCut = true;
      break;
    case ScenarioKind::Steady:
    case ScenarioKind::Burst:
    case ScenarioKind::LaggingReports:
      break;
    }
  });
}

template <ChoicePolicy Policy> void Fleet<Policy>::scheduleNoise() {
  // On average every upstream is slow once in 4 s.
  const double seconds = 4 * Rng.unit() * 2 / static_cast<double>(Upstreams.size());
  Events.after(fromSeconds(seconds), [this] {
    const std::size_t upstream = Rng.below(Upstreams.size());
    Upstreams[upstream]->Slowness = NoiseSlowness;
    Events.after(NoiseLength, [this, upstream] { Upstreams[upstream]->Slowness = 1; });
    scheduleNoise();
  });
}

template <ChoicePolicy Policy> void Fleet<Policy>::warmUpstream(std::size_t upstream) {
  const double part = toSeconds(Events.now() - FaultStart) / toSeconds(WarmingTime);
  Upstreams[upstream]->IsWarming = part < 1;
  Upstreams[upstream]->Slowness = std::max(1.0, ColdSlowness + (1 - ColdSlowness) * part);
  if (part < 1)
    Events.after(50ms, [this, upstream] { warmUpstream(upstream); });
}

template <ChoicePolicy Policy> void Fleet<Policy>::ping(std::size_t vm) {
  const std::size_t peer = Rng.below(Vms.size());
  if (peer != vm && !isPeerCut(vm, peer)) {
    tellEvidence(vm, peer);
    Events.after(Options.User.OneWay, [this, vm, peer] { tellEvidence(peer, vm); });
  }
  Events.after(PingPeriod, [this, vm] { ping(vm); });
}

template <ChoicePolicy Policy> void Fleet<Policy>::tellEvidence(std::size_t from, std::size_t to) {
  auto evidence = Vms[from]->Decider.freshEvidence(Events.now());
  evidence.resize(std::min(evidence.size(), EvidencePerPing));
  Events.after(Options.User.OneWay, [this, to, evidence] {
    on(to, [&](Vm &it) {
      for (const UpstreamEvidence &item : evidence)
        it.Decider.peerEvidence(item, Events.now(), it.Out);
    });
  });
}

template <ChoicePolicy Policy>
void Fleet<Policy>::tellDrain(std::size_t from, UpstreamIndex upstream) {
  const UpstreamEvidence evidence{upstream, Events.now(), {0, 0, 0, UpstreamState::Draining}};
  for (int n = 0; n < RumourPeers; ++n) {
    const std::size_t to = Rng.below(Vms.size());
    if (!isPeerCut(from, to))
      Events.after(Options.User.OneWay, [this, to, evidence] {
        on(to, [&](Vm &it) { it.Decider.peerEvidence(evidence, Events.now(), it.Out); });
      });
  }
}

template <ChoicePolicy Policy>
bool Fleet<Policy>::isCut(std::size_t vm, UpstreamIndex upstream) const {
  return IsCut && vm % 2 == 0 && upstream.Value % 2 == 0;
}

template <ChoicePolicy Policy> bool Fleet<Policy>::isPeerCut(std::size_t a, std::size_t b) const {
  return IsCut && a % 2 != b % 2;
}

template <ChoicePolicy Policy>
template <typename Event>
void Fleet<Policy>::on(std::size_t vm, Event event) {
  event(*Vms[vm]);
  execute(vm);
}

template <ChoicePolicy Policy> void Fleet<Policy>::execute(std::size_t vm) {
  Vm &it = *Vms[vm];
  if (it.IsExecuting)
    return;
  it.IsExecuting = true;
  for (std::size_t n = 0; n < it.Out.size(); ++n) {
    const Command command = it.Out[n];
    std::visit([&](const auto &value) { handle(vm, value); }, command);
  }
  it.Out.clear();
  it.IsExecuting = false;
  armWakeup(vm);
}

template <ChoicePolicy Policy> void Fleet<Policy>::armWakeup(std::size_t vm) {
  const auto next = Vms[vm]->Decider.nextWakeup();
  if (!next || *next >= Vms[vm]->WakeupAt)
    return;
  // A wake-up that changes nothing must not stop the virtual clock.
  const TimePoint due = std::max(*next, Events.now() + 100us);
  Vms[vm]->WakeupAt = due;
  Events.at(due, [this, vm, due] {
    if (Vms[vm]->WakeupAt != due)
      return;
    Vms[vm]->WakeupAt = TimePoint::max();
    on(vm, [&](Vm &it) { it.Decider.tick(Events.now(), it.Out); });
  });
}

template <ChoicePolicy Policy>
void Fleet<Policy>::handle(std::size_t vm, const StartAttempt &command) {
  Vm &it = *Vms[vm];
  if (isCut(vm, command.Upstream)) {
    sendCut(vm, command);
    return;
  }
  if (!it.Decider.mayWrite(command.Attempt, Events.now(), it.Out))
    return;
  const std::uint64_t call = command.Call.Value;
  Outcomes.didSend(call);
  const std::uint64_t id = key(vm, command.Attempt);
  SentTo[id] = {command.Upstream, call};
  Request request{id, command.Deadline, Calls[call].Call.ServiceSeconds,
                  [this, call] { Outcomes.didRun(call); },
                  [this, vm, command](const ResponseHead &head) {
                    Events.after(Options.User.OneWay, [this, vm, command, head] {
                      on(vm, [&](Vm &at) {
                        at.Decider.responseStarted(command.Attempt, head, Events.now(), at.Out);
                      });
                      on(vm, [&](Vm &at) {
                        at.Decider.responseFinished(command.Attempt, Events.now(), at.Out);
                      });
                    });
                  }};
  Events.after(Options.User.OneWay,
               [this, to = command.Upstream.Value, request = std::move(request)] {
                 Upstreams[to]->arrive(request);
               });
}

template <ChoicePolicy Policy>
void Fleet<Policy>::sendCut(std::size_t vm, const StartAttempt &command) {
  Vm &it = *Vms[vm];
  int &silent = it.SilentConnections[command.Upstream.Value];
  const bool isSilent = silent > 0;
  if (isSilent) {
    --silent;
    if (!it.Decider.mayWrite(command.Attempt, Events.now(), it.Out))
      return;
    Outcomes.didSend(command.Call.Value);
  }
  Events.after(isSilent ? SilenceTimeout : ConnectTimeout, [this, vm, command, isSilent] {
    const FailureStage stage = isSilent ? FailureStage::AfterWrite : FailureStage::BeforeWrite;
    on(vm, [&](Vm &at) { at.Decider.attemptFailed(command.Attempt, stage, Events.now(), at.Out); });
  });
}

template <ChoicePolicy Policy>
void Fleet<Policy>::handle(std::size_t vm, const CancelAttempt &command) {
  const std::uint64_t id = key(vm, command.Attempt);
  const auto it = SentTo.find(id);
  if (it == SentTo.end())
    return;
  Events.after(Options.User.OneWay,
               [this, id, to = it->second.first.Value] { Upstreams[to]->cancel(id); });
}

template <ChoicePolicy Policy>
void Fleet<Policy>::handle(std::size_t vm, const RelayResponse &command) {
  const auto it = SentTo.find(key(vm, command.Attempt));
  if (it == SentTo.end() || it->second.second != command.Call.Value)
    Outcomes.didBreakRule();
  if (command.Executed == Execution::Run)
    Outcomes.didSucceed(command.Call.Value, Events.now());
  else
    Outcomes.didFail(command.Call.Value, command.Executed);
}

template <ChoicePolicy Policy> void Fleet<Policy>::handle(std::size_t, const FailCall &command) {
  Outcomes.didFail(command.Call.Value, command.Reason.Executed);
}

template <ChoicePolicy Policy>
void Fleet<Policy>::handle(std::size_t vm, const StartProbe &command) {
  Vm &it = *Vms[vm];
  if (!it.Decider.mayWriteProbe(command.Probe, Events.now()))
    return;
  Outcomes.didProbe(command.Upstream.Value, Events.now());
  it.Decider.didWriteProbe(command.Probe, Events.now());
  if (isCut(vm, command.Upstream))
    return;
  Events.after(Options.User.OneWay, [this, vm, command] {
    const LoadReport report = Upstreams[command.Upstream.Value]->report();
    Events.after(Options.User.OneWay, [this, vm, command, report] {
      on(vm,
         [&](Vm &at) { at.Decider.probeAnswered(command.Probe, report, Events.now(), at.Out); });
    });
  });
}

template <ChoicePolicy Policy>
void Fleet<Policy>::handle(std::size_t vm, const AnnounceUpstreamDrain &command) {
  tellDrain(vm, command.Upstream);
}

template <typename Policy> static RunResult runPolicy(const RunOptions &options) {
  return Fleet<Policy>(options).run();
}

const std::vector<PolicyRun> &allPolicies() {
  static const std::vector<PolicyRun> all{
      {"random", runPolicy<RandomChoice>},       {"round-robin", runPolicy<RoundRobin>},
      {"least-local", runPolicy<LeastLocal>},    {"two-choices", runPolicy<TwoChoices>},
      {"default", runPolicy<LeastExpectedWait>}, {"shared-queue", runSharedQueue}};
  return all;
}

} // namespace wigeonlift::bench
