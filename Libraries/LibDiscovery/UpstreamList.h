#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// The entry that an upstream registers in the store.
struct UpstreamRecord {
  std::string Id;
  /// Start time of the process in Unix milliseconds. Distinguishes processes that use the same id
  /// one after the other.
  std::uint64_t StartedAtMs = 0;
  std::string Service;
  /// `IP:PORT`.
  std::string Address;
  std::string DataCentre;
  /// Capacity that the upstream reports: how many requests it processes at the same time.
  int Slots = 1;
  bool IsDraining = false;
  /// How often the process has written its entry. Tells which of two entries of one incarnation is
  /// the later one if the store was restored. 0 on platforms that don't count.
  std::uint64_t WriteCount = 0;
  /// Remaining warm-up time, in which the upstream is slow after its start.
  Duration Warmup{};

  bool operator==(const UpstreamRecord &) const = default;
  bool isSameIncarnation(const UpstreamRecord &other) const {
    return StartedAtMs == other.StartedAtMs && Address == other.Address && Service == other.Service;
  }
};

/// Why the entry of an upstream was removed from the store.
enum class RemovalKind : std::uint8_t {
  /// As far as known, all VMs reach the store, so the upstream has left or no longer renews its
  /// lease.
  Final,
  /// Some VMs don't reach the store, so the upstream may have failed to renew its lease. It stays
  /// in the list for a short grace period.
  PossibleLeaseExpiry,
  /// No VM reached the store, so the lease has probably expired without the upstream leaving.
  ProbableLeaseExpiry,
  /// The store was restored from an older copy without the entry. The upstream writes it again if
  /// it is still there.
  StoreRestored,
};

/// What a VM knows about the removal of entries.
struct EntryRemoval {
  RemovalKind Kind = RemovalKind::Final;
  /// The store acknowledged the removal at this time or later.
  TimePoint EarliestAt{};
  /// The store was unreachable at this time, and possibly until just before the removal was learnt.
  /// Empty if no such time is known.
  std::optional<TimePoint> StoreDownAt{};
};

/// The times that bound how long an upstream whose entry was removed may get new requests.
struct RemovalBounds {
  /// From the acknowledgement of the removal.
  Duration DrainTimeout{};
  /// How long after an outage of the store the drain timeout holds again for removals.
  Duration StoreSettleTime{};
};

/// The registered upstreams of all services, as the entries in the store describe them.
///
/// An upstream whose entry is removed leaves the list at once. The exception are upstreams that
/// weren't draining and whose leases may have expired because the store was unreachable: they leave
/// the list if they don't register again within a grace period. Each grace period ends early enough
/// for the drain timeout, counted from the earliest time at which the upstream may have left.
///
/// A store that is restored from an older copy has lost removals and changes of state. They stay in
/// force until an entry shows that it was written since. Upstreams in use that the copy lacks leave
/// the list if they don't register again within `LeaseRenewalTime`.
class UpstreamList {
public:
  explicit UpstreamList(const RemovalBounds &bounds) : Bounds(bounds) {}

  /// An entry was written. Returns whether the list changed in anything but the remaining warm-up
  /// time. A late entry of an earlier process than the listed one is ignored, unless it says that
  /// the upstream drains. A process that goes on writing is the running one, also if it seems to
  /// have started earlier, because the clock of its machine was set back.
  bool didWrite(UpstreamRecord record, TimePoint now);
  /// An entry is part of a copy of the store that was restored. Returns whether the list changed as
  /// for `didWrite`.
  bool didRestore(UpstreamRecord record, TimePoint now);
  /// The store was restored. To be called before the entries of its copy are applied: upstreams
  /// that an earlier restore lost may have registered again in vain, so they get more time.
  void didRestoreStore(TimePoint now);
  /// An entry was removed or became unreadable. Returns whether the upstream left the list.
  bool didRemove(std::string_view id, const EntryRemoval &removal, TimePoint now);
  /// Removes upstreams whose grace period is over. Returns whether any was removed.
  bool applyDueRemovals(TimePoint now);
  /// When the next grace period ends; empty if no removal is pending.
  std::optional<TimePoint> nextRemovalDue() const;

  const std::map<std::string, UpstreamRecord, std::less<>> &upstreams() const { return Upstreams; }
  /// Upstreams of a service that may get new requests: those that don't drain.
  std::vector<UpstreamRecord> usable(std::string_view service) const;

private:
  struct PendingRemoval {
    TimePoint DueAt;
    RemovalKind Kind = RemovalKind::Final;
  };
  struct RemovedUpstream {
    UpstreamRecord Record;
    TimePoint RemovedAt;
  };

  /// A process that seems to have started before the one that is listed.
  struct EarlierStart {
    /// Its first entry since the listed process last wrote.
    UpstreamRecord First;
    TimePoint SeenAt;
  };

  /// Whether the process that wrote the entry runs, though it seems to have started earlier than
  /// the one that is listed.
  bool isRunning(const UpstreamRecord &record, TimePoint now);
  /// Returns whether the known upstream became a draining one.
  static bool drainIfEither(UpstreamRecord &known, const UpstreamRecord &record);
  /// Removes an upstream from the list and remembers its incarnation.
  void erase(std::string_view id, TimePoint now);
  TimePoint graceEnd(const EntryRemoval &removal, TimePoint now) const;

  RemovalBounds Bounds;
  std::map<std::string, UpstreamRecord, std::less<>> Upstreams;
  /// By id, the grace periods of upstreams whose entries were removed.
  std::map<std::string, PendingRemoval, std::less<>> PendingRemovals;
  /// By id, entries of processes that seem to have started before the listed ones.
  std::map<std::string, EarlierStart, std::less<>> EarlierStarts;
  /// By id, the incarnations that were removed within the retention time.
  std::map<std::string, RemovedUpstream, std::less<>> Removed;
};

} // namespace wigeonlift
