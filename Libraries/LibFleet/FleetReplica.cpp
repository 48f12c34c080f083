#include <LibFleet/FleetReplica.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace wigeonlift {

namespace {

// Bounds the questions that follow from messages of other VMs.
constexpr Duration MinQuestionInterval = std::chrono::milliseconds{100};
// How long after its start a VM looks for a later copy than one that isn't confirmed, and how long
// it does if it knows of a later one.
constexpr Duration NewsTime = std::chrono::seconds{1};
constexpr Duration MaxNewsTime = std::chrono::seconds{3};
// How long a VM that doesn't read the store looks for a copy with all upstreams at other VMs.
constexpr Duration LackingPatience = std::chrono::seconds{2};

RemovalKind removalKindDuring(StoreOutage outage) {
  switch (outage) {
  case StoreOutage::None:
    return RemovalKind::Final;
  case StoreOutage::Possible:
    return RemovalKind::PossibleLeaseExpiry;
  case StoreOutage::Certain:
    return RemovalKind::ProbableLeaseExpiry;
  }
  return RemovalKind::Final;
}

} // namespace

EntryRemoval ReplicaUpdate::removals() const {
  return {.Kind = IsRestored ? RemovalKind::StoreRestored : removalKindDuring(Outage),
          .EarliestAt = ChangesFrom,
          .StoreDownAt = StoreDownAt};
}

ReplicaUpdate FleetReplica::tick(TimePoint now) {
  // The store may refuse a VM whose replica is too old, so it turns to other VMs as well.
  ReplicaUpdate update{.Datagrams = Members.tick(now, now >= Freshness.expiresAt())};
  release(update, now);
  return update;
}

bool FleetReplica::isUsable(TimePoint now) const {
  if (Replica.isEmpty())
    return false;
  if (Freshness.confirmedAt() && Freshness.age(now) <= Freshness.limits().MaxAgeLimit)
    return true;
  const Duration sinceStart = now - StartedAt;
  return sinceStart >= (Members.isBehind(now) ? MaxNewsTime : NewsTime);
}

void FleetReplica::release(ReplicaUpdate &update, TimePoint now) {
  if (IsInUse)
    return;
  IsInUse = isUsable(now);
  update.Changes.clear();
  update.IsRestored = false;
  if (!IsInUse)
    return;
  update.Changes = Replica.usedItems();
  std::ranges::sort(update.Changes, {}, &StoreItem::Revision);
}

ReplicaUpdate FleetReplica::didReceive(const FleetMessage &message, TimePoint now) {
  ReplicaUpdate update{.Datagrams = Members.didReceive(message, now),
                       .ChangesFrom = Freshness.currentAt()};
  if (message.Wanted != AnswerWanted::None) {
    addMissingChanges(message.Sender, update.Datagrams);
    askLeadReader(update, now);
  }
  // The messages that pass changes on contain the new age.
  const bool hasChanges = isNext(message);
  const StoreRevision revision = hasChanges ? message.Delta->AsOf : Replica.revision();
  // Confirmations of an earlier era are of a time before the store was restored, so they prove
  // nothing new about a copy that was read after that.
  if (message.Sender.Revision.Era == revision.Era && message.Sender.Revision <= revision)
    didReceiveConfirmation(message, now, update);
  if (hasChanges)
    apply(reduced(*message.Delta), message.DeltaAfter, scopeOfChangesFrom(message.Sender.Ip),
          Members.toOwnTime(message.StoreDownAt, now), now, update);
  release(update, now);
  return update;
}

StoreDelta FleetReplica::reduced(const StoreDelta &delta) const {
  StoreIntake result = intake(delta.IsComplete ? IntakeKind::Copy : IntakeKind::Changes);
  for (const StoreItem &it : delta.Items)
    result.add(it);
  result.setSenderState(delta.HasLeftOut, delta.IsLacking);
  return result.take(delta.IsComplete, delta.AsOf);
}

bool FleetReplica::isNext(const FleetMessage &message) const {
  if (!message.Delta || message.Delta->AsOf <= Replica.revision())
    return false;
  if (message.Delta->AsOf.Era != Replica.revision().Era)
    return message.Delta->IsComplete;
  return Replica.revision() >= message.DeltaAfter;
}

void FleetReplica::addMissingChanges(const FleetVm &asker, std::vector<FleetDatagram> &answers) {
  // A VM without any replica reads a complete copy over a connection.
  if (answers.empty() || asker.Revision == 0 || asker.Revision >= Replica.revision())
    return;
  const StoreDelta delta = Replica.changesSince(asker.Revision);
  if (!mayFitDatagram(delta))
    return;
  for (FleetDatagram &it : answers) {
    it.Message.Delta = delta;
    it.Message.DeltaAfter = asker.Revision;
  }
}

void FleetReplica::didReceiveConfirmation(const FleetMessage &message, TimePoint now,
                                          ReplicaUpdate &update) {
  const VmAddress sender = message.Sender.Ip;
  if (const auto confirmedAt = Members.toOwnTime(message.ReplicaConfirmedAt, now)) {
    confirm(*confirmedAt);
    if (message.IsFromLeadReader)
      LeadConfirmedAt = *confirmedAt;
    if (message.IsFromLeadReader && !Members.isInOwnDataCentre(sender))
      announce(update, true, now);
    return;
  }
  // The sender may not know this VM's clock yet. The question shows it.
  if (message.IsFromLeadReader || now >= Freshness.questionDue())
    ask(sender, update, now);
}

void FleetReplica::ask(VmAddress vm, ReplicaUpdate &update, TimePoint now) {
  if (now - AskedAt < MinQuestionInterval)
    return;
  AskedAt = now;
  update.Datagrams.push_back(Members.ask(vm, now));
}

void FleetReplica::askLeadReader(ReplicaUpdate &update, TimePoint now) {
  if (now < Freshness.questionDue() || !Members.isReader(now))
    return;
  const auto lead = Members.leadReader(now);
  if (lead && *lead != Members.self().Ip)
    ask(*lead, update, now);
}

bool FleetReplica::hasLeadReader(TimePoint now) const {
  return LeadConfirmedAt && now - *LeadConfirmedAt < Freshness.limits().MinAgeLimit &&
         !Members.isLeadReader(now);
}

ReplicaUpdate FleetReplica::didConfirm(TimePoint confirmedAt, TimePoint now) {
  ReplicaUpdate update;
  confirm(confirmedAt);
  release(update, now);
  return update;
}

void FleetReplica::confirm(TimePoint confirmedAt) {
  if (Freshness.didConfirm(confirmedAt))
    Members.setReplicaConfirmedAt(confirmedAt);
}

void FleetReplica::announceAge(ReplicaUpdate &update, TimePoint now) {
  announce(update, false, now);
}

void FleetReplica::announce(ReplicaUpdate &update, bool isFromLeadReader, TimePoint now) {
  std::set<VmAddress> told;
  for (const FleetDatagram &it : update.Datagrams)
    told.insert(it.To);
  for (FleetDatagram &it : Members.announce(isFromLeadReader, now))
    if (!told.contains(it.To))
      update.Datagrams.push_back(std::move(it));
}

ReplicaUpdate FleetReplica::didReadStore(const StoreDelta &delta, StoreRevision after,
                                         TimePoint confirmedAt, TimePoint now) {
  ReplicaUpdate update{.ChangesFrom = Freshness.currentAt()};
  // The messages that pass the changes on contain the new age.
  confirm(confirmedAt);
  apply(delta, after, PropagationScope::LocalVmsAndRemoteReaders, OwnStoreDownAt, now, update);
  release(update, now);
  return update;
}

ReplicaUpdate FleetReplica::didReadPeer(const StoreDelta &delta, StoreRevision after,
                                        VmAddress peer, TimePoint now) {
  ReplicaUpdate update{.ChangesFrom = Freshness.currentAt()};
  apply(delta, after, scopeOfChangesFrom(peer), Members.storeDownAt(peer), now, update);
  release(update, now);
  return update;
}

PropagationScope FleetReplica::scopeOfChangesFrom(VmAddress peer) const {
  return Members.isInOwnDataCentre(peer) ? PropagationScope::FewLocalVms
                                         : PropagationScope::AllLocalVms;
}

std::vector<StoreItem> FleetReplica::useNamedServices(const StoreDelta &delta) {
  std::vector<StoreItem> result;
  for (const StoreItem &it : delta.Items) {
    if (it.IsRemoved || !it.Service.empty())
      continue;
    const auto services = Format->namedServices(it);
    const StoreItem *known = Replica.find(it.Key);
    // A configuration that the replica didn't take over is an older one.
    if (services && known && known->Revision == it.Revision)
      std::ranges::move(Replica.use(*services, delta.IsComplete && !delta.IsLacking),
                        std::back_inserter(result));
  }
  return result;
}

bool FleetReplica::isLackingForLong(TimePoint now) const {
  return LackingFrom && now - *LackingFrom >= LackingPatience;
}

void FleetReplica::apply(const StoreDelta &delta, StoreRevision after, PropagationScope scope,
                         std::optional<TimePoint> storeDownAt, TimePoint now,
                         ReplicaUpdate &update) {
  const StoreRevision before = Replica.revision();
  const bool wasEmpty = Replica.isEmpty();
  update.Changes = Replica.apply(delta, now);
  if (Format) {
    std::ranges::move(useNamedServices(delta), std::back_inserter(update.Changes));
    std::ranges::stable_sort(update.Changes, {}, &StoreItem::Revision);
    Replica.keepWithinBound();
  }
  LackingFrom = Replica.isLacking() ? std::optional{LackingFrom.value_or(now)} : std::nullopt;
  update.RevisionBefore = before;
  update.IsRestored = !wasEmpty && Replica.revision().Era > before.Era;
  update.Outage = Members.storeOutage(Freshness.limits().MaxStoreSilence, now);
  // If the store has confirmed the replica meanwhile, a call that failed tells of one VM's link.
  const bool isStale = now - update.ChangesFrom > Freshness.limits().MaxAgeLimit;
  update.StoreDownAt = isStale ? storeDownAt : std::nullopt;
  Members.setRevision(Replica.revision());
  if (Replica.revision() == before)
    return;
  Members.setStoreDownAt(storeDownAt);
  auto datagrams = Members.propagate(delta, after, scope, now);
  std::ranges::move(datagrams, std::back_inserter(update.Datagrams));
}

} // namespace wigeonlift
