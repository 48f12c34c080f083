#include <LibFleet/ShareHolders.h>

#include <algorithm>
#include <string>
#include <utility>

namespace wigeonlift {

namespace {

// How long a VM that is no longer heard of keeps its shares; longer than the window of any budget,
// and than most partitions. A VM that is partitioned or frozen may use them when nobody expects it
// any more.
constexpr Duration HolderRetention = std::chrono::seconds{60};
// The same for shares that a partitioned VM may exceed; longer than most faults of links.
constexpr Duration ShortRetention = std::chrono::seconds{10};
// A VM that isn't heard of for so long is silent. Much shorter than the retention, so that all VMs
// of a part that was cut off count as silent before the first of them loses its shares.
constexpr Duration SilentAfter = std::chrono::seconds{20};
// A VM that receives nothing for this long is isolated. Otherwise it receives several messages a
// second.
constexpr Duration IsolatedAfter = std::chrono::seconds{2};
// A VM holds no shares for so long after its start, and after the first message of another VM. It
// takes about a second until it knows all VMs of its data centre.
constexpr Duration JoinTime = std::chrono::seconds{3};
// A VM that is the only seed hears of the others when they turn to their seeds, every 10 s.
constexpr Duration SeedJoinTime = std::chrono::seconds{12};
// A seed that this VM hears of when it holds shares already may bring another part of the fleet
// with it, whose VMs become known within this time.
constexpr Duration SeedSettleTime = std::chrono::seconds{10};
// If more of a data centre is silent, it is more likely divided than lost. The rest may then take
// over little that the silent VMs still use.
constexpr double MaxLostFraction = 0.25;
// More stand-ins would only cost time.
constexpr int MaxStandIns = 200;
// Holds the parts of seeds that nobody has heard of. No data centre has this name.
constexpr std::string_view UnknownDataCentre = "(unknown)";

} // namespace

ShareHolders::ShareHolders(VmAddress self, std::span<const VmAddress> seeds, TimePoint startedAt)
    : SelfIp(self), Seeds(seeds.begin(), seeds.end()), StartedAt(startedAt), ReceivedAt(startedAt) {
  didHearOf(self, startedAt);
}

double ShareHolders::DataCentre::weight() const { return std::max(KnownWeight, ToldWeight); }

TimePoint ShareHolders::hearingUntil(TimePoint now) const {
  return now - ReceivedAt > IsolatedAfter ? ReceivedAt : now;
}

bool ShareHolders::hasJoined() const {
  return FirstReceivedAt && ReceivedAt - *FirstReceivedAt >= JoinTime;
}

bool ShareHolders::isAlone(TimePoint now) const {
  if (FirstReceivedAt)
    return false;
  const bool isOnlySeed = Seeds.size() == 1 && Seeds.contains(SelfIp);
  return Seeds.empty() || (isOnlySeed && now - StartedAt >= SeedJoinTime);
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

void ShareHolders::didHear(const FleetVm &vm, TimePoint sentAt, TimePoint now) {
  Holders.insert_or_assign(vm.Ip, Holder{.Vm = vm, .HeardAt = sentAt});
  didHearOf(vm.Ip, now);
}

void ShareHolders::didHearOfSeeds(std::span<const VmAddress> seeds, TimePoint now) {
  for (const VmAddress it : seeds)
    didHearOf(it, now);
}

void ShareHolders::didHearOf(VmAddress vm, TimePoint now) {
  if (Seeds.contains(vm))
    CountsFrom.try_emplace(vm, hasJoined() ? now + SeedSettleTime : now);
}

std::vector<VmAddress> ShareHolders::knownSeeds() const {
  std::vector<VmAddress> result;
  for (const auto &[seed, from] : CountsFrom)
    result.push_back(seed);
  return result;
}

void ShareHolders::expire(const FleetVm &self, TimePoint now) {
  std::set<VmAddress> kept;
  for (const Holder *it : holders(self, SharedThing::RatesOfAllVms, now))
    kept.insert(it->Vm.Ip);
  std::erase_if(Holders, [&](const auto &it) { return !kept.contains(it.first); });
}

bool ShareHolders::isSilent(const Holder &holder, TimePoint now) const {
  return hearingUntil(now) - holder.HeardAt >= SilentAfter;
}

std::set<std::string_view> ShareHolders::heardDataCentres(TimePoint now) const {
  std::set<std::string_view> result;
  for (const auto &[ip, holder] : Holders)
    if (!isSilent(holder, now))
      result.insert(holder.Vm.DataCentre);
  return result;
}

bool ShareHolders::mayBeDivided(const FleetVm &self, TimePoint now) const {
  double all = self.Weight;
  double silent = 0;
  for (const auto &[ip, holder] : Holders) {
    if (holder.Vm.DataCentre != self.DataCentre || holder.Vm.IsStopping)
      continue;
    all += holder.Vm.Weight;
    silent += isSilent(holder, now) ? holder.Vm.Weight : 0;
  }
  return silent > MaxLostFraction * all;
}

std::vector<const ShareHolders::Holder *>
ShareHolders::holders(const FleetVm &self, SharedThing thing, TimePoint now) const {
  const std::set<std::string_view> heard = heardDataCentres(now);
  const bool isDivided = mayBeDivided(self, now);
  const auto mayRunElsewhere = [&](const FleetVm &vm) {
    const bool isLocal = vm.DataCentre == self.DataCentre;
    return !vm.IsStopping && (isLocal ? isDivided : !heard.contains(vm.DataCentre));
  };
  std::vector<const Holder *> result;
  for (const auto &[ip, holder] : Holders) {
    const Duration silence = hearingUntil(now) - holder.HeardAt;
    const bool isShort =
        thing == SharedThing::NamedLimits && holder.Vm.DataCentre == self.DataCentre;
    const Duration retention = isShort ? ShortRetention : HolderRetention;
    if (silence < retention || mayRunElsewhere(holder.Vm))
      result.push_back(&holder);
  }
  return result;
}

std::uint32_t ShareHolders::localWeight(const FleetVm &self, TimePoint now) const {
  std::uint32_t weight = self.Weight;
  for (const Holder *it : holders(self, SharedThing::RatesOfAllVms, now))
    weight += it->Vm.DataCentre == self.DataCentre ? it->Vm.Weight : 0;
  return weight;
}

ShareAssignment ShareHolders::assignment(const FleetVm &self, SharedThing thing,
                                         TimePoint now) const {
  const bool isStarting = now - StartedAt < JoinTime;
  if (!isStarting && isAlone(now))
    return {};
  const auto knownSeeds = static_cast<std::size_t>(
      std::ranges::count_if(CountsFrom, [&](const auto &it) { return it.second <= now; }));
  const bool knowsNoSeed = knownSeeds == 0 && !Seeds.empty();
  if (isStarting || !hasJoined() || knowsNoSeed)
    return ShareAssignment::withoutShares();
  const ShareAssignment::Vm own{.Address = self.Ip, .Weight = static_cast<double>(self.Weight)};
  std::vector<ShareAssignment::Vm> localVms{own};
  std::map<std::string_view, DataCentre> dataCentres;
  dataCentres[self.DataCentre].KnownWeight = self.Weight;
  for (const Holder *holder : holders(self, thing, now)) {
    const FleetVm &vm = holder->Vm;
    DataCentre &it = dataCentres[vm.DataCentre];
    it.KnownWeight += vm.Weight;
    it.ToldWeight = std::max<double>(it.ToldWeight, vm.DataCentreWeight);
    if (vm.DataCentre == self.DataCentre)
      localVms.push_back({.Address = vm.Ip, .Weight = static_cast<double>(vm.Weight)});
  }
  // The other VMs of the data centre know some that this one doesn't. No VM has the address of a
  // stand-in.
  const DataCentre &local = dataCentres[self.DataCentre];
  double missing = local.ToldWeight - local.KnownWeight;
  for (std::uint32_t n = 1; missing > 0 && n <= MaxStandIns; ++n) {
    localVms.push_back({.Address = n, .Weight = std::min(missing, own.Weight)});
    missing -= own.Weight;
  }
  std::vector<ShareAssignment::DataCentre> weights;
  double all = 0;
  for (const auto &[name, it] : dataCentres) {
    weights.push_back({.Name = std::string{name}, .Weight = it.weight()});
    all += it.weight();
  }
  if (const std::size_t unknown = Seeds.size() - knownSeeds; unknown > 0)
    weights.push_back(
        {.Name = std::string{UnknownDataCentre},
         .Weight = all * static_cast<double>(unknown) / static_cast<double>(knownSeeds)});
  return {own, self.DataCentre, std::move(weights), std::move(localVms)};
}

} // namespace wigeonlift
