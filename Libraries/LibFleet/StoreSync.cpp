#include <LibFleet/StoreSync.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace wigeonlift {

namespace {

constexpr Duration ReadTimeout = std::chrono::milliseconds{1000};
// A store that is slow still answers a call without content within this time.
constexpr Duration CheckTimeout = std::chrono::milliseconds{700};
// Of a watch, beyond its wait.
constexpr Duration WatchAnswerTimeout = std::chrono::milliseconds{500};
// The store must hold a watch for some time, or watches would follow each other without a pause.
constexpr Duration MinWatchWait = std::chrono::milliseconds{50};
// The watch of a reader that is told by the lead reader how recent its replica is. Longer ones
// would save few calls, and one that is broken would be noticed later.
constexpr int FollowerWatchIntervals = 2;

} // namespace

StoreSyncNeed StoreSync::need(TimePoint now) const {
  const bool isReader = Fleet.members().isReader(now);
  if (Fleet.isLacking() && (isReader || Fleet.isLackingForLong(now)))
    return StoreSyncNeed::ReplicaLacking;
  if (isReader)
    return StoreSyncNeed::IsReader;
  return now >= Fleet.freshness().expiresAt() ? StoreSyncNeed::ReplicaExpired : StoreSyncNeed::None;
}

Duration StoreSync::watchWait(TimePoint now) const {
  if (Fleet.hasLeadReader(now))
    return FollowerWatchIntervals * Fleet.freshness().limits().ConfirmInterval;
  const Duration left = Fleet.freshness().confirmationDue() - now - AnswerTime;
  return std::clamp(left, MinWatchWait,
                    std::max(MinWatchWait, Fleet.freshness().limits().ConfirmInterval));
}

StoreCall StoreSync::next(TimePoint now) {
  const StoreSyncNeed reason = need(now);
  LastCall = {.Step = Policy.nextStep(reason, now), .Need = reason};
  WasWatchIdle = false;
  // Some time after its last failure a VM ceases to count as disconnected, which is no urgent news.
  updateConnection(now);
  switch (LastCall.Step) {
  case StoreSyncStep::WaitForPeers:
    if (now >= Fleet.freshness().questionDue())
      LastCall.Question = Fleet.members().askReader(now);
    break;
  case StoreSyncStep::CheckRevision:
    LastCall.Timeout = CheckTimeout;
    break;
  case StoreSyncStep::ReadAll:
    LastCall.Timeout = ReadTimeout;
    break;
  case StoreSyncStep::Watch:
    LastCall.Wait = watchWait(now);
    LastCall.Timeout = LastCall.Wait + WatchAnswerTimeout;
    break;
  }
  LastCall.After = Fleet.revision();
  CalledAt = now;
  return LastCall;
}

Duration StoreSync::pause(TimePoint now) {
  const ReplicaFreshness &freshness = Fleet.freshness();
  const Duration pause = Policy.pause(Rng.unit(), batchingDelay(now));
  if (LastCall.Step != StoreSyncStep::WaitForPeers)
    return std::max(Duration::zero(), pause);
  const bool wasQuestionDue = now >= freshness.questionDue();
  const TimePoint end = wasQuestionDue ? freshness.expiresAt() : freshness.questionDue();
  return std::clamp(end - now, Duration::zero(), pause);
}

Duration StoreSync::batchingDelay(TimePoint now) const {
  if (WasWatchIdle)
    return Duration::zero();
  const Duration untilConfirmation = Fleet.freshness().confirmationDue() - now;
  // The lead reader sends changes meanwhile.
  return Fleet.hasLeadReader(now) ? untilConfirmation
                                  : std::min(StoreSyncPolicy::BatchingDelay, untilConfirmation);
}

void StoreSync::didAnswer(TimePoint now) {
  // After an outage, entries whose leases have expired aren't back at once.
  if (!Policy.isDisconnected())
    Fleet.members().didReachStore(now);
}

std::optional<StoreFailure> StoreSync::failureOf(StoreRevision answered) const {
  const std::uint64_t era = Fleet.revision().Era;
  // The answer was delayed, or it comes from a store that isn't the current one.
  if (answered.Era < era)
    return StoreFailure::Unreachable;
  if (LastCall.Step != StoreSyncStep::Watch || answered.Era == LastCall.After.Era)
    return std::nullopt;
  // The changes follow a number that was assigned in another era. If the replica has reached the
  // era of the answer meanwhile, through another VM, a check of the revision tells the rest.
  return answered.Era > era ? StoreFailure::HistoryUnavailable : StoreFailure::Unreachable;
}

ReplicaUpdate StoreSync::didCheck(StoreRevision storeRevision, TimePoint now) {
  if (const auto failure = failureOf(storeRevision))
    return didFail(*failure, now);
  Policy.didCheck(storeRevision, Fleet.revision(), now);
  didAnswer(now);
  ReplicaUpdate update;
  if (storeRevision <= Fleet.revision())
    update = Fleet.didConfirm(CalledAt, now);
  finishCall(update, now);
  return update;
}

ReplicaUpdate StoreSync::didReadAll(const StoreDelta &delta, TimePoint now) {
  if (const auto failure = failureOf(delta.AsOf))
    return didFail(*failure, now);
  Policy.didReadAll(now);
  didAnswer(now);
  return didRead(delta, CalledAt, now);
}

ReplicaUpdate StoreSync::didWatch(const StoreDelta &delta, TimePoint now) {
  if (const auto failure = failureOf(delta.AsOf))
    return didFail(*failure, now);
  Policy.didWatch(now);
  didAnswer(now);
  const TimePoint waitEnd = CalledAt + LastCall.Wait;
  WasWatchIdle = delta.Items.empty() && now >= waitEnd;
  // An answer may be delayed on its way. One without changes was sent at the end of the wait, one
  // with changes at any time after the call.
  return didRead(delta, WasWatchIdle ? waitEnd : CalledAt, now);
}

ReplicaUpdate StoreSync::didRead(const StoreDelta &delta, TimePoint confirmedAt, TimePoint now) {
  ReplicaUpdate update = Fleet.didReadStore(delta, LastCall.After, confirmedAt, now);
  finishCall(update, now);
  return update;
}

void StoreSync::finishCall(ReplicaUpdate &update, TimePoint now) {
  AnswerTime = std::max(Duration::zero(), now - CalledAt - LastCall.Wait);
  std::ranges::move(updateConnection(now), std::back_inserter(update.Datagrams));
  // A VM that has just started reads everything for itself; many may do so at the same time.
  if (LastCall.Need != StoreSyncNeed::None)
    Fleet.announceAge(update, now);
}

ReplicaUpdate StoreSync::didFail(StoreFailure failure, TimePoint now) {
  Policy.didFail(failure, now);
  if (const auto downAt = storeDownAt(failure, now))
    Fleet.didFailToReachStore(*downAt);
  return {.Datagrams = updateConnection(now)};
}

std::optional<TimePoint> StoreSync::storeDownAt(StoreFailure failure, TimePoint now) const {
  // A call that gets no answer may have met the outage at any time since it began.
  if (failure == StoreFailure::TimedOut)
    return CalledAt;
  // A store that works may interrupt a watch.
  const bool isRefused =
      failure == StoreFailure::Unreachable && LastCall.Step != StoreSyncStep::Watch;
  return isRefused ? std::optional{now} : std::nullopt;
}

std::vector<FleetDatagram> StoreSync::updateConnection(TimePoint now) {
  if (std::exchange(WasDisconnected, Policy.isDisconnected()) == Policy.isDisconnected())
    return {};
  return Fleet.members().setStoreDisconnected(Policy.isDisconnected(), now);
}

} // namespace wigeonlift
