#pragma once

#include <LibDispatch/DispatchTypes.h>
#include <LibRouting/LibRouting.h>

#include <array>
#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace wigeonlift {

/// One dispatch of a call to one upstream.
struct Attempt {
  AttemptId Id;
  CallId Call;
  UpstreamIndex Upstream;
  TimePoint StartedAt{};
  /// When `mayWrite` returned true.
  TimePoint SentAt{};
  /// Latency expected when the upstream was chosen, in service times.
  LatencyEstimate Turns;
  bool IsSent = false;
  bool IsHedge = false;
  bool IsResume = false;
  bool IsExport = false;
  /// The attempt tests whether an ejected upstream has recovered.
  bool IsTrial = false;
  /// The attempt was already counted as slow while it ran.
  bool IsSlow = false;
  /// The response head has arrived and is relayed to the caller.
  bool IsRelayed = false;
  /// Extra attempts that the request permits the services below to make.
  int DelegatedExtraAttempts = 0;
};

/// State of a call from its admission to its end.
struct Call {
  /// At most one regular attempt and one hedge run at the same time.
  static constexpr std::size_t MaxRunning = 2;
  /// Maximum number of upstreams to avoid while there are others: those that failed the call, and
  /// the one at which a slow attempt runs. Further ones are not recorded.
  static constexpr std::size_t MaxAvoided = 4;

  CallSpec Spec;
  /// Position of the entry's flow in the AdmissionController.
  std::size_t Flow = 0;
  TimePoint QueuedAt{};
  std::size_t QueuedBehind = 0;
  /// When the call last left the queue.
  TimePoint StartedAt{};
  bool IsQueued = false;
  bool HasResponse = false;
  bool WasHedged = false;
  bool NeedsResume = false;
  /// Attempts started since the call arrived.
  int AttemptsStarted = 0;
  /// Attempts that failed before anything was sent.
  int UnsentFailures = 0;
  /// Attempts that were sent and not explicitly refused, so that the upstream may have run them.
  int PossibleRuns = 0;
  /// Extra attempts that this service and the services below may still add.
  int ExtraAttemptsLeft = 0;
  FailureKind LastFailure = FailureKind::UpstreamRefused;

  std::span<const AttemptId> running() const { return {Running.data(), RunningCount}; }
  std::span<const UpstreamIndex> avoided() const { return {Avoided.data(), AvoidedCount}; }
  bool isIdempotent() const { return Spec.Class == CallClass::Idempotent; }
  bool isExport() const { return Spec.Class == CallClass::Export; }
  /// Whether the call may have been run, when it ends without a response.
  Execution execution() const { return PossibleRuns == 0 ? Execution::NotRun : Execution::Unknown; }

  void avoid(UpstreamIndex upstream);

private:
  friend class CallTable;
  std::array<AttemptId, MaxRunning> Running{};
  std::array<UpstreamIndex, MaxAvoided> Avoided{};
  std::size_t RunningCount = 0;
  std::size_t AvoidedCount = 0;
};

/// Calls and attempts of one dispatcher. A pointer stays valid until its call or attempt is
/// removed.
class CallTable {
public:
  /// Adds a call. Returns null when the id is already in use.
  Call *add(const CallSpec &spec);
  Call *find(CallId id);
  Attempt *find(AttemptId id);
  Attempt &start(Call &call, UpstreamIndex upstream, TimePoint now);
  /// Removes an attempt from the table and from its call.
  void remove(AttemptId id);
  /// Removes a call, which must have no running attempts.
  void remove(CallId id);

  std::size_t callCount() const { return Calls.size(); }
  std::size_t attemptCount() const { return Attempts.size(); }

private:
  using CallMap = std::unordered_map<CallId, Call>;
  using AttemptMap = std::unordered_map<AttemptId, Attempt>;

  CallMap Calls;
  AttemptMap Attempts;
  /// Nodes of ended calls and attempts, reused to avoid allocations.
  std::vector<CallMap::node_type> FreeCallNodes;
  std::vector<AttemptMap::node_type> FreeAttemptNodes;
  std::uint64_t NextAttemptId = 1;
};

} // namespace wigeonlift
