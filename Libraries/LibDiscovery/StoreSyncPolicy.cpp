#include <LibDiscovery/StoreSyncPolicy.h>

#include <LibDiscovery/LeaseRenewal.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// How often a VM that receives changes from its peers checks whether it must read the store itself.
constexpr Duration ReaderRoleCheckInterval = std::chrono::milliseconds{300};
// How long a VM that doesn't read the store counts as disconnected after its last failed call.
// Until then other VMs are preferred as readers.
constexpr Duration DisconnectedTimeAfterFailure = std::chrono::seconds{6};
constexpr Duration InitialRetryDelay = std::chrono::milliseconds{200};
constexpr Duration MaxRetryDelayOfReader = std::chrono::milliseconds{1000};
// Other VMs hear from the reader when the store answers again. Unless they are all to wait for it,
// they have to try themselves in the time that a VM has after the store's return.
constexpr Duration MaxRetryDelayOfOthers = std::chrono::milliseconds{2000};
// A complete read that gets no answer takes longer than a check of the revision.
constexpr Duration MaxRetryDelayOfReads = std::chrono::milliseconds{1500};
constexpr int MaxBackoffDoublings = 4;

} // namespace

StoreSyncStep StoreSyncPolicy::nextStep(StoreSyncNeed need, TimePoint now) {
  LastNeed = need;
  if (MustReadAll || need == StoreSyncNeed::ReplicaLacking)
    return LastStep = StoreSyncStep::ReadAll;
  if (need == StoreSyncNeed::ReplicaExpired)
    return LastStep = StoreSyncStep::CheckRevision;
  if (need == StoreSyncNeed::None) {
    HasStoreAnswered = false;
    if (now - LastFailureAt > DisconnectedTimeAfterFailure)
      IsDisconnected = false;
    return LastStep = StoreSyncStep::WaitForPeers;
  }
  return LastStep = HasStoreAnswered ? StoreSyncStep::Watch : StoreSyncStep::CheckRevision;
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
  if (!HasStoreAnswered)
    AnsweringSince = now;
  HasStoreAnswered = true;
  ConsecutiveFailedReads = 0;
  if (IsDisconnected && now - AnsweringSince > LeaseRenewalTime)
    IsDisconnected = false;
}

void StoreSyncPolicy::didFail(StoreFailure failure, TimePoint now) {
  if (failure == StoreFailure::HistoryUnavailable) {
    MustReadAll = true;
    return;
  }
  HasStoreAnswered = false;
  const bool hasWatchFailed = LastStep == StoreSyncStep::Watch;
  (hasWatchFailed ? ConsecutiveFailedWatches : ConsecutiveFailedReads) += 1;
  // A watch may be interrupted although the store works. The revision check that follows tells
  // whether the store is unreachable.
  if (hasWatchFailed && failure == StoreFailure::Unreachable)
    return;
  IsDisconnected = true;
  LastFailureAt = now;
}

Duration StoreSyncPolicy::retryDelay(double jitter) const {
  const int doublings = std::min(ConsecutiveFailedReads - 1, MaxBackoffDoublings);
  const Duration backoff = InitialRetryDelay * (1 << doublings);
  return std::min(maxRetryDelay(), fromSeconds(toSeconds(backoff) * (0.75 + jitter / 2)));
}

Duration StoreSyncPolicy::maxRetryDelay() const {
  if (LastNeed == StoreSyncNeed::IsReader)
    return MaxRetryDelayOfReader;
  return MustReadAll ? MaxRetryDelayOfReads : MaxRetryDelayOfOthers;
}

Duration StoreSyncPolicy::pause(double jitter, Duration batchingDelay) const {
  if (LastStep == StoreSyncStep::WaitForPeers)
    return ReaderRoleCheckInterval;
  if (ConsecutiveFailedReads > 0)
    return retryDelay(jitter);
  if (MustReadAll || !HasStoreAnswered)
    return Duration::zero();
  // If the store answers revision checks but interrupts every watch, calls without a pause would
  // flood it.
  if (ConsecutiveFailedWatches > 1)
    return BatchingDelay;
  return LastStep == StoreSyncStep::CheckRevision ? Duration::zero() : batchingDelay;
}

} // namespace wigeonlift
