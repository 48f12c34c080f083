#pragma once

#include <LibBalance/LibBalance.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace wigeonlift {

inline constexpr TimePoint Start{std::chrono::seconds{1000}};
inline constexpr Duration WorkTime = std::chrono::milliseconds{120};

/// Drives a balancer in virtual time against simulated upstreams whose load the test sets.
/// Upstreams respond to probes immediately unless they are listed in `UnresponsiveUpstreams`.
class Harness {
public:
  explicit Harness(int upstreams, int localUpstreams = 0)
      : Balancer(7, Start - std::chrono::minutes{1}) {
    for (int n = 0; n < upstreams; ++n) {
      Upstreams.push_back(
          {.Index = index(n), .IsInLocalDataCentre = n < localUpstreams, .Slots = 3});
      Loads[index(n)] = LoadReport{.Slots = 3};
    }
    Balancer.setRetryBudget(0.2, 100, std::chrono::seconds{10});
    Balancer.setProbeRate(1000, Now);
    apply();
  }

  static UpstreamIndex index(int n) { return UpstreamIndex{static_cast<std::uint32_t>(n)}; }

  void apply() {
    BalanceCommands out;
    Balancer.setUpstreams(Upstreams, Now, out);
    handle(out);
  }

  RequestSpec spec(CallClass callClass = CallClass::Idempotent) {
    return {.Id = CallId{++LastCall},
            .Class = callClass,
            .Kind = 1,
            .ArrivedAt = Now,
            .TargetLatency = std::chrono::milliseconds{270},
            .Objective = Now + std::chrono::milliseconds{270},
            .Deadline = Now + std::chrono::milliseconds{800},
            .MaxAttempts = 2};
  }

  CallId arrive(const RequestSpec &spec) {
    BalanceCommands out;
    Balancer.requestArrived(spec, Now, out);
    handle(out);
    return spec.Id;
  }
  CallId arrive(CallClass callClass = CallClass::Idempotent) { return arrive(spec(callClass)); }

  void respond(const SendRequest &sent, ResponseKind kind) {
    BalanceCommands out;
    LastAction = Balancer.responseReceived(sent.Attempt,
                                           {.Kind = kind, .Load = Loads[sent.Upstream]}, Now, out);
    handle(out);
  }

  void fail(const SendRequest &sent, AttemptStage stage) {
    BalanceCommands out;
    Balancer.attemptFailed(sent.Attempt, stage, Now, out);
    handle(out);
  }

  /// Completes several requests, from which the balancer learns that a request takes `WorkTime`.
  void learnWorkTime() {
    for (int n = 0; n < 12; ++n) {
      const CallId id = arrive();
      const SendRequest sent = firstSendOf(id);
      advance(WorkTime);
      respond(sent, ResponseKind::Success);
    }
    Sent.clear();
  }

  /// Occupies all slots of all upstreams, and waits until earlier load reports are out of date.
  void fillUpstreams() {
    for (auto &[index, load] : Loads)
      load.InFlight = load.Slots;
    advance(std::chrono::milliseconds{50});
  }

  /// Advances the virtual time and calls `tick` at each wake-up that the balancer requests.
  void advance(Duration span) {
    const TimePoint end = Now + span;
    while (true) {
      const auto next = Balancer.nextWakeup();
      if (!next || *next > end)
        break;
      Now = std::max(Now + std::chrono::microseconds{100}, *next);
      BalanceCommands out;
      Balancer.tick(Now, out);
      handle(out);
    }
    Now = std::max(Now, end);
  }

  void handle(const BalanceCommands &commands) {
    for (const BalanceCommand &it : commands) {
      if (const auto *send = std::get_if<SendRequest>(&it)) {
        Slowness = Balancer.choice(send->Attempt)->Slowness;
        if (HoldsSends) {
          Held.push_back(*send);
          continue;
        }
        BalanceCommands out;
        if (Balancer.maySend(send->Attempt, Now, out))
          Sent.push_back(*send);
        handle(out);
      } else if (const auto *refusal = std::get_if<RefuseRequest>(&it)) {
        Refused[refusal->Call] = refusal->Reason;
      } else if (const auto *aborted = std::get_if<AbortAttempt>(&it)) {
        Aborted.push_back(aborted->Attempt);
      } else if (const auto *probe = std::get_if<SendProbe>(&it)) {
        ++Probes;
        if (std::ranges::find(UnresponsiveUpstreams, probe->Upstream) !=
            UnresponsiveUpstreams.end())
          continue;
        BalanceCommands out;
        if (HealthAnswer) {
          HealthAnswer->AskedAt = Now;
          Balancer.noticeReceived(probe->Upstream, probe->Upstream.Value,
                                  {.RateLimit = {}, .WarmupRemaining = HealthAnswer}, Now);
        }
        Balancer.probeAnswered(probe->Probe, Loads[probe->Upstream], Now, out);
        handle(out);
      }
    }
  }

  std::vector<SendRequest> sendsOf(CallId id) const {
    std::vector<SendRequest> result;
    for (const SendRequest &it : Sent)
      if (it.Call == id)
        result.push_back(it);
    return result;
  }
  SendRequest firstSendOf(CallId id) const { return sendsOf(id).at(0); }

  TimePoint Now = Start;
  ServiceBalancer Balancer;
  std::vector<UpstreamInfo> Upstreams;
  std::map<UpstreamIndex, LoadReport> Loads;
  std::vector<UpstreamIndex> UnresponsiveUpstreams;
  /// What health answers say of the warm-up.
  std::optional<WarmupReport> HealthAnswer;
  std::vector<SendRequest> Sent;
  /// Requests that wait for a connection, if `HoldsSends` is set.
  std::vector<SendRequest> Held;
  bool HoldsSends = false;
  /// Expected slowness of the upstream that was chosen last.
  double Slowness = 0;
  std::map<CallId, Failure> Refused;
  std::vector<AttemptId> Aborted;
  int Probes = 0;
  std::uint64_t LastCall = 0;
  ResponseAction LastAction = ResponseAction::Drop;
};

} // namespace wigeonlift
