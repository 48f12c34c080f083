#include <LibFleet/FleetMembership.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace wigeonlift {

namespace {

// Longer than the window of any budget.
constexpr Duration BudgetMemory = std::chrono::seconds{60};
// A starting VM assumes a fleet of this size until it has heard of the others.
constexpr double AssumedFleet = 12;
constexpr Duration AssumeSpan = std::chrono::seconds{3};
constexpr std::size_t ReadersPerDataCentre = 1;
// A VM that the store answered within this time reaches it.
constexpr Duration RecentContact = std::chrono::milliseconds{1500};

std::uint64_t mix(std::uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  return value ^ (value >> 33);
}

} // namespace

std::vector<FleetVm> FleetMembership::aliveVms(TimePoint now) const {
  std::vector<FleetVm> result{Self};
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now))
      result.push_back(peer.Vm);
  return result;
}

std::vector<FleetVm> FleetMembership::readerOrder(std::string_view dataCentre,
                                                  TimePoint now) const {
  std::vector<FleetVm> vms;
  for (const FleetVm &it : aliveVms(now))
    if (it.DataCentre == dataCentre && !it.IsStopping && it.Revision > 0)
      vms.push_back(it);
  // VMs that reach the store come first, then large ones: a reader serves its whole data centre.
  std::ranges::sort(vms, {}, [](const FleetVm &it) {
    return std::tuple{it.HasLostStore, -static_cast<std::int64_t>(it.Weight), mix(it.Ip)};
  });
  return vms;
}

std::vector<FleetVm> FleetMembership::readersOf(std::string_view dataCentre, TimePoint now) const {
  std::vector<FleetVm> vms = readerOrder(dataCentre, now);
  vms.resize(std::min(vms.size(), ReadersPerDataCentre));
  return vms;
}

bool FleetMembership::isReader(TimePoint now) const {
  return std::ranges::any_of(readersOf(Self.DataCentre, now),
                             [&](const FleetVm &it) { return it.Ip == Self.Ip; });
}

bool FleetMembership::hasWorkingReader(TimePoint now) const {
  return std::ranges::any_of(readersOf(Self.DataCentre, now), [&](const FleetVm &it) {
    return it.Ip != Self.Ip && !it.HasLostStore;
  });
}

StoreOutage FleetMembership::storeOutage(TimePoint now) const {
  std::map<std::string, bool> isCutOff{{Self.DataCentre, Self.HasLostStore}};
  bool someHaveContact = !Self.HasLostStore && now - ContactAt < RecentContact;
  for (const auto &[ip, peer] : Peers) {
    if (!isAlive(peer, now))
      continue;
    isCutOff[peer.Vm.DataCentre] |= peer.Vm.HasLostStore;
    const Duration age = now - peer.HeardAt + std::chrono::milliseconds{peer.Vm.StoreContactAgeMs};
    someHaveContact |= !peer.Vm.HasLostStore && age < RecentContact;
  }
  const auto count = std::ranges::count_if(isCutOff, [](const auto &it) { return it.second; });
  if (count == 0)
    return StoreOutage::None;
  const bool isEverywhere = count == std::ssize(isCutOff);
  return isEverywhere && !someHaveContact ? StoreOutage::Certain : StoreOutage::Possible;
}

std::optional<VmAddress> FleetMembership::findPeerAhead(StoreRevision revision, TimePoint now) {
  std::vector<const Peer *> near;
  std::vector<const Peer *> far;
  for (const auto &[ip, peer] : Peers)
    if (isAlive(peer, now) && peer.Vm.Revision > revision)
      (isInOwnDataCentre(peer.Vm) ? near : far).push_back(&peer);
  const auto &peers = near.empty() ? far : near;
  if (peers.empty())
    return std::nullopt;
  return peers[Rng.below(peers.size())]->Vm.Ip;
}

double FleetMembership::budgetShare(TimePoint now) const {
  double known = Self.Weight;
  for (const auto &[ip, peer] : Peers)
    if (now - peer.HeardAt < BudgetMemory)
      known += peer.Vm.Weight;
  if (now - StartedAt < AssumeSpan)
    known = std::max(known, AssumedFleet * static_cast<double>(Self.Weight));
  return Self.Weight / known;
}

std::vector<VmAddress> FleetMembership::addressesForCaller(std::string_view dataCentre,
                                                           std::size_t most, TimePoint now) {
  std::vector<FleetVm> near;
  std::vector<FleetVm> far;
  for (const FleetVm &it : aliveVms(now))
    if (it.IsReady && !it.IsStopping)
      (it.DataCentre == dataCentre ? near : far).push_back(it);
  constexpr std::size_t fewNear = 2;
  std::vector<FleetVm> chosen = near;
  if (near.size() < fewNear)
    chosen.insert(chosen.end(), far.begin(), far.end());
  std::uint32_t largest = 1;
  for (const FleetVm &it : chosen)
    largest = std::max(largest, it.Weight);
  std::vector<VmAddress> result;
  // Callers choose at random among the addresses, so a small VM is left out of most answers.
  for (const FleetVm &it : chosen)
    if (Rng.unit() * largest < it.Weight)
      result.push_back(it.Ip);
  for (const FleetVm &it : chosen)
    if (result.size() < fewNear && std::ranges::find(result, it.Ip) == result.end())
      result.push_back(it.Ip);
  std::ranges::shuffle(result, Rng.engine());
  result.resize(std::min(result.size(), most));
  return result;
}

} // namespace wigeonlift
