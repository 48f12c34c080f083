#pragma once

#include <LibBalance/LibBalance.h>
#include <LibFleet/LibFleet.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace wigeonlift::test {

struct LimitedFleetOptions {
  int Vms = 12;
  int DataCentres = 3;
  int Upstreams = 12;
  /// Of the upstreams, how many name a limit at some time.
  double LimitedFraction = 0.7;
  double MinLimit = 0.1;
  double MaxLimit = 100;
  double RequestsPerSecond = 60;
  /// Whether all limits are named at once, and stay as they are instead of changing and ending.
  bool LimitsLast = false;
  /// Whether VMs lose power, freeze, are cut off from the others, and come back.
  bool HasFaults = true;
  /// Requests a second that cold upstreams accept. 0: no upstream is ever cold.
  double WarmupPerSecond = 0;
  /// Whether all upstreams are cold when all VMs start.
  bool StartsCold = false;
  /// Whether the fleet is separated into two parts for 12 s, twice, while VMs are cut off alone and
  /// restart.
  bool HasPartitions = false;
  /// Whether a third of the VMs join in the course of the run.
  bool HasLateVms = false;
};

/// A fleet of VMs whose callers send requests to upstreams that name rate limits. VMs and upstreams
/// are connected by a simulated network; one seed gives one run. Upstreams name their limits at
/// different times, change and end them, fail requests, and answer some slowly.
///
/// Each VM runs the code that decides what it sends to which upstream, and exchanges states with
/// other VMs. VMs lose power, freeze, are cut off from each other, and join.
///
/// Upstreams may also become cold, again and again. Their entries say so every 1.5 s, and reach VMs
/// up to 2.5 s later; VMs that are cut off miss them.
class LimitedFleet {
public:
  LimitedFleet(LimitedFleetOptions options, std::uint64_t seed);

  /// Simulates the whole run. Returns a line for each limit of an upstream that got more requests
  /// than the rule allows, from VMs without a recent fault.
  std::vector<std::string> run();
  /// Requests that were answered with success in the time in which upstreams name limits.
  int served() const { return Served; }
  /// What all limits together allowed in that time.
  double allowed() const;
  /// Requests that reached cold upstreams, and how many their rate allowed without its tolerance.
  int sentToCold() const;
  double allowedToCold() const;
  /// Of the spans in which an upstream was cold, how many passed without any request to it.
  int unusedColdSpans() const;
  /// Requests that were refused while they could still have met their objective.
  int refusedEarly() const { return RefusedEarly; }
  int requests() const { return Requests; }
  int healthChecks() const { return HealthChecks; }

private:
  struct LimitSpan {
    TimePoint Begin;
    TimePoint End;
    double RequestsPerSecond = 0;
  };
  struct ColdSpan {
    TimePoint Begin;
    TimePoint End;
  };
  struct Arrival {
    TimePoint At;
    int Vm = 0;
  };
  struct Upstream {
    std::vector<LimitSpan> Limits;
    std::vector<ColdSpan> ColdSpans;
    std::vector<Arrival> Arrivals;
    /// Whether health answers name the warm-up of a warm upstream as zero.
    bool NamesZero = false;
    int Running = 0;
    double FailureRatio = 0;
  };
  struct Vm {
    int Index = 0;
    /// Counts starts and ends, so that events of an earlier process are recognized.
    int Generation = 0;
    std::unique_ptr<FleetMembership> Members;
    std::unique_ptr<ServiceBalancer> Balancer;
    bool IsCut = false;
    /// Part of the fleet; VMs of different parts don't reach each other.
    int Part = 0;
    bool IsFrozen = false;
    std::vector<std::function<void()>> Deferred;
    std::optional<TimePoint> WakeupAt;
    std::map<CallId, TimePoint> Objectives;
    /// Spans in which faults of the VM excuse it.
    std::vector<std::pair<TimePoint, TimePoint>> Excuses;

    bool isRunning() const { return Balancer != nullptr; }
  };
  struct Event {
    TimePoint At;
    std::uint64_t Sequence;
    std::function<void()> Run;
    bool operator>(const Event &other) const {
      return std::pair{At, Sequence} > std::pair{other.At, other.Sequence};
    }
  };

  Duration between(Duration least, Duration most);
  bool chance(double probability) { return Rng.unit() < probability; }
  void at(TimePoint time, std::function<void()> run);
  /// Runs something in a VM's process: not at all after its end, and later if it is frozen.
  void inVm(Vm &vm, Duration delay, std::function<void()> run);

  void planLimits();
  void planWarmups();
  void planPartitions();
  /// The entry of an upstream is written; VMs learn of it one after the other.
  void writeEntry(int upstream);
  Duration warmupRemaining(int upstream) const;
  bool isReachable(const Vm &from, const Vm &to) const;
  void planFaults();
  void start(Vm &vm);
  void end(Vm &vm);
  void losePower(Vm &vm, Duration length);
  void freeze(Vm &vm, Duration length);
  void cut(Vm &vm, Duration length);

  void gossip(Vm &vm);
  void send(Vm &from, const std::vector<FleetDatagram> &datagrams);
  void arrive();
  void execute(Vm &vm, const BalanceCommands &commands);
  void sendRequest(Vm &vm, const SendRequest &command);
  void sendProbe(Vm &vm, const SendProbe &command);
  void serve(Vm &vm, const SendRequest &command);
  void answer(Vm &vm, const SendRequest &command);
  void armWakeup(Vm &vm);

  const LimitSpan *limitAt(const Upstream &upstream, TimePoint time) const;
  UpstreamNotice noticeOf(int upstream) const;
  LoadReport loadOf(int upstream) const;
  bool isExcused(const Arrival &arrival) const;
  void checkWarmups(int upstream, std::vector<std::string> &violations) const;
  std::vector<TimePoint> arrivalsIn(const Upstream &upstream, const ColdSpan &span) const;
  void check(int upstream, std::vector<std::string> &violations) const;

  LimitedFleetOptions Options;
  Random Rng;
  TimePoint Now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::uint64_t EventCount = 0;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::vector<Upstream> Upstreams;
  std::uint64_t LastCall = 0;
  int Requests = 0;
  int Served = 0;
  int RefusedEarly = 0;
  int HealthChecks = 0;
};

} // namespace wigeonlift::test
