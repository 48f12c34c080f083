#pragma once

#include "Arrivals.h"
#include "FakeUpstream.h"

#include <memory>
#include <vector>

namespace wigeonlift::bench {

/// Entry VMs with separate views, and the upstreams of one service.
template <ChoicePolicy Policy> class Fleet {
public:
  explicit Fleet(const RunOptions &options);
  RunResult run();

private:
  struct Vm {
    Dispatcher<Policy> Decider;
    Commands Out;
    bool IsExecuting = false;
    TimePoint WakeupAt = TimePoint::max();
    /// Old connections to each upstream that is cut off; they are silent.
    std::vector<int> SilentConnections;
  };
  struct CallInfo {
    std::size_t Vm = 0;
    ArrivingCall Call;
  };

  void startVms();
  void scheduleFaults();
  void scheduleNoise();
  void warmUpstream(std::size_t upstream);
  void ping(std::size_t vm);
  void tellEvidence(std::size_t from, std::size_t to);
  void tellDrain(std::size_t from, UpstreamIndex upstream);

  bool isCut(std::size_t vm, UpstreamIndex upstream) const;
  bool isPeerCut(std::size_t a, std::size_t b) const;
  /// Runs an event of a VM and executes the commands that it gives.
  template <typename Event> void on(std::size_t vm, Event event);
  void execute(std::size_t vm);
  void armWakeup(std::size_t vm);
  void handle(std::size_t vm, const StartAttempt &command);
  void handle(std::size_t vm, const CancelAttempt &command);
  void handle(std::size_t vm, const RelayResponse &command);
  void handle(std::size_t vm, const FailCall &command);
  void handle(std::size_t vm, const StartProbe &command);
  void handle(std::size_t vm, const AnnounceUpstreamDrain &command);
  void sendCut(std::size_t vm, const StartAttempt &command);
  std::uint64_t key(std::size_t vm, AttemptId id) const { return id.Value * Vms.size() + vm; }

  const RunOptions &Options;
  EventQueue Events;
  Tally Outcomes;
  Random Rng;
  std::vector<UpstreamSpec> Specs;
  std::vector<std::unique_ptr<FakeUpstream>> Upstreams;
  std::vector<std::unique_ptr<Vm>> Vms;
  std::vector<CallInfo> Calls;
  /// Upstream of each attempt that was sent, to know where to cancel it.
  std::unordered_map<std::uint64_t, std::pair<UpstreamIndex, std::uint64_t>> SentTo;
  bool IsCut = false;
};

} // namespace wigeonlift::bench
