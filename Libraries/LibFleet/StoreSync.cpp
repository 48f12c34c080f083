#include <LibFleet/StoreSync.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace wigeonlift {

namespace {

constexpr Duration ReadTimeout = std::chrono::milliseconds{1000};
// A store that is slow still answers a call without content within this time.
constexpr Duration CheckTimeout = std::chrono::milliseconds{700};
// A watch that hears nothing for long may be dead without a sign.
constexpr Duration WatchWait = std::chrono::milliseconds{2000};
constexpr Duration WatchTimeout = std::chrono::milliseconds{2500};

} // namespace

bool StoreSync::mustWatch(TimePoint now) const {
  return Fleet.members().isReader(now) || !Fleet.members().hasWorkingReader(now);
}

StoreCall StoreSync::next(TimePoint now) {
  LastCall = {.Step = Policy.nextStep(mustWatch(now), now)};
  // Some time after its last failure a VM ceases to count as disconnected, which is no urgent news.
  updateConnection(now);
  switch (LastCall.Step) {
  case StoreSyncStep::WaitForPeers:
    break;
  case StoreSyncStep::CheckRevision:
    LastCall.Timeout = CheckTimeout;
    break;
  case StoreSyncStep::ReadAll:
    LastCall.Timeout = ReadTimeout;
    break;
  case StoreSyncStep::Watch:
    LastCall.Wait = WatchWait;
    LastCall.Timeout = WatchTimeout;
    break;
  }
  LastCall.After = Fleet.revision();
  CalledAt = now;
  return LastCall;
}

ReplicaUpdate StoreSync::didCheck(StoreRevision storeRevision, TimePoint now) {
  Policy.didCheck(storeRevision, Fleet.revision(), now);
  Fleet.members().didReachStore(now);
  if (storeRevision <= Fleet.revision())
    Fleet.didConfirm(CalledAt);
  return {.Datagrams = updateConnection(now)};
}

ReplicaUpdate StoreSync::didReadAll(const StoreDelta &delta, TimePoint now) {
  Policy.didReadAll(now);
  return didRead(delta, CalledAt, now);
}

ReplicaUpdate StoreSync::didWatch(const StoreDelta &delta, TimePoint now) {
  Policy.didWatch(now);
  // An answer may be delayed on its way. One without changes was sent at the end of the wait, one
  // with changes at any time after the call.
  const TimePoint confirmedAt =
      delta.Items.empty() ? std::min(now, CalledAt + LastCall.Wait) : CalledAt;
  return didRead(delta, confirmedAt, now);
}

ReplicaUpdate StoreSync::didFail(StoreFailure failure, TimePoint now) {
  Policy.didFail(failure, now);
  return {.Datagrams = updateConnection(now)};
}

ReplicaUpdate StoreSync::didRead(const StoreDelta &delta, TimePoint confirmedAt, TimePoint now) {
  ReplicaUpdate update = Fleet.didReadStore(delta, LastCall.After, confirmedAt, now);
  std::ranges::move(updateConnection(now), std::back_inserter(update.Datagrams));
  return update;
}

std::vector<FleetDatagram> StoreSync::updateConnection(TimePoint now) {
  if (std::exchange(WasDisconnected, Policy.isDisconnected()) == Policy.isDisconnected())
    return {};
  return Fleet.members().setStoreDisconnected(Policy.isDisconnected(), now);
}

} // namespace wigeonlift
