#pragma once

#include <LibDiscovery/StoreReplica.h>

#include <cstdint>

namespace wigeonlift {

/// The next step that keeps a VM's replica of the store up to date.
enum class StoreSyncStep : std::uint8_t {
  WaitForPeers,  ///< Makes no call; another VM reads the store and sends the changes.
  CheckRevision, ///< Requests only the store's revision, which shows whether the store answers
                 ///< and whether the replica is behind.
  ReadAll,       ///< Reads every key.
  Watch,         ///< Waits for changes after the replica's revision, in one long poll.
};

/// Why a VM has to make calls to the store.
enum class StoreSyncNeed : std::uint8_t {
  None,           ///< The reader sends the changes.
  ReplicaExpired, ///< The replica is too old to wait for other VMs.
  ReplicaLacking, ///< Upstreams in use may be missing; no other VM can tell.
  IsReader,       ///< The VM watches the store for its data centre.
};

/// Why a call to the store failed.
enum class StoreFailure : std::uint8_t {
  Unreachable,        ///< Any error except those below, such as a refused or closed
                      ///< connection.
  TimedOut,           ///< No answer within the call's time limit.
  HistoryUnavailable, ///< The store answers, but no longer keeps the changes after the requested
                      ///< revision, or was restored and is in a later era.
};

/// Decides which call to the store comes next, and whether the VM counts as disconnected from the
/// store. Performs no I/O.
///
/// The store doesn't answer a watch while nothing changes. A watch that gets no answer may
/// therefore be idle or broken: the network path may be down, or the store may have dropped its
/// history. The store answers a request for its revision at once. A VM that becomes the reader, or
/// whose watch was interrupted or timed out, makes this request first, and reads all keys if the
/// replica is behind. It reads all keys without this request if the store reports that it no longer
/// keeps the history, or that it is in a later era than the replica.
///
/// A VM that isn't the reader makes the same request when its replica has become too old, whatever
/// the reason, because the reader may be silent and other VMs may not know a change either.
///
/// During a watch that times out the store may have been down and leases may have expired. The VM
/// therefore counts as disconnected for some time even if the revision check succeeds.
class StoreSyncPolicy {
public:
  /// Delay before a watch that follows another watch or a complete read, so that changes in quick
  /// succession are fetched with one call. Also the delay before a watch that follows a revision
  /// check, if more than one watch in a row has failed.
  static constexpr Duration BatchingDelay = std::chrono::milliseconds{500};

  /// Returns the next step. If the replica has never been complete or may lack changes, the next
  /// step is `ReadAll` in any case.
  StoreSyncStep nextStep(StoreSyncNeed need, TimePoint now);

  /// The store answered a revision check. `replicaRevision` is the revision of this VM's replica.
  void didCheck(StoreRevision storeRevision, StoreRevision replicaRevision, TimePoint now);
  void didReadAll(TimePoint now);
  void didWatch(TimePoint now);
  /// The step that `nextStep` returned last failed.
  void didFail(StoreFailure failure, TimePoint now);
  /// A peer has sent a complete copy of the store.
  void didReceiveFullCopy() { MustReadAll = false; }

  /// Whether calls to the store fail, or failed a short time ago. An interrupted watch alone
  /// doesn't count. Other VMs are preferred as readers.
  bool isDisconnected() const { return IsDisconnected; }
  /// Whether the store answers again after a failure, but entries whose leases expired may still be
  /// missing.
  bool isRecovering() const { return IsDisconnected && HasStoreAnswered; }
  /// Delay before the next step. `jitter` is a random number from 0 to 1, so that VMs whose calls
  /// failed at the same time don't retry at the same time. `batchingDelay` is the delay of a watch
  /// that follows another watch or a complete read.
  Duration pause(double jitter, Duration batchingDelay) const;

private:
  void didAnswer(TimePoint now);

  Duration retryDelay(double jitter) const;
  Duration maxRetryDelay() const;

  StoreSyncNeed LastNeed = StoreSyncNeed::None;
  /// What `nextStep` returned last.
  StoreSyncStep LastStep = StoreSyncStep::WaitForPeers;
  /// Whether the replica has never been complete or may lack changes.
  bool MustReadAll = true;
  /// Whether the store has answered since this VM became the reader or since its last call failed.
  bool HasStoreAnswered = false;
  bool IsDisconnected = false;
  /// Complete reads and revision checks that failed in a row.
  int ConsecutiveFailedReads = 0;
  /// Watches that failed in a row. Successful revision checks between them don't reset the count.
  int ConsecutiveFailedWatches = 0;
  /// When a call last failed, except for interrupted watches.
  TimePoint LastFailureAt{};
  /// When the store first answered after `HasStoreAnswered` was false.
  TimePoint AnsweringSince{};
};

} // namespace wigeonlift
