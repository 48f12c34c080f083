#include <LibDiscovery/StoreSyncPolicy.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Delay between two watch calls, so that changes in quick succession are fetched with one call.
constexpr Duration BatchingDelay = std::chrono::milliseconds{500};
// How often a VM that receives changes from its peers checks whether it must read the store itself.
constexpr Duration ReaderRecheckInterval = std::chrono::milliseconds{300};
// How long a VM that doesn't read the store counts as disconnected after its last failed call.
// Until then other VMs are preferred as readers.
constexpr Duration DisconnectedHoldTime = std::chrono::seconds{6};
// Upstreams whose leases expired while the store was unreachable write their entries again within
// this time.
constexpr Duration LeaseRenewalTime = std::chrono::milliseconds{2200};
constexpr Duration InitialRetryDelay = std::chrono::milliseconds{200};
constexpr Duration MaxRetryDelay = std::chrono::milliseconds{1000};
constexpr int MaxBackoffDoublings = 3;

} // namespace

StoreSyncStep StoreSyncPolicy::nextStep(bool mustRead, TimePoint now) {
  if (MustReadAll)
    return LastStep = StoreSyncStep::ReadAll;
  if (!mustRead) {
    HasAnswered = false;
    if (now - LastFailureAt > DisconnectedHoldTime)
      IsDisconnected = false;
    return LastStep = StoreSyncStep::WaitForPeers;
  }
  return LastStep = HasAnswered ? StoreSyncStep::Watch : StoreSyncStep::CheckRevision;
}

void StoreSyncPolicy::didCheck(StoreRevision storeRevision, StoreRevision replicaRevision,
                               TimePoint now) {
  didAnswer(now);
  MustReadAll = storeRevision > replicaRevision;
}

void StoreSyncPolicy::didReadAll(TimePoint now) {
  didAnswer(now);
  MustReadAll = false;
}

void StoreSyncPolicy::didWatch(TimePoint now) {
  ConsecutiveFailedWatches = 0;
  didAnswer(now);
}

void StoreSyncPolicy::didAnswer(TimePoint now) {
  if (!HasAnswered)
    ReconnectedAt = now;
  HasAnswered = true;
  ConsecutiveFailures = 0;
  if (IsDisconnected && now - ReconnectedAt > LeaseRenewalTime)
    IsDisconnected = false;
}

void StoreSyncPolicy::didFail(StoreFailure failure, TimePoint now) {
  if (failure == StoreFailure::HistoryUnavailable) {
    MustReadAll = true;
    return;
  }
  HasAnswered = false;
  const bool hasWatchFailed = LastStep == StoreSyncStep::Watch;
  (hasWatchFailed ? ConsecutiveFailedWatches : ConsecutiveFailures) += 1;
  // A watch may be interrupted although the store works. The revision check that follows tells
  // whether the store is unreachable.
  if (hasWatchFailed && failure == StoreFailure::Unreachable)
    return;
  IsDisconnected = true;
  LastFailureAt = now;
}

Duration StoreSyncPolicy::pause(double jitter) const {
  if (LastStep == StoreSyncStep::WaitForPeers)
    return ReaderRecheckInterval;
  if (ConsecutiveFailures > 0) {
    const int doublings = std::min(ConsecutiveFailures - 1, MaxBackoffDoublings);
    const Duration base = InitialRetryDelay * (1 << doublings);
    return std::min(MaxRetryDelay, fromSeconds(toSeconds(base) * (0.75 + jitter / 2)));
  }
  if (MustReadAll || !HasAnswered)
    return Duration::zero();
  // If the store answers revision checks but interrupts every watch, calls without a pause would
  // flood it.
  return LastStep != StoreSyncStep::CheckRevision || ConsecutiveFailedWatches > 1
             ? BatchingDelay
             : Duration::zero();
}

} // namespace wigeonlift
