#pragma once

#include <LibBudget/LibBudget.h>
#include <LibCatalogue/LibCatalogue.h>
#include <LibDispatch/Admission.h>
#include <LibDispatch/AttemptJudge.h>
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

/// Decides what becomes of the calls to one service. Performs no I/O: events are methods, and what
/// must be done is appended to the commands. Not thread-safe.
///
/// A response without `RelayResponse` is read to its end and dropped by the shell; events of
/// attempts that the dispatcher has forgotten are ignored.
template <ChoicePolicy Policy> class Dispatcher {
public:
  /// The first probe comes no earlier than one measuring window after `startedAt`.
  Dispatcher(std::uint64_t seed, TimePoint startedAt);

  /// The catalogue in effect and the position of the service in it.
  void setCatalogue(std::shared_ptr<const Catalogue> catalogue, std::uint32_t service,
                    TimePoint now, Commands &out);
  /// All upstreams by the latest list. Those it doesn't name get no new work.
  void setUpstreams(std::span<const UpstreamSpec> upstreams, TimePoint now, Commands &out);
  /// Parts of fleet-wide limits lent by (positive) or to (negative) other VMs, until an instant.
  void setLimitShare(std::uint32_t entry, double callsPerSecond, int inFlight, TimePoint until,
                     TimePoint now, Commands &out);

  void callArrived(const CallSpec &spec, TimePoint now, Commands &out);
  void callerLeft(CallId id, TimePoint now, Commands &out);
  /// Asked right before the first byte is handed to the kernel; from then on the attempt counts as
  /// sent. On false the shell puts the connection back unused; the dispatcher has already decided
  /// what becomes of the call.
  bool mayWrite(AttemptId id, TimePoint now, Commands &out);
  void responseStarted(AttemptId id, const ResponseHead &head, TimePoint now, Commands &out);
  void responseFinished(AttemptId id, TimePoint now, Commands &out);
  void attemptFailed(AttemptId id, FailureStage stage, TimePoint now, Commands &out);

  bool mayWriteProbe(ProbeId id, TimePoint now);
  void didWriteProbe(ProbeId id, TimePoint now);
  void probeAnswered(ProbeId id, const LoadReport &report, TimePoint now, Commands &out);
  void probeFailed(ProbeId id, TimePoint now, Commands &out);

  void peerEvidence(const UpstreamEvidence &evidence, TimePoint now, Commands &out);
  /// Evidence obtained by this VM itself that peers can use, newest first.
  std::vector<UpstreamEvidence> freshEvidence(TimePoint now) const;
  /// Drops permissions and reports from before the pause.
  void didPause(TimePoint now, Commands &out);

  void tick(TimePoint now, Commands &out);
  std::optional<TimePoint> nextWakeup() const;
  const UpstreamSpec &upstream(UpstreamIndex n) const { return Registry.spec(n); }
  DispatcherState state(TimePoint now) const;
  std::vector<EntrySnapshot> entries() const { return Admitted.figures(); }

private:
  static constexpr PolicyFeatures Features = Policy::Features;

  // Queue and placement.
  void pump(TimePoint now, Commands &out);
  bool startHead(std::size_t flow, TimePoint now, Commands &out);
  std::optional<UpstreamIndex> choose(const ChoiceQuery &query, TimePoint now);
  Attempt &startAttempt(Call &call, UpstreamIndex upstream, bool isHedge, TimePoint now,
                        Commands &out);
  bool startTrial(std::size_t flow, Call &call, TimePoint now, Commands &out);
  void didTakeFromQueue(std::size_t flow, Call &call, TimePoint now);
  void requeue(Call &call, TimePoint now);

  // Ends of attempts and calls.
  void dropAttempt(AttemptId id);
  void cancelAttempts(Call &call, AttemptId except, TimePoint now, Commands &out);
  void endCall(Call &call, TimePoint now);
  void failCall(Call &call, FailureKind kind, Duration retryAfter, TimePoint now, Commands &out);
  /// Lets a hedge that still runs decide, repeats the call if it may be, or fails it.
  void settle(Call &call, bool mayRetry, TimePoint now, Commands &out);
  bool takeRetry(Call &call);
  void responseRefused(Attempt &attempt, TimePoint now, Commands &out);
  void relay(Attempt &attempt, const ResponseHead &head, TimePoint now, Commands &out);
  void deadlinePassed(Call &call, TimePoint now, Commands &out);

  // Hedges and outliers.
  AttemptJudge judge() { return {Table, Hedger, TypicalTurn}; }
  void armSlowTimer(const Attempt &attempt);
  void hedge(Call &call, TimePoint now, Commands &out);

  // Evidence.
  void didHear(const UpstreamEvidence &evidence, TimePoint now, Commands &out);
  void startProbes(TimePoint now, Commands &out);
  Duration retryAfterNoUpstream(TimePoint now) const;

  Policy Choice;
  Random Rng;
  std::shared_ptr<const Catalogue> InEffect;
  std::uint32_t Service = 0;
  UpstreamTable Table;
  UpstreamRegistry Registry;
  Admission Admitted;
  CallTable Calls;
  TimerQueue Timers;
  Prober Probes;
  TimePoint NextProbeCheck{};
  AttemptBudget RetryBudget;
  Hedging Hedger;
  TypicalLatency TypicalTurn;
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
