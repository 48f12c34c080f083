#pragma once

#include <LibDiscovery/StoreReplica.h>

#include <cstdint>

namespace wigeonlift {

/// What a VM does next to keep its replica of the store up to date.
enum class StoreSyncStep : std::uint8_t {
  WaitForPeers,  ///< Other VMs read for this one.
  CheckRevision, ///< Asks only for the store's revision: does the store answer, and was nothing
                 ///< missed?
  ReadAll,       ///< Reads every key.
  Watch,         ///< Waits for changes after the replica's revision.
};

/// Why a call to the store brought nothing.
enum class StoreFailure : std::uint8_t {
  Unreachable,        ///< The call was refused or broke off.
  TimedOut,           ///< No answer within the call's time limit.
  HistoryUnavailable, ///< The store answers, but no longer knows what changed after the revision.
};

/// Decides which call to the store comes next and whether the VM counts as one that the store
/// doesn't serve. Performs no I/O.
///
/// A watch isn't answered while nothing changes, so a broken one can't be told from a quiet one:
/// the path may be cut, or the store may have dropped its history. A VM that takes over as reader,
/// or whose watch failed, therefore asks for the store's revision first, which is answered at once,
/// and reads everything if the replica is behind. While a watch had no answer the store may have
/// been down and entries may have lapsed, so a watch that times out counts as a loss even if the
/// check succeeds.
class StoreSyncPolicy {
public:
  StoreSyncStep nextStep(bool mustRead, TimePoint now);

  void didCheck(StoreRevision theirs, StoreRevision ours, TimePoint now);
  void didReadAll(TimePoint now);
  void didWatch(TimePoint now);
  /// The step that `next` returned failed.
  void didFail(StoreFailure failure, TimePoint now);
  /// Other VMs have brought the whole replica.
  void didReceiveFullCopy() { MustReadAll = false; }

  /// Whether other VMs shall rather read: calls have failed, now or a moment ago.
  bool isDisconnected() const { return IsLost; }
  /// Whether the store answers again after a failure, but entries that lapsed may not be back yet.
  bool isRecovering() const { return IsLost && IsProven; }
  /// Pause before the next step. `unit` is a random number from 0 to 1, so that VMs that fail
  /// together don't return together.
  Duration pause(double unit) const;

private:
  void didAnswer(TimePoint now);

  /// What `next` returned last.
  StoreSyncStep Step = StoreSyncStep::WaitForPeers;
  bool MustReadAll = true;
  /// The store has answered since this VM began to read or since its last call failed.
  bool IsProven = false;
  bool IsLost = false;
  int Failures = 0;
  /// Watches that failed in a row, whatever the checks between them said.
  int FailedWatches = 0;
  TimePoint FailedAt{};
  TimePoint RegainedAt{};
};

} // namespace wigeonlift
