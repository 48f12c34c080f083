#pragma once

#include <LibFleet/FleetReplica.h>

namespace wigeonlift {

/// A call to the store, or a wait for other VMs to send the changes.
struct StoreCall {
  StoreSyncStep Step = StoreSyncStep::WaitForPeers;
  /// Of a watch: the revision after which changes are wanted.
  StoreRevision After = 0;
  /// Of a watch: how long the store may wait for a change.
  Duration Wait{};
  /// Time limit of the call, of each page for a read of all keys.
  Duration Timeout{};
};

/// Decides which calls a VM makes to the store, from its place in the fleet and from the outcomes
/// of its earlier calls, and passes on what the store answers. Performs no I/O. Each call that
/// `next` returns is followed by exactly one `did…`.
class StoreSync {
public:
  StoreSync(FleetReplica &fleet, std::uint64_t rngSeed) : Fleet(fleet), Rng(rngSeed) {}

  StoreCall next(TimePoint now);
  ReplicaUpdate didCheck(StoreRevision storeRevision, TimePoint now);
  ReplicaUpdate didReadAll(const StoreDelta &delta, TimePoint now);
  ReplicaUpdate didWatch(const StoreDelta &delta, TimePoint now);
  ReplicaUpdate didFail(StoreFailure failure, TimePoint now);
  /// Another VM has sent a complete copy of the store.
  void didReceiveFullCopy() { Policy.didReceiveFullCopy(); }

  /// Delay before the next call.
  Duration pause() { return Policy.pause(Rng.unit()); }
  bool isDisconnected() const { return Policy.isDisconnected(); }
  bool isRecovering() const { return Policy.isRecovering(); }

private:
  bool mustWatch(TimePoint now) const;
  ReplicaUpdate didRead(const StoreDelta &delta, TimePoint confirmedAt, TimePoint now);
  /// Returns messages that tell other VMs when this VM's calls have just begun to fail.
  std::vector<FleetDatagram> updateConnection(TimePoint now);

  FleetReplica &Fleet;
  StoreSyncPolicy Policy;
  Random Rng;
  StoreCall LastCall;
  TimePoint CalledAt{};
  bool WasDisconnected = false;
};

} // namespace wigeonlift
