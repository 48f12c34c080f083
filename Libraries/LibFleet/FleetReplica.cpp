#include <LibFleet/FleetReplica.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace wigeonlift {

ReplicaUpdate FleetReplica::didReceive(const FleetMessage &message, TimePoint now) {
  ReplicaUpdate update{.Datagrams = Members.didReceive(message, now)};
  if (message.Delta && Replica.revision() >= message.DeltaAfter &&
      message.Delta->AsOf > Replica.revision())
    apply(*message.Delta, message.DeltaAfter, scopeOfChangesFrom(message.Sender.Ip), now, update);
  return update;
}

ReplicaUpdate FleetReplica::didReadStore(const StoreDelta &delta, StoreRevision after,
                                         TimePoint now) {
  Members.didReachStore(now);
  ReplicaUpdate update;
  apply(delta, after, PropagationScope::LocalVmsAndRemoteReaders, now, update);
  return update;
}

ReplicaUpdate FleetReplica::didReadPeer(const StoreDelta &delta, StoreRevision after,
                                        VmAddress peer, TimePoint now) {
  ReplicaUpdate update;
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
