#pragma once

#include <LibFleet/FleetMembership.h>

#include <optional>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// What follows from a message or from an answer of the store.
struct ReplicaUpdate {
  /// Messages to send.
  std::vector<FleetDatagram> Datagrams{};
  /// Keys that changed in the replica and are in use, sorted by revision; all of them when it is
  /// first used, and those of a service when a configuration first names it.
  std::vector<StoreItem> Changes{};
  /// The store acknowledged the changes at this time or later.
  TimePoint ChangesFrom{};
  /// What the removals among the changes mean.
  StoreOutage Outage = StoreOutage::None;
  /// When the store was last unreachable for the VM that read the changes from it. Empty if it has
  /// answered some VM since.
  std::optional<TimePoint> StoreDownAt{};
  /// Whether the changes are those between the replica that was in use and a copy of a later era:
  /// the store was restored and has lost changes. Removals may then be entries that it has lost.
  bool IsRestored = false;
  /// Revision of the replica before the changes.
  StoreRevision RevisionBefore{};

  /// What is known of the removals among the changes.
  EntryRemoval removals() const;
};

/// A VM's replica of the store and its place in the fleet, which keep each other up to date:
/// changes that the VM learns from the store or from another VM are merged and passed on. Performs
/// no I/O.
///
/// A VM that has just started and gets a copy from another VM, which may itself have missed
/// changes, doesn't use it before it has been confirmed, or has been looking for a later one for a
/// while.
class FleetReplica {
public:
  /// Without a format, which must outlive the replica, all items are kept as they are.
  FleetReplica(FleetVm self, std::vector<VmAddress> seeds, FreshnessLimits limits,
               std::uint64_t rngSeed, TimePoint startedAt, const StoreFormat *format = nullptr)
      : Members(std::move(self), std::move(seeds), rngSeed, startedAt),
        Freshness(limits, rngSeed, startedAt), StartedAt(startedAt), Format(format) {}

  /// For an answer of the store or of another VM.
  StoreIntake intake(IntakeKind kind) const {
    return StoreIntake{kind, Format, Replica.usedServices()};
  }
  /// Whether upstreams in use may be missing until a complete copy is read.
  bool isLacking() const { return Replica.isLacking(); }
  /// Whether that has lasted so long that this VM should read the store itself.
  bool isLackingForLong(TimePoint now) const;

  /// Returns the regular messages; to be called every `FleetMembership::GossipInterval`.
  ReplicaUpdate tick(TimePoint now);

  /// Merges a message of another VM.
  ReplicaUpdate didReceive(const FleetMessage &message, TimePoint now);
  /// Merges changes after a revision that the store sent. They include all that the store had
  /// acknowledged at `confirmedAt`.
  ReplicaUpdate didReadStore(const StoreDelta &delta, StoreRevision after, TimePoint confirmedAt,
                             TimePoint now);
  /// The store answered this VM: it had acknowledged no later change at `confirmedAt` than those in
  /// the replica.
  ReplicaUpdate didConfirm(TimePoint confirmedAt, TimePoint now);
  /// A call of this VM to the store failed: the store was unreachable at `downAt`.
  void didFailToReachStore(TimePoint downAt) { OwnStoreDownAt = downAt; }
  /// Adds messages that tell other VMs how recent this replica is, for those that `update` sends
  /// nothing to.
  void announceAge(ReplicaUpdate &update, TimePoint now);
  /// Whether the lead reader keeps telling this data centre that the replica is current.
  bool hasLeadReader(TimePoint now) const;
  /// Merges changes after a revision that were requested from another VM.
  ReplicaUpdate didReadPeer(const StoreDelta &delta, StoreRevision after, VmAddress peer,
                            TimePoint now);

  FleetMembership &members() { return Members; }
  const FleetMembership &members() const { return Members; }
  const StoreReplica &replica() const { return Replica; }
  StoreRevision revision() const { return Replica.revision(); }
  const ReplicaFreshness &freshness() const { return Freshness; }

private:
  void confirm(TimePoint confirmedAt);
  /// Whether the replica is recent enough to be used, or a later one is not to be expected.
  bool isUsable(TimePoint now) const;
  /// Adds all keys to the changes when the replica can first be used, and removes them before.
  void release(ReplicaUpdate &update, TimePoint now);
  /// Takes the services that the configurations among the items name into use. Returns the items
  /// of those that none named before.
  std::vector<StoreItem> useNamedServices(const StoreDelta &delta);
  /// Merges changes into the replica and passes them on. `storeDownAt` is when the store was last
  /// unreachable for the VM that read them from it.
  void apply(const StoreDelta &delta, StoreRevision after, PropagationScope scope,
             std::optional<TimePoint> storeDownAt, TimePoint now, ReplicaUpdate &update);
  /// What VMs read of the items that another one has sent.
  StoreDelta reduced(const StoreDelta &delta) const;
  PropagationScope scopeOfChangesFrom(VmAddress peer) const;
  /// Adds the changes that a VM lacks to the answers to its question.
  void addMissingChanges(const FleetVm &asker, std::vector<FleetDatagram> &answers);
  /// Adds a question to another VM, unless this VM has just asked.
  void ask(VmAddress vm, ReplicaUpdate &update, TimePoint now);
  /// Other VMs miss the message of this reader, which may itself have missed the lead reader's.
  void askLeadReader(ReplicaUpdate &update, TimePoint now);
  void announce(ReplicaUpdate &update, bool isFromLeadReader, TimePoint now);
  /// Whether a message contains changes that this replica lacks, and none are missing before them.
  /// Of a later era, only a complete copy does.
  bool isNext(const FleetMessage &message) const;
  void didReceiveConfirmation(const FleetMessage &message, TimePoint now, ReplicaUpdate &update);

  FleetMembership Members;
  StoreReplica Replica;
  ReplicaFreshness Freshness;
  TimePoint StartedAt;
  const StoreFormat *Format;
  /// Since when upstreams in use may be missing.
  std::optional<TimePoint> LackingFrom;
  bool IsInUse = false;
  /// When a message was last answered by a question.
  TimePoint AskedAt{};
  /// When the store was last unreachable for this VM.
  std::optional<TimePoint> OwnStoreDownAt;
  /// The latest confirmation that the lead reader has told.
  std::optional<TimePoint> LeadConfirmedAt;
};

} // namespace wigeonlift
