#include <LibFleet/FleetMembership.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace wigeonlift {

namespace {

// Rows of a datagram, which stays below the usual MTU. The rows of the own data centre are needed
// fresh; of the others it is enough to know who is there.
constexpr std::size_t MaxRows = 28;
constexpr std::size_t MaxNearRows = 24;
constexpr std::size_t MaxFarRows = 4;
// In a large data centre rows need more datagrams to reach all in time.
constexpr std::size_t VmsForTwoNear = 8;
// A far datagram is sent with each so many beats; bytes between data centres are dear.
constexpr std::uint64_t FarBeats = 2;
// A row passes on with each beat, so it is some beats old in a large data centre.
constexpr Duration DeadAfter = std::chrono::milliseconds{3000};
constexpr Duration DeadAfterPerVm = std::chrono::milliseconds{50};
constexpr Duration FarDeadAfter = std::chrono::seconds{15};
constexpr Duration ForgetAfter = std::chrono::seconds{120};
// Seeds are asked with each beat for this long, and now and then afterwards.
constexpr Duration JoinSpan = std::chrono::seconds{5};
constexpr std::uint64_t SeedBeats = 20;
// The VM that comes next may itself be out of reach.
constexpr std::size_t NextReadersTold = 3;
constexpr std::size_t FewReceivers = 2;

} // namespace

FleetMembership::FleetMembership(FleetVm self, std::vector<VmAddress> seeds, std::uint64_t seed,
                                 TimePoint startedAt)
    : Self(std::move(self)), Seeds(std::move(seeds)), Rng(seed), StartedAt(startedAt) {
  std::erase(Seeds, Self.Ip);
}

bool FleetMembership::isAlive(const Peer &peer, TimePoint now) const {
  const Duration limit = isInOwnDataCentre(peer.Vm)
                             ? DeadAfter + DeadAfterPerVm * static_cast<int>(NearCount)
                             : FarDeadAfter;
  return now - peer.HeardAt < limit;
}

std::vector<FleetDatagram> FleetMembership::stop(TimePoint now) {
  Self.IsStopping = true;
  Self.IsReady = false;
  ++Self.Beat;
  std::vector<FleetDatagram> sends;
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now))
      sends.push_back({.To = ip, .Message = {.Sender = Self}});
  return sends;
}

std::vector<FleetDatagram> FleetMembership::setStoreDisconnected(bool hasLost, TimePoint now) {
  const bool isNews = hasLost && !Self.HasLostStore;
  Self.HasLostStore = hasLost;
  if (!isNews)
    return {};
  refreshSelf(now);
  ++Self.Beat;
  std::vector<FleetDatagram> sends;
  for (const FleetVm &it : readerOrder(Self.DataCentre, now))
    if (it.Ip != Self.Ip && sends.size() < NextReadersTold)
      sends.push_back({.To = it.Ip, .Message = {.Sender = Self}});
  return sends;
}

void FleetMembership::refreshSelf(TimePoint now) {
  constexpr Duration longest = std::chrono::hours{1};
  Self.StoreContactAgeMs =
      static_cast<std::uint32_t>(toMilliseconds(std::min(longest, now - ContactAt)));
}

std::vector<FleetDatagram> FleetMembership::tick(TimePoint now) {
  refreshSelf(now);
  ++Ticks;
  ++Self.Beat;
  std::erase_if(Peers, [&](const auto &it) { return now - it.second.HeardAt > ForgetAfter; });
  std::vector<FleetDatagram> sends;
  std::set<VmAddress> chosen;
  const auto add = [&](std::optional<VmAddress> to, bool isFar, bool wantsAnswer) {
    if (!to || !chosen.insert(*to).second)
      return;
    sends.push_back({.To = *to, .Message = message(isFar, now)});
    sends.back().Message.WantsAnswer = wantsAnswer;
  };
  NearCount = static_cast<std::size_t>(std::ranges::count_if(
      Peers, [&](const auto &it) { return isInOwnDataCentre(it.second.Vm); }));
  add(pick(true, now), false, false);
  if (NearCount > VmsForTwoNear)
    add(pick(true, now), false, false);
  if (Ticks % FarBeats == 0)
    add(pick(false, now), true, false);
  const bool isJoining = now - StartedAt < JoinSpan;
  if (!Seeds.empty() && (isJoining || Ticks % SeedBeats == 0 || Peers.empty())) {
    const VmAddress seed = Seeds[Rng.below(Seeds.size())];
    add(seed, false, Peers.empty() || isJoining);
  }
  return sends;
}

std::vector<FleetDatagram> FleetMembership::didReceive(const FleetMessage &incoming,
                                                       TimePoint now) {
  const bool isNew = !Peers.contains(incoming.Sender.Ip);
  merge(incoming.Sender, now);
  for (const FleetVm &it : incoming.Others)
    merge(it, now);
  if (incoming.Sender.Ip == Self.Ip || !(incoming.WantsAnswer || isNew))
    return {};
  return {{.To = incoming.Sender.Ip, .Message = message(false, now)}};
}

std::vector<FleetDatagram> FleetMembership::propagate(const StoreDelta &delta, StoreRevision after,
                                                      PropagationScope reach, TimePoint now) {
  std::vector<VmAddress> receivers;
  std::set<std::string> dataCentres{Self.DataCentre};
  for (const auto &[ip, peer] : Peers) {
    if (!isAlive(peer, now))
      continue;
    if (isInOwnDataCentre(peer.Vm)) {
      if (peer.Vm.Revision < delta.AsOf)
        receivers.push_back(ip);
    } else if (reach == PropagationScope::LocalVmsAndRemoteReaders &&
               dataCentres.insert(peer.Vm.DataCentre).second) {
      for (const FleetVm &it : readersOf(peer.Vm.DataCentre, now))
        if (it.Revision < delta.AsOf)
          receivers.push_back(it.Ip);
    }
  }
  if (reach == PropagationScope::FewLocalVms) {
    std::ranges::shuffle(receivers, Rng.engine());
    receivers.resize(std::min(receivers.size(), FewReceivers));
  }
  const FleetMessage out{.Sender = Self, .Delta = delta, .DeltaAfter = after};
  std::vector<FleetDatagram> sends;
  sends.reserve(receivers.size());
  for (const VmAddress it : receivers)
    sends.push_back({.To = it, .Message = out});
  return sends;
}

bool FleetMembership::isInOwnDataCentre(VmAddress vm) const {
  const auto it = Peers.find(vm);
  return it != Peers.end() && isInOwnDataCentre(it->second.Vm);
}

std::vector<std::pair<VmAddress, std::string_view>>
FleetMembership::takeLivenessChanges(TimePoint now) {
  std::vector<std::pair<VmAddress, std::string_view>> news;
  for (auto &[ip, peer] : Peers) {
    const bool isUp = isAlive(peer, now);
    if (!isInOwnDataCentre(peer.Vm))
      continue;
    if (std::exchange(peer.WasAlive, isUp) != isUp)
      news.emplace_back(ip, isUp ? "up" : "down");
  }
  return news;
}

void FleetMembership::merge(const FleetVm &vm, TimePoint now) {
  if (vm.Ip == Self.Ip) {
    // The clock was set back between two starts; the others must follow this one.
    if (vm.Incarnation > Self.Incarnation)
      Self.Incarnation = vm.Incarnation + 1;
    return;
  }
  const auto [it, isNew] = Peers.try_emplace(vm.Ip, Peer{.Vm = vm, .HeardAt = now});
  if (isNew)
    return;
  FleetVm &known = it->second.Vm;
  if (std::pair{vm.Incarnation, vm.Beat} <= std::pair{known.Incarnation, known.Beat})
    return;
  known = vm;
  it->second.HeardAt = now;
}

std::vector<const FleetMembership::Peer *>
FleetMembership::freshest(bool isNearWanted, std::size_t most, TimePoint now) const {
  std::vector<const Peer *> peers;
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now) && isInOwnDataCentre(peer.Vm) == isNearWanted)
      peers.push_back(&peer);
  std::ranges::sort(peers, std::greater{}, &Peer::HeardAt);
  peers.resize(std::min(peers.size(), most));
  return peers;
}

FleetMessage FleetMembership::message(bool isFar, TimePoint now) {
  FleetMessage out{.Sender = Self};
  for (const Peer *it : freshest(true, isFar ? MaxFarRows : MaxNearRows, now))
    out.Others.push_back(it->Vm);
  if (!isFar) {
    for (const Peer *it : freshest(false, MaxRows - out.Others.size(), now))
      out.Others.push_back(it->Vm);
  } else {
    for (FleetVm &it : readersOf(Self.DataCentre, now))
      out.Others.push_back(std::move(it));
  }
  return out;
}

std::optional<VmAddress> FleetMembership::pick(bool isNearWanted, TimePoint now) {
  std::vector<VmAddress> choices;
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now) && isInOwnDataCentre(peer.Vm) == isNearWanted)
      choices.push_back(ip);
  if (choices.empty())
    return std::nullopt;
  return choices[Rng.below(choices.size())];
}

} // namespace wigeonlift
