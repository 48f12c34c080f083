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
// A VM that isn't heard of for so long is silent. Shorter than the retentions, so that all VMs of a
// part that was cut off count as silent before the first of them loses its shares.
constexpr Duration SilentAfter = std::chrono::seconds{8};
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
  const auto [it, isNew] = Holders.try_emplace(vm.Ip, Holder{.Vm = vm, .HeardAt = sentAt});
  // A state that waited for this process while it was frozen doesn't undo that the time didn't
  // count.
  if (!isNew)
    it->second = {.Vm = vm, .HeardAt = std::max(it->second.HeardAt, sentAt)};
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

ShareHolders::DataCentres ShareHolders::dataCentresOf(const FleetVm &self,
                                                      const std::vector<const Holder *> &holders) {
  DataCentres result;
  result[self.DataCentre].KnownWeight = self.Weight;
  for (const Holder *holder : holders) {
    DataCentre &it = result[holder->Vm.DataCentre];
    it.KnownWeight += holder->Vm.Weight;
    it.ToldWeight = std::max<double>(it.ToldWeight, holder->Vm.DataCentreWeight);
  }
  return result;
}

double ShareHolders::sumOf(const DataCentres &dataCentres) {
  double sum = 0;
  for (const auto &[name, it] : dataCentres)
    sum += it.weight();
  return sum;
}

double ShareHolders::fleetWeight(const FleetVm &self, TimePoint now) const {
  return sumOf(dataCentresOf(self, holders(self, SharedThing::RatesOfAllVms, now)));
}

std::size_t ShareHolders::countedSeeds(TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(CountsFrom, [&](const auto &it) { return it.second <= now; }));
}

bool ShareHolders::mayHold(TimePoint now) const {
  const bool isStarting = now - StartedAt < JoinTime;
  const bool knowsSomeSeed = Seeds.empty() || countedSeeds(now) > 0;
  return !isStarting && (isAlone(now) || (hasJoined() && knowsSomeSeed));
}

std::vector<ShareAssignment::Vm> ShareHolders::localVms(const FleetVm &self,
                                                        const std::vector<const Holder *> &holders,
                                                        const DataCentre &local) {
  const double ownWeight = self.Weight;
  std::vector<ShareAssignment::Vm> result{{.Address = self.Ip, .Weight = ownWeight}};
  for (const Holder *it : holders)
    if (it->Vm.DataCentre == self.DataCentre)
      result.push_back({.Address = it->Vm.Ip, .Weight = static_cast<double>(it->Vm.Weight)});
  // The other VMs of the data centre know some that this one doesn't. No VM has the address of a
  // stand-in.
  double missing = local.ToldWeight - local.KnownWeight;
  for (std::uint32_t n = 1; missing > 0 && n <= MaxStandIns; ++n, missing -= ownWeight)
    result.push_back({.Address = n, .Weight = std::min(missing, ownWeight)});
  return result;
}

ShareAssignment ShareHolders::assignment(const FleetVm &self, SharedThing thing,
                                         TimePoint now) const {
  if (!mayHold(now))
    return ShareAssignment::withoutShares();
  if (isAlone(now))
    return {};
  const std::vector<const Holder *> known = holders(self, thing, now);
  const DataCentres dataCentres = dataCentresOf(self, known);
  std::vector<ShareAssignment::DataCentre> weights;
  weights.reserve(dataCentres.size() + 1);
  for (const auto &[name, it] : dataCentres)
    weights.push_back({.Name = std::string{name}, .Weight = it.weight()});
  if (const std::size_t counted = countedSeeds(now); counted < Seeds.size()) {
    const double unknownPart =
        static_cast<double>(Seeds.size() - counted) / static_cast<double>(counted);
    weights.push_back(
        {.Name = std::string{UnknownDataCentre}, .Weight = unknownPart * sumOf(dataCentres)});
  }
  std::vector<ShareAssignment::Vm> vms = localVms(self, known, dataCentres.at(self.DataCentre));
  const ShareAssignment::Vm own = vms.front();
  return {own, self.DataCentre, std::move(weights), std::move(vms)};
}

} // namespace wigeonlift
