#pragma once

#include <LibDispatch/DispatchTypes.h>
#include <LibRouting/LibRouting.h>

#include <array>
#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace wigeonlift {

/// One dispatch of a call.
struct Attempt {
  AttemptId Id;
  CallId Call;
  UpstreamIndex Upstream;
  TimePoint StartedAt{};
  /// When `mayWrite` was granted.
  TimePoint SentAt{};
  /// What the attempt was expected to take when it was given to its upstream.
  LatencyEstimate Turns;
  bool IsSent = false;
  bool IsHedge = false;
  bool IsResume = false;
  bool IsExport = false;
  /// Tests whether an ejected upstream works again.
  bool IsTrial = false;
  /// Has been counted as slow before its end.
  bool IsSlow = false;
  /// The response head arrived and is relayed.
  bool IsRelayed = false;
  /// Extra attempts that the levels below were allowed.
  int PassedOn = 0;
};

/// A call from its admission to its end.
struct Call {
  /// A call has one attempt, and a hedge at most.
  static constexpr std::size_t MaxRunning = 2;
  /// Upstreams that failed the call and are avoided while there are others.
  static constexpr std::size_t MaxAvoided = 4;

  CallSpec Spec;
  /// Position in the admission's table.
  std::size_t Flow = 0;
  TimePoint QueuedAt{};
  std::size_t QueuedBehind = 0;
  /// When the call last left the queue.
  TimePoint StartedAt{};
  bool IsQueued = false;
  bool HasResponse = false;
  bool HasHedged = false;
  bool NeedsResume = false;
  /// Attempts started so far.
  int Starts = 0;
  /// Attempts that failed before anything was sent.
  int UnsentFailures = 0;
  /// Sent attempts that were not explicitly refused.
  int MayHaveRun = 0;
  /// Extra attempts that this level and those below may still add.
  int ExtraLeft = 0;
  FailureKind LastFailure = FailureKind::UpstreamRefused;

  std::span<const AttemptId> running() const { return {Running.data(), RunningCount}; }
  std::span<const UpstreamIndex> avoided() const { return {Avoided.data(), AvoidedCount}; }
  bool isIdempotent() const { return Spec.Class == CallClass::Idempotent; }
  bool isExport() const { return Spec.Class == CallClass::Export; }
  /// What can truthfully be said of a call that ends without a response.
  Execution executed() const { return MayHaveRun == 0 ? Execution::NotRun : Execution::Unknown; }

  void avoid(UpstreamIndex upstream);

private:
  friend class CallTable;
  std::array<AttemptId, MaxRunning> Running{};
  std::array<UpstreamIndex, MaxAvoided> Avoided{};
  std::size_t RunningCount = 0;
  std::size_t AvoidedCount = 0;
};

/// Calls and attempts of one dispatcher. Pointers stay valid until the entry is removed.
class CallTable {
public:
  /// Adds a call; null when one of that id exists.
  Call *add(const CallSpec &spec);
  Call *find(CallId id);
  Attempt *find(AttemptId id);
  Attempt &start(Call &call, UpstreamIndex upstream, TimePoint now);
  /// Forgets an attempt and takes it out of its call.
  void remove(AttemptId id);
  /// Forgets a call without running attempts.
  void remove(CallId id);

  std::size_t calls() const { return Calls.size(); }
  std::size_t attempts() const { return Attempts.size(); }

private:
  using CallMap = std::unordered_map<CallId, Call>;
  using AttemptMap = std::unordered_map<AttemptId, Attempt>;

  CallMap Calls;
  AttemptMap Attempts;
  /// Nodes of ended calls and attempts, which are used again instead of allocating.
  std::vector<CallMap::node_type> SpareCalls;
  std::vector<AttemptMap::node_type> SpareAttempts;
  std::uint64_t NextAttempt = 1;
};

} // namespace wigeonlift
