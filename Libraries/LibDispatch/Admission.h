#pragma once

#include <LibCatalogue/LibCatalogue.h>
#include <LibDispatch/DispatcherState.h>
#include <LibDispatch/EntryFlow.h>

#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Admits calls within the limits of their entries and queues them fairly between owners, and
/// between the entries of an owner. A call takes its token of the rate when it is started for the
/// first time; until then it waits in the queue.
class Admission {
public:
  void setCatalogue(const Catalogue &catalogue, std::uint32_t service, TimePoint now);
  void setLimitShare(std::uint32_t entry, double callsPerSecond, int inFlight, TimePoint until,
                     TimePoint now);
  /// Flow of a catalogue position; empty when this service has no such entry.
  std::optional<std::size_t> flowOf(std::uint32_t entry) const;
  /// Counts an arrival and says why it is refused, if it is. A call that must wait for the rate has
  /// to start within `timeLeft`.
  std::optional<Failure> admit(std::size_t flow, Duration timeLeft, TimePoint now);
  /// Time that a call added now would wait in the queue.
  Duration expectedWait(std::size_t flow, TimePoint now) const;
  /// Returns how many calls were before it.
  std::size_t enqueue(std::size_t flow, CallId call);
  /// Queues a call that was dispatched before ahead of all others of its entry.
  void requeue(std::size_t flow, CallId call);
  void remove(std::size_t flow, CallId call);

  /// Begins a round of choosing heads of queues.
  void beginRound(TimePoint now);
  /// Flow whose head comes next in fair order; empty when no further head may start.
  std::optional<std::size_t> nextFlow() const;
  CallId head(std::size_t flow) const { return Flows[flow].Queue.front(); }
  /// Leaves the flow out until the next round.
  void skip(std::size_t flow) { IsSkipped[flow] = true; }
  /// The head of the flow was started after it was queued behind some calls.
  void didStart(std::size_t flow, TimePoint queuedAt, std::size_t queuedBehind, TimePoint now);
  /// A started call ended, or is queued again, after it ran for a time.
  void didEnd(std::size_t flow, Duration ran);
  void didRefuseByDeadline(std::size_t flow) { ++Flows[flow].RefusedByDeadline; }

  std::size_t queued() const { return Queued; }
  /// Whether calls wait for something else than the rate of their entry.
  bool isBacklogged() const;
  bool waitsForToken(std::size_t flow) const { return Flows[flow].waitsForToken(); }
  /// When a queued call may be able to start without any other event.
  std::optional<TimePoint> nextWakeup() const;
  void tick(TimePoint now);
  std::vector<EntrySnapshot> figures() const;

private:
  struct OwnerClock {
    std::string Owner;
    double VirtualTime = 0;
  };

  EntryFlow &flowNamed(const std::string &name);
  std::size_t ownerOf(const std::string &owner);
  void startClocks(std::size_t flow);

  std::vector<EntryFlow> Flows;
  std::vector<std::size_t> OwnerOfFlow;
  std::vector<OwnerClock> Owners;
  std::vector<std::optional<std::size_t>> FlowOfEntry;
  std::vector<bool> IsSkipped;
  std::size_t Queued = 0;
  /// Virtual time of the owner that was served last; a newly busy owner starts from it.
  double Clock = 0;
  TimePoint CountedAt{};
};

} // namespace wigeonlift
