#include <LibFleet/FleetMembership.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

namespace wigeonlift {

namespace {

// VMs that a message describes besides its sender. The limits keep a datagram below the usual MTU.
// Most of the space is for VMs of the own data centre, whose state must be recent. Of other data
// centres it is enough to know which VMs exist.
constexpr std::size_t MaxOthers = 28;
constexpr std::size_t MaxLocalOthers = 24;
constexpr std::size_t MaxLocalOthersToRemote = 4;
// With more local peers than this, two messages per tick are needed for a VM's state to reach all
// VMs of the data centre before it is considered dead.
constexpr std::size_t MaxLocalPeersForOneMessage = 8;
// Number of ticks between two messages to other data centres, since traffic between data centres is
// expensive.
constexpr std::uint64_t RemoteGossipIntervalTicks = 2;
// VMs forward what they know with each tick, so in a large data centre the state of a VM is several
// ticks old when it arrives. The timeout therefore grows with the number of VMs.
constexpr Duration LocalDeadAfter = std::chrono::milliseconds{3000};
constexpr Duration LocalDeadAfterPerVm = std::chrono::milliseconds{50};
constexpr Duration RemoteDeadAfter = std::chrono::seconds{15};
// How long VMs that are no longer heard of are kept, to find them again.
constexpr Duration ForgetAfter = std::chrono::seconds{120};
// After its start, a VM contacts a seed with each tick for this long. Afterwards it does so every
// `SeedContactIntervalTicks`, or with each tick while it is isolated.
constexpr Duration JoinDuration = std::chrono::seconds{5};
constexpr std::uint64_t SeedContactIntervalTicks = 20;
// How often a VM sends to one of its data centre that is no longer heard of. That VM may have
// started again while no seed could tell it of the others.
constexpr std::uint64_t SilentPeerIntervalTicks = 4;
// A VM that receives nothing for this long is isolated. The others may take it for dead and send
// nothing either when it can be reached again.
constexpr Duration IsolatedAfter = std::chrono::seconds{2};
// More than one candidate is notified, since the first one may itself be unreachable.
constexpr std::size_t NextReadersNotified = 3;
// Bounds what shortages add to a datagram, which is about 30 bytes each.
constexpr std::size_t MaxReportedShortages = 4;
constexpr std::size_t FewLocalReceivers = 2;
// An earlier outage of the store says nothing about the changes that follow.
constexpr Duration StoreDownRetention = std::chrono::seconds{10};

} // namespace

FleetMembership::FleetMembership(FleetVm self, std::vector<VmAddress> seeds, std::uint64_t rngSeed,
                                 TimePoint startedAt)
    : Self(std::move(self)), Seeds(std::move(seeds)), Rng(rngSeed), StartedAt(startedAt),
      ReceivedAt(startedAt), Holders(Self.Ip, Seeds, startedAt) {
  std::erase(Seeds, Self.Ip);
  // VMs that start together turn to different seeds.
  std::ranges::shuffle(Seeds, Rng.engine());
}

bool FleetMembership::isAlive(const Peer &peer, TimePoint now) const {
  const Duration limit =
      isInOwnDataCentre(peer.Vm)
          ? LocalDeadAfter + LocalDeadAfterPerVm * static_cast<int>(LocalPeerCount)
          : RemoteDeadAfter;
  return now - peer.HeardAt < limit;
}

std::vector<FleetDatagram> FleetMembership::stop(TimePoint now) {
  Self.IsStopping = true;
  Self.IsReady = false;
  ++Self.HeartbeatCount;
  std::vector<FleetDatagram> datagrams;
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now))
      datagrams.push_back(addressTo(ip, messageWithSelf(now), now));
  return datagrams;
}

std::vector<FleetDatagram> FleetMembership::setStoreDisconnected(bool isDisconnected,
                                                                 TimePoint now) {
  const bool hasJustDisconnected = isDisconnected && !Self.IsStoreDisconnected;
  Self.IsStoreDisconnected = isDisconnected;
  if (!hasJustDisconnected)
    return {};
  ++Self.HeartbeatCount;
  std::vector<FleetDatagram> datagrams;
  for (const FleetVm &it : readerCandidates(Self.DataCentre, now))
    if (it.Ip != Self.Ip && datagrams.size() < NextReadersNotified)
      datagrams.push_back(addressTo(it.Ip, messageWithSelf(now), now));
  return datagrams;
}

void FleetMembership::setShortages(std::vector<ServiceShortage> shortages) {
  std::ranges::stable_sort(shortages, {}, [](const auto &it) { return it.Lack.Priority; });
  shortages.resize(std::min(shortages.size(), MaxReportedShortages));
  Shortages = std::move(shortages);
}

FleetMessage FleetMembership::messageWithSelf(TimePoint now) const {
  return {.Sender = Self,
          .SentAtMs = static_cast<std::uint64_t>(toMilliseconds(now.time_since_epoch())),
          .Shortages = Shortages,
          .KnownSeeds = Holders.knownSeeds()};
}

FleetDatagram FleetMembership::addressTo(VmAddress to, FleetMessage message, TimePoint now) const {
  if (ReplicaConfirmedAt)
    message.ReplicaConfirmedAt = Clocks.toClockOf(to, *ReplicaConfirmedAt, now);
  if (StoreReachedAt)
    message.StoreReachedAt = Clocks.toClockOf(to, *StoreReachedAt, now);
  if (StoreDownAt && now - *StoreDownAt < StoreDownRetention)
    message.StoreDownAt = Clocks.toClockOf(to, *StoreDownAt, now);
  return {.To = to, .Message = std::move(message)};
}

std::vector<FleetDatagram> FleetMembership::addressTo(std::span<const VmAddress> receivers,
                                                      const FleetMessage &message,
                                                      TimePoint now) const {
  std::vector<FleetDatagram> datagrams;
  datagrams.reserve(receivers.size());
  for (const VmAddress it : receivers)
    datagrams.push_back(addressTo(it, message, now));
  return datagrams;
}

std::vector<VmAddress> FleetMembership::localVms(TimePoint now) const {
  std::vector<VmAddress> vms;
  for (const auto &[ip, peer] : Peers)
    if (isInOwnDataCentre(peer.Vm) && isAlive(peer, now))
      vms.push_back(ip);
  return vms;
}

std::vector<FleetDatagram> FleetMembership::tick(TimePoint now, bool wantsNews) {
  ++TickCount;
  ++Self.HeartbeatCount;
  Clocks.expire(now);
  Holders.expire(Self, now);
  std::erase_if(Peers, [&](const auto &it) { return now - it.second.HeardAt > ForgetAfter; });
  std::vector<FleetDatagram> datagrams;
  std::set<VmAddress> receivers;
  const auto addMessage = [&](std::optional<VmAddress> to, bool isToRemote, AnswerWanted wanted) {
    if (!to || !receivers.insert(*to).second)
      return;
    datagrams.push_back(addressTo(*to, composeMessage(isToRemote, now), now));
    datagrams.back().Message.Wanted = wanted;
  };
  LocalPeerCount = static_cast<std::size_t>(std::ranges::count_if(
      Peers, [&](const auto &it) { return isInOwnDataCentre(it.second.Vm); }));
  const auto wanted = wantsNews ? AnswerWanted::Own : AnswerWanted::None;
  Self.DataCentreWeight = Holders.localWeight(Self, now);
  addMessage(pickPeer(true, now), false, wanted);
  if (LocalPeerCount > MaxLocalPeersForOneMessage)
    addMessage(pickPeer(true, now), false, wanted);
  // Callers may get only addresses of VMs that ran a few seconds ago.
  if (namesRemoteVms(now))
    addMessage(pickPeer(false, now), true, AnswerWanted::Own);
  else if (wantsNews || TickCount % RemoteGossipIntervalTicks == 0)
    addMessage(pickPeer(false, now), true, wanted);
  const bool isIsolated = now - ReceivedAt > IsolatedAfter;
  const bool wantsContact = isIsolated || now - StartedAt < JoinDuration;
  // The first seed may be down.
  const bool wantsAllSeeds = isIsolated || (Peers.empty() && TickCount > 1);
  if (wantsContact || TickCount % SeedContactIntervalTicks == 0)
    for (const VmAddress it : nextSeeds(wantsAllSeeds ? Seeds.size() : 1))
      addMessage(it, false, wantsContact ? AnswerWanted::All : AnswerWanted::None);
  if (isIsolated)
    addMessage(pickKnownPeer(), false, AnswerWanted::All);
  else if (TickCount % SilentPeerIntervalTicks == 0)
    addMessage(pickSilentLocalPeer(now), false, AnswerWanted::None);
  return datagrams;
}

std::vector<FleetDatagram> FleetMembership::didReceive(const FleetMessage &message, TimePoint now) {
  ReceivedAt = now;
  const VmAddress sender = message.Sender.Ip;
  if (sender != Self.Ip) {
    Holders.didReceive(now);
    Holders.didHearOfSeeds(message.KnownSeeds, now);
  }
  const bool isNew = !Peers.contains(sender);
  const Duration delay = delayOf(message, now);
  merge(message.Sender, delay, now);
  if (const auto it = Peers.find(sender); it != Peers.end()) {
    it->second.ContactAt = now;
    it->second.StoreDownAt = toOwnTime(message.StoreDownAt, now);
  }
  for (const FleetVm &it : message.Others)
    merge(it, delay, now);
  if (sender == Self.Ip)
    return {};
  if (const auto reachedAt = toOwnTime(message.StoreReachedAt, now))
    didReachStore(*reachedAt);
  if (message.SentAtMs > 0)
    Clocks.didReceive(sender, {.Incarnation = message.Sender.Incarnation, .Ms = message.SentAtMs},
                      now);
  if (message.Wanted == AnswerWanted::All || isNew)
    return {addressTo(sender, composeMessage(false, now), now)};
  if (message.Wanted == AnswerWanted::None)
    return {};
  FleetMessage answer = messageWithSelf(now);
  answer.IsFromLeadReader = isLeadReader(now);
  return {addressTo(sender, std::move(answer), now)};
}

Duration FleetMembership::delayOf(const FleetMessage &message, TimePoint now) const {
  if (message.SentAtMs == 0)
    return Duration::zero();
  return Clocks.delayOf(message.Sender.Ip,
                        {.Incarnation = message.Sender.Incarnation, .Ms = message.SentAtMs}, now);
}

std::optional<TimePoint> FleetMembership::toOwnTime(const std::optional<ClockReading> &reading,
                                                    TimePoint now) const {
  if (!reading || reading->Incarnation != Self.Incarnation)
    return std::nullopt;
  return std::min(now, TimePoint{std::chrono::milliseconds{reading->Ms}});
}

std::vector<FleetDatagram> FleetMembership::propagate(const StoreDelta &delta,
                                                      StoreRevision deltaAfter,
                                                      PropagationScope scope, TimePoint now) {
  std::vector<VmAddress> receivers = localVms(now);
  if (scope == PropagationScope::LocalVmsAndRemoteReaders)
    std::ranges::copy(remoteReaders(now), std::back_inserter(receivers));
  std::erase_if(receivers, [&](VmAddress it) { return Peers.at(it).Vm.Revision >= delta.AsOf; });
  if (scope == PropagationScope::FewLocalVms) {
    std::ranges::shuffle(receivers, Rng.engine());
    receivers.resize(std::min(receivers.size(), FewLocalReceivers));
  }
  FleetMessage out = messageWithSelf(now);
  // Each message would hold its own copy of changes that it can't carry.
  if (mayFitDatagram(delta)) {
    out.Delta = delta;
    out.DeltaAfter = deltaAfter;
  }
  return addressTo(receivers, out, now);
}

std::vector<FleetDatagram> FleetMembership::announce(bool isFromLeadReader, TimePoint now) {
  ++Self.HeartbeatCount;
  const bool isLead = isLeadReader(now);
  std::vector<VmAddress> receivers = localVms(now);
  if (isLead)
    std::ranges::copy(remoteReaders(now), std::back_inserter(receivers));
  FleetMessage out = messageWithSelf(now);
  out.IsFromLeadReader = isLead || isFromLeadReader;
  return addressTo(receivers, out, now);
}

FleetDatagram FleetMembership::ask(VmAddress vm, TimePoint now) const {
  FleetMessage question = messageWithSelf(now);
  question.Wanted = AnswerWanted::Own;
  return addressTo(vm, std::move(question), now);
}

std::optional<FleetDatagram> FleetMembership::askReader(TimePoint now) const {
  const auto reader = otherReader(now);
  return reader ? std::optional{ask(reader->Ip, now)} : std::nullopt;
}

std::optional<TimePoint> FleetMembership::storeDownAt(VmAddress vm) const {
  const auto it = Peers.find(vm);
  return it == Peers.end() ? std::nullopt : it->second.StoreDownAt;
}

bool FleetMembership::isInOwnDataCentre(VmAddress vm) const {
  const auto it = Peers.find(vm);
  return it != Peers.end() && isInOwnDataCentre(it->second.Vm);
}

std::vector<std::pair<VmAddress, std::string_view>>
FleetMembership::takeLivenessChanges(TimePoint now) {
  std::vector<std::pair<VmAddress, std::string_view>> changes;
  for (auto &[ip, peer] : Peers) {
    const bool isUp = isAlive(peer, now);
    if (!isInOwnDataCentre(peer.Vm))
      continue;
    if (std::exchange(peer.WasReportedAlive, isUp) != isUp)
      changes.emplace_back(ip, isUp ? "up" : "down");
  }
  return changes;
}

void FleetMembership::merge(const FleetVm &vm, Duration delay, TimePoint now) {
  if (vm.Ip == Self.Ip) {
    // Peers know a higher incarnation of this VM, because its clock was set back between two
    // starts. They accept the state of this process only with an even higher one.
    if (vm.Incarnation > Self.Incarnation)
      Self.Incarnation = vm.Incarnation + 1;
    return;
  }
  const TimePoint sentAt = now - vm.Age - delay;
  const auto [it, isNew] =
      Peers.try_emplace(vm.Ip, Peer{.Vm = vm, .HeardAt = now, .SentAt = sentAt});
  if (isNew)
    return Holders.didHear(vm, sentAt, now);
  FleetVm &known = it->second.Vm;
  if (std::pair{vm.Incarnation, vm.HeartbeatCount} <=
      std::pair{known.Incarnation, known.HeartbeatCount})
    return;
  known = vm;
  it->second.HeardAt = now;
  it->second.SentAt = sentAt;
  Holders.didHear(vm, sentAt, now);
}

std::vector<const FleetMembership::Peer *>
FleetMembership::mostRecentlyHeard(bool isLocalWanted, std::size_t maxCount, TimePoint now) const {
  std::vector<const Peer *> peers;
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now) && isInOwnDataCentre(peer.Vm) == isLocalWanted)
      peers.push_back(&peer);
  std::ranges::sort(peers, std::greater{}, &Peer::HeardAt);
  peers.resize(std::min(peers.size(), maxCount));
  return peers;
}

FleetVm FleetMembership::stateOf(const Peer &peer, TimePoint now) {
  FleetVm vm = peer.Vm;
  vm.Age = now - peer.SentAt;
  return vm;
}

FleetMessage FleetMembership::composeMessage(bool isToRemote, TimePoint now) {
  FleetMessage out = messageWithSelf(now);
  for (const Peer *it :
       mostRecentlyHeard(true, isToRemote ? MaxLocalOthersToRemote : MaxLocalOthers, now))
    out.Others.push_back(stateOf(*it, now));
  if (!isToRemote) {
    for (const Peer *it : mostRecentlyHeard(false, MaxOthers - out.Others.size(), now))
      out.Others.push_back(stateOf(*it, now));
  } else {
    for (const FleetVm &it : readersOf(Self.DataCentre, now))
      if (const auto peer = Peers.find(it.Ip); peer != Peers.end())
        out.Others.push_back(stateOf(peer->second, now));
  }
  return out;
}

std::optional<VmAddress> FleetMembership::pick(std::span<const VmAddress> choices) {
  if (choices.empty())
    return std::nullopt;
  return choices[Rng.below(choices.size())];
}

std::optional<VmAddress> FleetMembership::pickPeer(bool isLocalWanted, TimePoint now) {
  std::vector<VmAddress> choices;
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now) && isInOwnDataCentre(peer.Vm) == isLocalWanted)
      choices.push_back(ip);
  return pick(choices);
}

std::optional<VmAddress> FleetMembership::pickSilentLocalPeer(TimePoint now) {
  std::vector<VmAddress> choices;
  for (const auto &[ip, peer] : Peers)
    if (isInOwnDataCentre(peer.Vm) && !peer.Vm.IsStopping && !isAlive(peer, now))
      choices.push_back(ip);
  return pick(choices);
}

std::span<const VmAddress> FleetMembership::nextSeeds(std::size_t maxCount) {
  const std::size_t count = std::min(maxCount, Seeds.size());
  if (count < Seeds.size())
    std::rotate(Seeds.begin(), Seeds.begin() + 1, Seeds.end());
  return std::span{Seeds}.first(count);
}

std::optional<VmAddress> FleetMembership::pickKnownPeer() {
  if (Peers.empty())
    return std::nullopt;
  return std::next(Peers.begin(), static_cast<std::ptrdiff_t>(Rng.below(Peers.size())))->first;
}

} // namespace wigeonlift
