#pragma once

#include <LibBalance/LibBalance.h>

#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace wigeonlift::test {

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

/// Requests of one kind that arrive at random during a span of the run.
struct KindOfLoad {
  double PerSecond = 0;
  Duration From{};
  Duration To{};
  int Priority = 0;
  Duration Work{};
  Duration Objective{};
  Duration Deadline{};
};

struct OverloadedFleetOptions {
  int Vms = 12;
  int Upstreams = 12;
  int Slots = 4;
  std::vector<KindOfLoad> Loads;
  /// Requests that upstreams reject, for reasons that their reports don't show.
  double RejectedFraction = 0;
  /// From then on, half of the upstreams are gone.
  Duration HalfLostAt = Duration::max();
  bool HasOverloadControl = true;
};

/// VMs whose callers send more requests to shared upstreams than these serve. VMs tell two others
/// each 0.5 s whether they are short. Callers that are rejected wait as long as they are told, if
/// that is at most a third of their time left, and return once, to any VM. No network delays.
class OverloadedFleet {
public:
  struct Outcome {
    int Requests = 0;
    int Served = 0;
    int Timely = 0;
    /// Requests that were rejected although their caller had returned.
    int RejectedTwice = 0;
    double served() const { return static_cast<double>(Served) / Requests; }
    double timely() const { return static_cast<double>(Timely) / Requests; }
  };

  OverloadedFleet(OverloadedFleetOptions options, std::uint64_t seed)
      : Options(std::move(options)), Rng(seed), Running(Options.Upstreams) {
    for (int n = 0; n < Options.Upstreams; ++n)
      Infos.push_back({.Index = UpstreamIndex{static_cast<std::uint32_t>(n)},
                       .FleetKey = UINT64_MAX / Options.Upstreams * n,
                       .IsInLocalDataCentre = true,
                       .Slots = Options.Slots});
    for (int n = 0; n < Options.Vms; ++n) {
      Vms.push_back(std::make_unique<ServiceBalancer>(seed + n, Now - std::chrono::minutes{1}));
      Vms.back()->setOverloadControl(Options.HasOverloadControl);
      Vms.back()->setRetryBudget(0.2, 20, std::chrono::seconds{10});
      Vms.back()->setProbeRate(400, Now);
      act(n, [&](auto &vm, auto &out) { vm.setUpstreams(Infos, Now, out); });
      after(ms(500 * n / Options.Vms), [this, n] { gossip(n); });
    }
    for (const KindOfLoad &it : Options.Loads)
      after(it.From, [this, &it] { arrive(it); });
    if (Options.HalfLostAt < Duration::max())
      after(Options.HalfLostAt, [this] { loseHalf(); });
  }

  void run(Duration span) {
    const TimePoint end = Now + span;
    while (!Events.empty() && Events.top().At <= end) {
      const Event event = Events.top();
      Events.pop();
      Now = event.At;
      event.Run();
    }
    Now = end;
  }
  /// Outcome of all requests that arrived so far, by priority.
  std::map<int, Outcome> Outcomes;
  /// Mean admitted fraction of priority 1 over all VMs, every 0.5 s.
  std::vector<double> Admitted;

private:
  struct Event {
    TimePoint At;
    std::uint64_t Sequence;
    std::function<void()> Run;
    bool operator>(const Event &other) const {
      return std::pair{At, Sequence} > std::pair{other.At, other.Sequence};
    }
  };

  void after(Duration delay, std::function<void()> run) {
    Events.push({.At = Now + delay, .Sequence = ++LastEvent, .Run = std::move(run)});
  }
  void act(int vm, const std::function<void(ServiceBalancer &, BalanceCommands &)> &what) {
    BalanceCommands out;
    what(*Vms[vm], out);
    for (const BalanceCommand &it : out)
      std::visit([&](const auto &command) { execute(vm, command); }, it);
    if (const auto next = Vms[vm]->nextWakeup();
        next && !(WakeupAt[vm] > Now && WakeupAt[vm] <= *next)) {
      WakeupAt[vm] = std::max(*next, Now + std::chrono::microseconds{200});
      after(WakeupAt[vm] - Now, [this, vm, due = WakeupAt[vm]] {
        if (WakeupAt[vm] == due)
          act(vm, [&](auto &balancer, auto &out) { balancer.tick(Now, out); });
      });
    }
  }
  void arrive(const KindOfLoad &kind) {
    after(fromSeconds(-std::log(1 - Rng.unit()) / kind.PerSecond), [this, &kind] {
      if (Now - Begin < kind.To)
        arrive(kind);
    });
    ++Outcomes[kind.Priority].Requests;
    send({.Id = CallId{++LastCall},
          .Kind = static_cast<std::uint32_t>(kind.Priority),
          .ArrivedAt = Now,
          .TargetLatency = kind.Objective,
          .Objective = Now + kind.Objective,
          .Deadline = Now + kind.Deadline,
          .Priority = kind.Priority,
          .MaxAttempts = 3});
  }
  void send(const RequestSpec &spec) {
    Specs[spec.Id] = spec;
    act(static_cast<int>(Rng.below(Vms.size())),
        [&](auto &vm, auto &out) { vm.requestArrived(spec, Now, out); });
  }
  void execute(int vm, const SendRequest &command) {
    bool maySend = false;
    act(vm, [&](auto &it, auto &out) { maySend = it.maySend(command.Attempt, Now, out); });
    if (!maySend)
      return;
    int &running = Running[command.Upstream.Value];
    if (Options.RejectedFraction > 0 && Rng.unit() < Options.RejectedFraction)
      return after(ms(2), [this, vm, command] { respond(vm, command, ResponseKind::NotRun); });
    ++running;
    const auto kind =
        std::ranges::find(Options.Loads, Specs[command.Call].Priority, &KindOfLoad::Priority);
    const double slowness = (running > 0.8 * Options.Slots ? 1.7 : 1) *
                            std::max(1.0, static_cast<double>(running) / Options.Slots);
    after(fromSeconds(slowness * toSeconds(kind->Work)), [this, vm, command] {
      --Running[command.Upstream.Value];
      respond(vm, command, ResponseKind::Success);
    });
  }
  void respond(int vm, const SendRequest &command, ResponseKind kind) {
    const LoadReport load = loadOf(command.Upstream);
    act(vm, [&](auto &it, auto &out) {
      if (it.responseReceived(command.Attempt, {.Kind = kind, .Load = load}, Now, out) ==
          ResponseAction::Relay) {
        const RequestSpec &spec = Specs[command.Call];
        Outcomes[spec.Priority].Served += Now <= spec.Deadline ? 1 : 0;
        Outcomes[spec.Priority].Timely += Now <= spec.Objective ? 1 : 0;
      }
    });
  }
  void execute(int vm, const SendProbe &command) {
    after(ms(1), [this, vm, command] {
      act(vm, [&](auto &it, auto &out) {
        it.probeAnswered(command.Probe, loadOf(command.Upstream), Now, out);
      });
    });
  }
  void execute(int /*vm*/, const AbortAttempt & /*command*/) {}
  void execute(int /*vm*/, const RefuseRequest &command) {
    RequestSpec spec = Specs[command.Call];
    const Duration wait = command.Reason.RetryAfter;
    if (spec.IsReturning)
      ++Outcomes[spec.Priority].RejectedTwice;
    else if (wait > Duration::zero() && wait <= (spec.Deadline - Now) / 3)
      after(wait, [this, spec]() mutable {
        spec.Id = CallId{++LastCall};
        spec.ArrivedAt = Now;
        spec.IsReturning = true;
        send(spec);
      });
  }
  void gossip(int vm) {
    const auto shortage = Vms[vm]->shortage(Now);
    for (int n = 0; n < 2; ++n)
      if (const auto to = static_cast<int>(Rng.below(Vms.size())); to != vm)
        Vms[to]->didHearShortage(static_cast<std::uint32_t>(vm), shortage, Now);
    if (vm == 0) {
      double sum = 0;
      for (const auto &it : Vms)
        sum += it->admission().admittedFraction(1);
      Admitted.push_back(sum / static_cast<double>(Vms.size()));
    }
    after(ms(500), [this, vm] { gossip(vm); });
  }
  void loseHalf() {
    Infos.resize(Infos.size() / 2);
    for (int n = 0; n < Options.Vms; ++n)
      act(n, [&](auto &vm, auto &out) { vm.setUpstreams(Infos, Now, out); });
  }
  LoadReport loadOf(UpstreamIndex upstream) const {
    const int running = Running[upstream.Value];
    return {.InFlight = std::min(running, Options.Slots),
            .Queued = std::max(0, running - Options.Slots),
            .Slots = Options.Slots};
  }

  static constexpr TimePoint Begin{std::chrono::seconds{1000}};
  OverloadedFleetOptions Options;
  Random Rng;
  TimePoint Now = Begin;
  std::vector<int> Running;
  std::vector<UpstreamInfo> Infos;
  std::vector<std::unique_ptr<ServiceBalancer>> Vms;
  std::map<int, TimePoint> WakeupAt;
  std::map<CallId, RequestSpec> Specs;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::uint64_t LastEvent = 0;
  std::uint64_t LastCall = 0;
};

} // namespace wigeonlift::test
