#include <LibFleet/FleetReplica.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace wigeonlift {

namespace {

// Longer than ticks are delayed on a busy VM.
constexpr Duration PauseLimit = 3 * FleetMembership::GossipInterval;

} // namespace

std::vector<FleetDatagram> FleetReplica::tick(TimePoint now) {
  if (mayHavePaused(now))
    IgnoreAgesUntil = now + FleetMembership::GossipInterval;
  TickedAt = now;
  return Members.tick(now);
}

bool FleetReplica::mayHavePaused(TimePoint now) const {
  return now - TickedAt > PauseLimit || now < IgnoreAgesUntil;
}

ReplicaUpdate FleetReplica::didReceive(const FleetMessage &message, TimePoint now) {
  ReplicaUpdate update{.Datagrams = Members.didReceive(message, now),
                       .ChangesFrom = Freshness.currentAt()};
  if (message.Delta && Replica.revision() >= message.DeltaAfter &&
      message.Delta->AsOf > Replica.revision())
    apply(*message.Delta, message.DeltaAfter, scopeOfChangesFrom(message.Sender.Ip), now, update);
  didReceiveAge(message.Sender, now);
  return update;
}

void FleetReplica::didReceiveAge(const FleetVm &sender, TimePoint now) {
  if (sender.ReplicaAgeMs && sender.Revision <= Replica.revision() && !mayHavePaused(now))
    didConfirm(now - std::chrono::milliseconds{*sender.ReplicaAgeMs});
}

void FleetReplica::didConfirm(TimePoint confirmedAt) {
  Freshness.didConfirm(confirmedAt);
  Members.setReplicaConfirmedAt(*Freshness.confirmedAt());
}

std::vector<FleetDatagram> FleetReplica::announceAge(const ReplicaUpdate &update, TimePoint now) {
  std::set<VmAddress> told;
  for (const FleetDatagram &it : update.Datagrams)
    told.insert(it.To);
  auto datagrams = Members.announce(now);
  std::erase_if(datagrams, [&](const FleetDatagram &it) { return told.contains(it.To); });
  return datagrams;
}

ReplicaUpdate FleetReplica::didReadStore(const StoreDelta &delta, StoreRevision after,
                                         TimePoint confirmedAt, TimePoint now) {
  Members.didReachStore(now);
  ReplicaUpdate update{.ChangesFrom = Freshness.currentAt()};
  // The messages that pass the changes on contain the new age.
  didConfirm(confirmedAt);
  apply(delta, after, PropagationScope::LocalVmsAndRemoteReaders, now, update);
  return update;
}

ReplicaUpdate FleetReplica::didReadPeer(const StoreDelta &delta, StoreRevision after,
                                        VmAddress peer, TimePoint now) {
  ReplicaUpdate update{.ChangesFrom = Freshness.currentAt()};
  apply(delta, after, scopeOfChangesFrom(peer), now, update);
  return update;
}

PropagationScope FleetReplica::scopeOfChangesFrom(VmAddress peer) const {
  return Members.isInOwnDataCentre(peer) ? PropagationScope::FewLocalVms
                                         : PropagationScope::AllLocalVms;
}

void FleetReplica::apply(const StoreDelta &delta, StoreRevision after, PropagationScope scope,
                         TimePoint now, ReplicaUpdate &update) {
  const StoreRevision before = Replica.revision();
  update.Changes = Replica.apply(delta, now);
  update.Outage = Members.storeOutage(now);
  Members.setRevision(Replica.revision());
  if (Replica.revision() == before)
    return;
  auto datagrams = Members.propagate(delta, after, scope, now);
  std::ranges::move(datagrams, std::back_inserter(update.Datagrams));
}

} // namespace wigeonlift
