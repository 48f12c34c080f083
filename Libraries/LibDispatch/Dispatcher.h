#pragma once

#include <LibBudget/LibBudget.h>
#include <LibCatalogue/LibCatalogue.h>
#include <LibDispatch/AdmissionController.h>
#include <LibDispatch/AttemptRecorder.h>
#include <LibDispatch/CallTable.h>
#include <LibDispatch/DispatchTypes.h>
#include <LibDispatch/DispatcherState.h>
#include <LibDispatch/Evidence.h>
#include <LibDispatch/Hedging.h>
#include <LibDispatch/Prober.h>
#include <LibDispatch/TimerQueue.h>
#include <LibDispatch/UpstreamRegistry.h>
#include <LibRouting/LibRouting.h>

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace wigeonlift {

/// Queues, dispatches, retries, hedges and refuses the calls to one service. Performs no I/O: the
/// I/O layer reports events by method calls and executes the commands that are appended to `out`.
/// Not thread-safe.
///
/// The I/O layer reads a response for which there is no `RelayResponse` to its end and discards it.
/// Events of attempts that the dispatcher has removed are ignored.
template <ChoicePolicy Policy> class Dispatcher {
public:
  /// The first probe starts no earlier than one measuring window after `startedAt`.
  Dispatcher(std::uint64_t seed, TimePoint startedAt);

  /// Applies a new catalogue, in which the service has the given position.
  void setCatalogue(std::shared_ptr<const Catalogue> catalogue, std::uint32_t service,
                    TimePoint now, Commands &out);
  /// Applies the latest list of upstreams. Upstreams that are not in it get no new work.
  void setUpstreams(std::span<const UpstreamSpec> upstreams, TimePoint now, Commands &out);
  /// Sets the parts of an entry's fleet-wide limits that this VM leases from (positive) or to
  /// (negative) other VMs until the given time.
  void setLimitShare(std::uint32_t entry, double leasedRate, int leasedInFlight,
                     TimePoint leaseExpiresAt, TimePoint now, Commands &out);

  void callArrived(const CallSpec &spec, TimePoint now, Commands &out);
  void callerLeft(CallId id, TimePoint now, Commands &out);
  /// Called immediately before the first byte is handed to the kernel. When it returns true, the
  /// attempt counts as sent from then on. When it returns false, the I/O layer must not write and
  /// returns the connection to the pool unused. The dispatcher has then already queued or failed
  /// the call, unless the attempt was removed or sent before, or another attempt of the call runs.
  bool mayWrite(AttemptId id, TimePoint now, Commands &out);
  void responseStarted(AttemptId id, const ResponseHead &head, TimePoint now, Commands &out);
  void responseFinished(AttemptId id, TimePoint now, Commands &out);
  void attemptFailed(AttemptId id, FailureStage stage, TimePoint now, Commands &out);

  bool mayWriteProbe(ProbeId id, TimePoint now);
  void didWriteProbe(ProbeId id, TimePoint now);
  void probeAnswered(ProbeId id, const LoadReport &report, TimePoint now, Commands &out);
  void probeFailed(ProbeId id, TimePoint now, Commands &out);

  void peerEvidence(const UpstreamEvidence &evidence, TimePoint now, Commands &out);
  /// Recent evidence for the peers: draining upstreams first, then newest first.
  std::vector<UpstreamEvidence> freshEvidence(TimePoint now) const;
  /// Drops permissions and reports from before a pause of this process.
  void didPause(TimePoint now, Commands &out);

  void tick(TimePoint now, Commands &out);
  std::optional<TimePoint> nextWakeup() const;
  const UpstreamSpec &upstream(UpstreamIndex n) const { return Registry.spec(n); }
  DispatcherState state(TimePoint now) const;
  std::vector<EntrySnapshot> entries() const { return Admission.snapshots(); }

private:
  static constexpr PolicyFeatures Features = Policy::Features;

  // Queue and placement.
  void startQueuedCalls(TimePoint now, Commands &out);
  bool startHeadOf(std::size_t flow, TimePoint now, Commands &out);
  std::optional<UpstreamIndex> choose(const CandidateQuery &query, TimePoint now);
  Attempt &startAttempt(Call &call, UpstreamIndex upstream, bool isHedge, TimePoint now,
                        Commands &out);
  bool startTrial(std::size_t flow, Call &call, TimePoint now, Commands &out);
  void didDequeue(std::size_t flow, Call &call, TimePoint now);
  void requeue(Call &call, TimePoint now);

  // Ends of attempts and calls.
  void removeAttempt(AttemptId id);
  void cancelAttempts(Call &call, AttemptId keptAttempt, TimePoint now, Commands &out);
  void endCall(Call &call, TimePoint now);
  void failCall(Call &call, FailureKind kind, Duration retryAfter, TimePoint now, Commands &out);
  /// After an attempt failed: does nothing while another attempt runs; otherwise queues the call
  /// again if a retry is permitted, or fails it.
  void retryOrFail(Call &call, bool mayRetry, TimePoint now, Commands &out);
  bool takeRetry(Call &call);
  void handleRefusal(Attempt &attempt, TimePoint now, Commands &out);
  void relayResponse(Attempt &attempt, const ResponseHead &head, TimePoint now, Commands &out);
  void deadlinePassed(Call &call, TimePoint now, Commands &out);

  // Hedges and outlier detection.
  AttemptRecorder recorder() { return {Table, Hedger, TypicalServiceTime}; }
  void armSlowTimer(const Attempt &attempt);
  void hedge(Call &call, TimePoint now, Commands &out);

  // Evidence from upstreams, and probes to obtain it.
  void applyDirectEvidence(const UpstreamEvidence &evidence, TimePoint now, Commands &out);
  void startProbes(TimePoint now, Commands &out);
  Duration retryAfterNoUpstream(TimePoint now) const;

  Policy UpstreamChooser;
  Random Rng;
  std::shared_ptr<const Catalogue> CurrentCatalogue;
  std::uint32_t Service = 0;
  UpstreamTable Table;
  UpstreamRegistry Registry;
  AdmissionController Admission;
  CallTable Calls;
  TimerQueue Timers;
  Prober Probes;
  TimePoint NextProbeCheck{};
  ExtraAttemptBudget RetryBudget;
  Hedging Hedger;
  TypicalLatency TypicalServiceTime;
  std::uint64_t Attempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t HedgeWins = 0;
};

using DefaultDispatcher = Dispatcher<LeastExpectedWait>;

extern template class Dispatcher<RandomChoice>;
extern template class Dispatcher<RoundRobin>;
extern template class Dispatcher<LeastLocal>;
extern template class Dispatcher<TwoChoices>;
extern template class Dispatcher<LeastExpectedWait>;

} // namespace wigeonlift
