#pragma once

#include <LibCatalogue/LibCatalogue.h>
#include <LibDispatch/DispatcherState.h>
#include <LibDispatch/EntryFlow.h>

#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Enforces the rate, in-flight and queue limits of the catalogue entries. Queued calls are started
/// by fair queueing between owners, and between the entries of one owner. A call takes a token from
/// the entry's rate limit when its first attempt starts; until then it waits in the queue.
class AdmissionController {
public:
  void setCatalogue(const Catalogue &catalogue, std::uint32_t service, TimePoint now);
  void setLimitShare(std::uint32_t entry, double leasedRate, int leasedInFlight,
                     TimePoint leaseExpiresAt, TimePoint now);
  /// Flow of the entry at a catalogue position; empty when the entry belongs to another service.
  std::optional<std::size_t> flowOf(std::uint32_t entry) const;
  /// Counts an arrival. Returns the failure when the call is refused. A call that must wait for the
  /// rate limit is refused unless it can start within `timeLeft`.
  std::optional<Failure> admit(std::size_t flow, Duration timeLeft, TimePoint now);
  /// Time that a call added now is expected to wait in the queue.
  Duration expectedWait(std::size_t flow, TimePoint now) const;
  /// Appends a call to the queue. Returns the number of calls ahead of it.
  std::size_t enqueue(std::size_t flow, CallId call);
  /// Puts a call that was started before at the head of its entry's queue, without a second token.
  void requeue(std::size_t flow, CallId call);
  void remove(std::size_t flow, CallId call);

  /// Refills the rate limits and clears the skipped flows. Call this before `nextFlow`.
  void beginRound(TimePoint now);
  /// Flow whose head is next by fair queueing; empty when no further head may start.
  std::optional<std::size_t> nextFlow() const;
  CallId head(std::size_t flow) const { return Flows[flow].Queue.front(); }
  /// Excludes the flow until the next `beginRound`.
  void skip(std::size_t flow) { IsSkipped[flow] = true; }
  /// Removes the head of the flow from its queue, after it was started. When the call was queued at
  /// `queuedAt`, `queuedBehind` calls were ahead of it.
  void didStart(std::size_t flow, TimePoint queuedAt, std::size_t queuedBehind, TimePoint now);
  /// Counts a started call that ended or was queued again, after it had run for `runTime`.
  void didEnd(std::size_t flow, Duration runTime);
  void didRefuseByDeadline(std::size_t flow) { ++Flows[flow].RefusedByDeadline; }

  std::size_t queuedCalls() const { return QueuedCalls; }
  /// Whether any queue waits for a reason other than the rate limit of its entry.
  bool isBacklogged() const;
  bool waitsForToken(std::size_t flow) const { return Flows[flow].waitsForToken(); }
  /// Earliest time at which a queued call may start without a further event.
  std::optional<TimePoint> nextWakeup() const;
  void tick(TimePoint now);
  std::vector<EntrySnapshot> snapshots() const;

private:
  struct OwnerVirtualTime {
    std::string Owner;
    double VirtualTime = 0;
  };

  EntryFlow &findOrAddFlow(const std::string &name);
  std::size_t findOrAddOwner(const std::string &owner);
  void advanceVirtualTime(std::size_t flow);

  std::vector<EntryFlow> Flows;
  std::vector<std::size_t> OwnerOfFlow;
  std::vector<OwnerVirtualTime> Owners;
  std::vector<std::optional<std::size_t>> FlowOfEntry;
  std::vector<bool> IsSkipped;
  std::size_t QueuedCalls = 0;
  /// Highest virtual time at which an owner was served. The virtual time of an owner whose queues
  /// were empty is raised to it.
  double MaxServedVirtualTime = 0;
  TimePoint ArrivalRateUpdatedAt{};
};

} // namespace wigeonlift
