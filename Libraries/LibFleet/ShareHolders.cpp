#include <LibFleet/ShareHolders.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wigeonlift {

namespace {

// How long a VM that is no longer heard of keeps its shares. A VM that is partitioned or frozen may
// use them when nobody expects it any more.
constexpr Duration HolderRetention = std::chrono::seconds{60};
// A VM that receives nothing for this long is isolated. Otherwise it receives several messages a
// second.
constexpr Duration IsolatedAfter = std::chrono::seconds{2};
// A VM holds no shares for so long after its start, and after the first message of another VM. It
// takes about a second until it knows all VMs of its data centre.
constexpr Duration JoinTime = std::chrono::seconds{3};
// More stand-ins would only cost time.
constexpr int MaxStandIns = 200;

} // namespace

TimePoint ShareHolders::hearingUntil(TimePoint now) const {
  return now - ReceivedAt > IsolatedAfter ? ReceivedAt : now;
}

bool ShareHolders::isHolder(const Holder &holder, TimePoint now) const {
  return hearingUntil(now) - holder.HeardAt < HolderRetention;
}

bool ShareHolders::hasJoined() const {
  return FirstReceivedAt && ReceivedAt - *FirstReceivedAt >= JoinTime;
}

void ShareHolders::didReceive(TimePoint now) {
  // The time without any message doesn't count for those VMs either that are heard of later.
  if (now - ReceivedAt > IsolatedAfter) {
    for (auto &[ip, holder] : Holders)
      holder.HeardAt += now - ReceivedAt;
    if (!hasJoined())
      FirstReceivedAt.reset();
  }
  ReceivedAt = now;
  FirstReceivedAt = FirstReceivedAt.value_or(now);
}

void ShareHolders::didHear(const FleetVm &vm, TimePoint now) {
  Holders.insert_or_assign(vm.Ip, Holder{.Vm = vm, .HeardAt = now});
}

void ShareHolders::expire(TimePoint now) {
  std::erase_if(Holders, [&](const auto &it) { return !isHolder(it.second, now); });
}

ShareAssignment ShareHolders::assignment(const FleetVm &self, bool hasSeeds, TimePoint now) const {
  const bool isAlone = !FirstReceivedAt && !hasSeeds;
  if (!(hasJoined() || isAlone) || now - StartedAt < JoinTime)
    return ShareAssignment::withoutShares();
  struct DataCentre {
    double KnownWeight = 0;
    double ToldWeight = 0;
  };
  std::map<std::string_view, DataCentre> weights;
  weights[self.DataCentre].KnownWeight = self.Weight;
  const ShareAssignment::Vm own{.Address = self.Ip, .Weight = static_cast<double>(self.Weight)};
  std::vector<ShareAssignment::Vm> localVms{own};
  for (const auto &[ip, holder] : Holders) {
    if (!isHolder(holder, now))
      continue;
    DataCentre &it = weights[holder.Vm.DataCentre];
    it.KnownWeight += holder.Vm.Weight;
    it.ToldWeight = std::max<double>(it.ToldWeight, holder.Vm.DataCentreWeight);
    if (holder.Vm.DataCentre == self.DataCentre)
      localVms.push_back({.Address = ip, .Weight = static_cast<double>(holder.Vm.Weight)});
  }
  // The other VMs of the data centre know some that this one doesn't. No VM has the address of a
  // stand-in.
  const DataCentre &local = weights[self.DataCentre];
  double missing = local.ToldWeight - local.KnownWeight;
  for (std::uint32_t n = 1; missing > 0 && n <= MaxStandIns; ++n) {
    localVms.push_back({.Address = n, .Weight = std::min(missing, own.Weight)});
    missing -= own.Weight;
  }
  std::vector<ShareAssignment::DataCentre> dataCentres;
  dataCentres.reserve(weights.size());
  for (const auto &[name, it] : weights)
    dataCentres.push_back(
        {.Name = std::string{name}, .Weight = std::max(it.KnownWeight, it.ToldWeight)});
  return {own, self.DataCentre, std::move(dataCentres), std::move(localVms)};
}

} // namespace wigeonlift
