#pragma once

#include <LibFleet/FleetMembership.h>

#include <string_view>
#include <vector>

namespace wigeonlift {

/// What follows from a message or from an answer of the store.
struct ReplicaUpdate {
  /// Messages to send.
  std::vector<FleetDatagram> Datagrams{};
  /// Keys that changed in the replica, sorted by revision.
  std::vector<StoreItem> Changes{};
  /// What the removals among the changes mean.
  StoreOutage Outage = StoreOutage::None;
};

/// A VM's replica of the store and its place in the fleet, which keep each other up to date:
/// changes that the VM learns from the store or from another VM are merged and passed on. Performs
/// no I/O.
class FleetReplica {
public:
  FleetReplica(FleetVm self, std::vector<VmAddress> seeds, std::uint64_t rngSeed,
               TimePoint startedAt)
      : Members(std::move(self), std::move(seeds), rngSeed, startedAt) {}

  /// Merges a message of another VM.
  ReplicaUpdate didReceive(const FleetMessage &message, TimePoint now);
  /// Merges changes after a revision that the store sent.
  ReplicaUpdate didReadStore(const StoreDelta &delta, StoreRevision after, TimePoint now);
  /// Merges changes after a revision that were requested from another VM.
  ReplicaUpdate didReadPeer(const StoreDelta &delta, StoreRevision after, VmAddress peer,
                            TimePoint now);

  FleetMembership &members() { return Members; }
  const FleetMembership &members() const { return Members; }
  const StoreReplica &replica() const { return Replica; }
  StoreRevision revision() const { return Replica.revision(); }

private:
  void apply(const StoreDelta &delta, StoreRevision after, PropagationScope scope, TimePoint now,
             ReplicaUpdate &update);
  PropagationScope scopeOfChangesFrom(VmAddress peer) const;

  FleetMembership Members;
  StoreReplica Replica;
};

} // namespace wigeonlift
