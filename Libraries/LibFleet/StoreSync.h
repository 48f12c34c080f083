#pragma once

#include <LibFleet/FleetReplica.h>

namespace wigeonlift {

/// A call to the store, or a wait for other VMs to send the changes.
struct StoreCall {
  StoreSyncStep Step = StoreSyncStep::WaitForPeers;
  StoreSyncNeed Need = StoreSyncNeed::None;
  /// Of a watch: the revision after which changes are wanted.
  StoreRevision After = 0;
  /// Of a watch: how long the store may wait for a change.
  Duration Wait{};
  /// Time limit of the call, of each page for a read of all keys.
  Duration Timeout{};
  /// While waiting for other VMs: a message to send to the reader.
  std::optional<FleetDatagram> Question{};
};

/// Decides which calls a VM makes to the store, from its place in the fleet and from the outcomes
/// of its earlier calls, and passes on what the store answers. Performs no I/O. Each call that
/// `next` returns is followed by exactly one `did…`.
class StoreSync {
public:
  StoreSync(FleetReplica &fleet, std::uint64_t rngSeed) : Fleet(fleet), Rng(rngSeed) {}

  StoreCall next(TimePoint now);
  /// An answer of another era than that in which the call was made, or than the replica's, proves
  /// nothing about the replica and isn't merged, except for a complete copy of a later era.
  ReplicaUpdate didCheck(StoreRevision storeRevision, TimePoint now);
  ReplicaUpdate didReadAll(const StoreDelta &delta, TimePoint now);
  ReplicaUpdate didWatch(const StoreDelta &delta, TimePoint now);
  ReplicaUpdate didFail(StoreFailure failure, TimePoint now);
  /// Another VM has sent a complete copy of the store.
  void didReceiveFullCopy() { Policy.didReceiveFullCopy(); }

  /// Delay before the next call.
  Duration pause(TimePoint now);
  bool isDisconnected() const { return Policy.isDisconnected(); }
  bool isRecovering() const { return Policy.isRecovering(); }

private:
  StoreSyncNeed need(TimePoint now) const;
  /// How long the store may wait with its answer to a watch, so that the replica is confirmed in
  /// time.
  Duration watchWait(TimePoint now) const;
  /// How long the VM may wait for further changes before its next watch.
  Duration batchingDelay(TimePoint now) const;
  /// Why an answer as of a revision counts as a failure of the call. Empty if it doesn't.
  std::optional<StoreFailure> failureOf(StoreRevision answered) const;
  ReplicaUpdate didRead(const StoreDelta &delta, TimePoint confirmedAt, TimePoint now);
  void didAnswer(TimePoint now);
  /// The latest time at which a call that failed shows that the store was unreachable.
  std::optional<TimePoint> storeDownAt(StoreFailure failure, TimePoint now) const;
  /// Adds the messages that follow from a call that succeeded.
  void finishCall(ReplicaUpdate &update, TimePoint now);
  /// Returns messages that tell other VMs when this VM's calls have just begun to fail.
  std::vector<FleetDatagram> updateConnection(TimePoint now);

  FleetReplica &Fleet;
  StoreSyncPolicy Policy;
  Random Rng;
  StoreCall LastCall;
  TimePoint CalledAt{};
  /// Time that the last successful call took beyond the wait that it asked for.
  Duration AnswerTime{};
  /// Whether the store held a watch for the whole wait, because nothing changed.
  bool WasWatchIdle = false;
  bool WasDisconnected = false;
};

} // namespace wigeonlift
