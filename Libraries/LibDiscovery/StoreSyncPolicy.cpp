#include <LibDiscovery/StoreSyncPolicy.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Changes that come in series are fetched with one call.
constexpr Duration FoldSpan = std::chrono::milliseconds{500};
// How often a VM that depends on another one's watch looks whether it still may.
constexpr Duration FollowInterval = std::chrono::milliseconds{300};
// A VM that the store refuses doesn't try to read for the others again before this time is over.
constexpr Duration LostMemory = std::chrono::seconds{6};
// Entries that lapsed while the store was away return within this time.
constexpr Duration LapseSpan = std::chrono::milliseconds{2200};
constexpr Duration FirstRetry = std::chrono::milliseconds{200};
constexpr Duration MaxRetry = std::chrono::milliseconds{1000};
constexpr int MaxDoublings = 3;

} // namespace

StoreSyncStep StoreSyncPolicy::nextStep(bool mustRead, TimePoint now) {
  if (MustReadAll)
    return Step = StoreSyncStep::ReadAll;
  if (!mustRead) {
    IsProven = false;
    if (now - FailedAt > LostMemory)
      IsLost = false;
    return Step = StoreSyncStep::WaitForPeers;
  }
  return Step = IsProven ? StoreSyncStep::Watch : StoreSyncStep::CheckRevision;
}

void StoreSyncPolicy::didCheck(StoreRevision theirs, StoreRevision ours, TimePoint now) {
  didAnswer(now);
  MustReadAll = theirs > ours;
}

void StoreSyncPolicy::didReadAll(TimePoint now) {
  didAnswer(now);
  MustReadAll = false;
}

void StoreSyncPolicy::didWatch(TimePoint now) {
  FailedWatches = 0;
  didAnswer(now);
}

void StoreSyncPolicy::didAnswer(TimePoint now) {
  if (!IsProven)
    RegainedAt = now;
  IsProven = true;
  Failures = 0;
  if (IsLost && now - RegainedAt > LapseSpan)
    IsLost = false;
}

void StoreSyncPolicy::didFail(StoreFailure failure, TimePoint now) {
  if (failure == StoreFailure::HistoryUnavailable) {
    MustReadAll = true;
    return;
  }
  IsProven = false;
  const bool wasWatch = Step == StoreSyncStep::Watch;
  (wasWatch ? FailedWatches : Failures) += 1;
  // After a watch that was cut, the check that follows tells whether the store is away.
  if (wasWatch && failure == StoreFailure::Unreachable)
    return;
  IsLost = true;
  FailedAt = now;
}

Duration StoreSyncPolicy::pause(double unit) const {
  if (Step == StoreSyncStep::WaitForPeers)
    return FollowInterval;
  if (Failures > 0) {
    const int doublings = std::min(Failures - 1, MaxDoublings);
    const Duration base = FirstRetry * (1 << doublings);
    return std::min(MaxRetry, fromSeconds(toSeconds(base) * (0.75 + unit / 2)));
  }
  if (MustReadAll || !IsProven)
    return Duration::zero();
  // A store that cuts every watch but answers checks must not be asked without a pause.
  return Step != StoreSyncStep::CheckRevision || FailedWatches > 1 ? FoldSpan : Duration::zero();
}

} // namespace wigeonlift
