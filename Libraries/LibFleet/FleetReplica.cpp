#include <LibFleet/FleetReplica.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace wigeonlift {

namespace {

// Bounds the questions that follow from messages which don't tell how recent the replica is.
constexpr Duration MinQuestionInterval = std::chrono::milliseconds{100};

} // namespace

ReplicaUpdate FleetReplica::didReceive(const FleetMessage &message, TimePoint now) {
  ReplicaUpdate update{.Datagrams = Members.didReceive(message, now),
                       .ChangesFrom = Freshness.currentAt()};
  if (message.Wanted != AnswerWanted::None)
    addMissingChanges(message.Sender, update.Datagrams);
  if (message.Delta && Replica.revision() >= message.DeltaAfter &&
      message.Delta->AsOf > Replica.revision())
    apply(*message.Delta, message.DeltaAfter, scopeOfChangesFrom(message.Sender.Ip), now, update);
  didReceiveConfirmation(message, now, update);
  return update;
}

void FleetReplica::addMissingChanges(const FleetVm &asker, std::vector<FleetDatagram> &answers) {
  // A VM without any replica reads a complete copy over a connection.
  if (asker.Revision == 0 || asker.Revision >= Replica.revision())
    return;
  for (FleetDatagram &it : answers) {
    it.Message.Delta = Replica.changesSince(asker.Revision);
    it.Message.DeltaAfter = asker.Revision;
  }
}

void FleetReplica::didReceiveConfirmation(const FleetMessage &message, TimePoint now,
                                          ReplicaUpdate &update) {
  if (message.Sender.Revision > Replica.revision())
    return;
  if (const auto confirmedAt = Members.toOwnTime(message.ReplicaConfirmedAt, now))
    return didConfirm(*confirmedAt);
  // The sender may not know this VM's clock yet. The question shows it.
  if (now < Freshness.questionDue() || now - AskedAt < MinQuestionInterval)
    return;
  AskedAt = now;
  update.Datagrams.push_back(Members.ask(message.Sender.Ip, now));
}

void FleetReplica::didConfirm(TimePoint confirmedAt) {
  if (Freshness.didConfirm(confirmedAt))
    Members.setReplicaConfirmedAt(confirmedAt);
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
  update.Outage = Members.storeOutage(Freshness.limits().MaxStoreSilence, now);
  Members.setRevision(Replica.revision());
  if (Replica.revision() == before)
    return;
  auto datagrams = Members.propagate(delta, after, scope, now);
  std::ranges::move(datagrams, std::back_inserter(update.Datagrams));
}

} // namespace wigeonlift
