#include <LibFleet/FleetMembership.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <tuple>

namespace wigeonlift {

namespace {

// A VM that doesn't know the others estimates its share of the requests as if the fleet had at
// least this many VMs of its own weight.
constexpr double AssumedFleetSize = 12;
constexpr std::size_t ReadersPerDataCentre = 1;
// The directory names VMs that ran within this time. Callers that get the address of a lost VM lose
// a second; users allow the directory three seconds more than a fleet takes to settle. Most states
// that were forwarded through a large data centre are younger.
constexpr Duration NamedToCallersFor = std::chrono::seconds{4};
// A VM that was heard within this time is probably still running.
constexpr Duration RecentContact = std::chrono::seconds{1};

std::uint64_t hashAddress(std::uint64_t address) {
  address ^= address >> 33;
  address *= 0xff51afd7ed558ccdULL;
  return address ^ (address >> 33);
}

bool isReaderCandidate(const FleetVm &vm) { return !vm.IsStopping && vm.Revision > 0; }

} // namespace

std::vector<FleetVm> FleetMembership::aliveVms(TimePoint now) const {
  std::vector<FleetVm> result{Self};
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now))
      result.push_back(peer.Vm);
  return result;
}

std::vector<FleetVm> FleetMembership::readerCandidates(std::string_view dataCentre,
                                                       TimePoint now) const {
  std::vector<FleetVm> vms;
  if (Self.DataCentre == dataCentre && isReaderCandidate(Self))
    vms.push_back(Self);
  for (const auto &[ip, peer] : Peers)
    if (peer.Vm.DataCentre == dataCentre && isReaderCandidate(peer.Vm) && isAlive(peer, now))
      vms.push_back(peer.Vm);
  // VMs that reach the store come first. Among them, VMs with a larger weight come first, since a
  // reader serves its whole data centre.
  std::ranges::sort(vms, {}, [](const FleetVm &it) {
    return std::tuple{it.IsStoreDisconnected, -static_cast<std::int64_t>(it.Weight),
                      hashAddress(it.Ip)};
  });
  return vms;
}

std::vector<FleetVm> FleetMembership::readersOf(std::string_view dataCentre, TimePoint now) const {
  std::vector<FleetVm> vms = readerCandidates(dataCentre, now);
  vms.resize(std::min(vms.size(), ReadersPerDataCentre));
  return vms;
}

bool FleetMembership::isReader(TimePoint now) const {
  return std::ranges::any_of(readersOf(Self.DataCentre, now),
                             [&](const FleetVm &it) { return it.Ip == Self.Ip; });
}

std::optional<VmAddress> FleetMembership::leadReader(TimePoint now) const {
  // All VMs see the same data centre as the first one that has a VM which reaches the store.
  const auto qualifies = [](const FleetVm &vm) {
    return isReaderCandidate(vm) && !vm.IsStoreDisconnected;
  };
  std::optional<std::string_view> first;
  if (qualifies(Self))
    first = Self.DataCentre;
  for (const auto &[ip, peer] : Peers)
    if ((!first || peer.Vm.DataCentre < *first) && qualifies(peer.Vm) && isAlive(peer, now))
      first = peer.Vm.DataCentre;
  return first ? std::optional{readersOf(*first, now).front().Ip} : std::nullopt;
}

std::vector<VmAddress> FleetMembership::remoteReaders(TimePoint now) const {
  std::set<std::string_view> dataCentres{Self.DataCentre};
  std::vector<VmAddress> readers;
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now) && dataCentres.insert(peer.Vm.DataCentre).second)
      for (const FleetVm &it : readersOf(peer.Vm.DataCentre, now))
        readers.push_back(it.Ip);
  return readers;
}

std::optional<OtherReader> FleetMembership::otherReader(TimePoint now) const {
  const std::vector<FleetVm> readers = readersOf(Self.DataCentre, now);
  if (readers.empty() || readers.front().Ip == Self.Ip)
    return std::nullopt;
  const VmAddress ip = readers.front().Ip;
  return OtherReader{.Ip = ip, .SilentFor = now - Peers.at(ip).HeardAt};
}

StoreOutage FleetMembership::storeOutage(Duration maxSilence, TimePoint now) const {
  std::map<std::string_view, bool> hasDisconnectedVm{{Self.DataCentre, Self.IsStoreDisconnected}};
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now))
      hasDisconnectedVm[peer.Vm.DataCentre] |= peer.Vm.IsStoreDisconnected;
  const auto count =
      std::ranges::count_if(hasDisconnectedVm, [](const auto &it) { return it.second; });
  if (count == 0)
    return StoreOutage::None;
  const bool isDisconnectedEverywhere = count == std::ssize(hasDisconnectedVm);
  const bool wasReached = StoreReachedAt && now - *StoreReachedAt < maxSilence;
  return isDisconnectedEverywhere && !wasReached ? StoreOutage::Certain : StoreOutage::Possible;
}

bool FleetMembership::isBehind(TimePoint now) const {
  return std::ranges::any_of(Peers, [&](const auto &it) {
    return it.second.Vm.Revision > Self.Revision && isAlive(it.second, now);
  });
}

std::optional<VmAddress> FleetMembership::findPeerAhead(StoreRevision revision,
                                                        const std::set<VmAddress> &avoided,
                                                        TimePoint now) {
  // By preference: heard of a moment ago, then local.
  std::array<std::vector<VmAddress>, 4> choices;
  for (const auto &[ip, peer] : Peers) {
    if (!isAlive(peer, now) || peer.Vm.Revision <= revision || avoided.contains(ip))
      continue;
    const bool wasHeard = peer.ContactAt && now - *peer.ContactAt < RecentContact;
    choices[(wasHeard ? 0 : 2) + (isInOwnDataCentre(peer.Vm) ? 0 : 1)].push_back(ip);
  }
  const auto best = std::ranges::find_if(choices, [](const auto &it) { return !it.empty(); });
  return best == choices.end() ? std::nullopt : pick(*best);
}

double FleetMembership::repeatShare(TimePoint now) const {
  return shareAssignment(SharedThing::RatesOfAllVms, now).ownFraction();
}

double FleetMembership::requestShare(TimePoint now) const {
  // What is left unused, because nobody has heard of a seed, says nothing of the requests.
  const double known = Holders.fleetWeight(Self, now);
  const double assumed = repeatShare(now) > 0 ? 0 : AssumedFleetSize * Self.Weight;
  return Self.Weight / std::max(known, assumed);
}

bool FleetMembership::isNamedToCallers(const Peer &peer, TimePoint now) {
  return peer.Vm.IsReady && !peer.Vm.IsStopping && now - peer.SentAt < NamedToCallersFor;
}

bool FleetMembership::namesRemoteVms(TimePoint now) const {
  const auto others = std::ranges::count_if(Peers, [&](const auto &it) {
    return isInOwnDataCentre(it.second.Vm) && isNamedToCallers(it.second, now);
  });
  return others + 1 < static_cast<std::ptrdiff_t>(MinAddresses);
}

std::vector<VmAddress> FleetMembership::addressesForCaller(std::string_view dataCentre,
                                                           std::size_t maxCount, TimePoint now) {
  std::vector<FleetVm> local;
  std::vector<FleetVm> remote;
  const auto add = [&](const FleetVm &it) {
    (it.DataCentre == dataCentre ? local : remote).push_back(it);
  };
  if (Self.IsReady && !Self.IsStopping)
    add(Self);
  for (const auto &[ip, peer] : Peers)
    if (isNamedToCallers(peer, now))
      add(peer.Vm);
  std::vector<FleetVm> candidates = local;
  if (local.size() < MinAddresses)
    candidates.insert(candidates.end(), remote.begin(), remote.end());
  std::uint32_t largestWeight = 1;
  for (const FleetVm &it : candidates)
    largestWeight = std::max(largestWeight, it.Weight);
  std::vector<VmAddress> result;
  // Callers choose at random among the addresses, so VMs with a small weight are left out of most
  // answers.
  for (const FleetVm &it : candidates)
    if (Rng.unit() * largestWeight < it.Weight)
      result.push_back(it.Ip);
  for (const FleetVm &it : candidates)
    if (result.size() < MinAddresses && std::ranges::find(result, it.Ip) == result.end())
      result.push_back(it.Ip);
  std::ranges::shuffle(result, Rng.engine());
  result.resize(std::min(result.size(), maxCount));
  return result;
}

} // namespace wigeonlift
