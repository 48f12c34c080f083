#pragma once

#include "TaskParts.h"
#include "UpstreamAttempt.h"

#include <LibDispatch/LibDispatch.h>

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonlift {

/// Runs the dispatcher of one service: hands it events and executes its commands.
class ServiceRunner : public std::enable_shared_from_this<ServiceRunner> {
public:
  ServiceRunner(TaskParts &parts, std::string name, std::uint64_t seed);

  void setCatalogue(const std::shared_ptr<const Catalogue> &catalogue, std::uint32_t service);
  /// Takes the upstreams of the platform's list. They have an effect once a catalogue is set.
  void setUpstreams(std::vector<UpstreamSpec> upstreams);
  /// The catalogue in effect has no such service: probes and new work end.
  void didRemove();
  void setLimitShare(std::uint32_t entry, const LimitShareChanged &share);
  std::vector<EntrySnapshot> entries() const { return Core.entries(); }
  void peerEvidence(std::span<const NamedEvidence> items);
  std::vector<NamedEvidence> freshEvidence();
  void didPause(TimePoint now);

  void callArrived(const std::shared_ptr<ProxiedCall> &call);
  /// The caller is gone: the call ends without an answer.
  void callerLeft(CallId call);

  /// Asked right before the first byte of a request is written. On false the attempt is over and
  /// its connection is unused.
  bool mayWrite(const std::shared_ptr<UpstreamAttempt> &attempt);
  void responseStarted(const std::shared_ptr<UpstreamAttempt> &attempt);
  /// The body was read to its end.
  void responseFinished(const std::shared_ptr<UpstreamAttempt> &attempt);
  /// The attempt failed. When its response is being relayed the call gets another event.
  void attemptFailed(const std::shared_ptr<UpstreamAttempt> &attempt, FailureStage stage);
  std::shared_ptr<UpstreamPool> poolOf(UpstreamIndex upstream);

  bool mayWriteProbe(const StartProbe &probe);
  void didWriteProbe(ProbeId probe);
  /// No connection could be opened for the probe, which counts as one that was sent.
  void probeNotSent(const StartProbe &probe);
  /// The probe ended, without a report when it failed.
  void probeEnded(ProbeId probe, const std::optional<LoadReport> &report);

  TaskParts &parts() { return Parts; }
  const std::string &name() const { return Name; }
  /// Closes connections whose response has made no progress for long.
  void closeStalled(TimePoint now);
  DispatcherState state() { return Core.state(Parts.Clock.now()); }

private:
  void run(const Commands &commands);
  void execute(const StartAttempt &command);
  void execute(const CancelAttempt &command);
  void execute(const RelayResponse &command);
  void execute(const FailCall &command);
  void execute(const StartProbe &command);
  void execute(const AnnounceUpstreamDrain &command);

  NamedEvidence named(const UpstreamEvidence &evidence) const;
  void applyUpstreams(std::span<const UpstreamSpec> upstreams);
  void armTimer();
  void didWake();

  TaskParts &Parts;
  std::string Name;
  DefaultDispatcher Core;
  std::shared_ptr<const Catalogue> CurrentCatalogue;
  std::vector<UpstreamSpec> Upstreams;
  /// Positions of the listed upstreams in the dispatcher's table.
  std::unordered_map<std::string, UpstreamIndex> IndexOfName;
  int ConnectionLimit = 1;
  std::unordered_map<CallId, std::shared_ptr<ProxiedCall>> Calls;
  std::unordered_map<AttemptId, std::shared_ptr<UpstreamAttempt>> Attempts;
  std::deque<Command> Pending;
  bool IsRunning = false;
  boost::asio::steady_timer Timer;
  TimePoint ArmedFor = TimePoint::max();
};

} // namespace wigeonlift
