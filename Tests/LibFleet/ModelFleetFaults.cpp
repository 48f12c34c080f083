#include <Tests/LibFleet/ModelFleet.h>

#include <array>

namespace wigeonlift::test {

namespace {

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

constexpr Duration FaultsSpan = std::chrono::seconds{12};
constexpr Duration SettleTime = std::chrono::seconds{3};
constexpr Duration RestartDelay = ms(50);
constexpr double MaxLinkLoss = 0.7;
constexpr Duration MaxLinkDelay = ms(1500);

} // namespace

void ModelFleet::planFaults(TimePoint from) {
  for (TimePoint time = from; time < from + FaultsSpan; time += between(ms(200), ms(4000))) {
    if (Options.HasFaults)
      planFault(time);
    // Many changes are acknowledged shortly before a fault or within a second after it.
    if (Options.HasChanges && chance(0.8))
      at(time + between(-ms(100), ms(1000)), [this] { change(); });
  }
}

void ModelFleet::planFault(TimePoint begin) {
  at(begin, [this, begin] {
    const auto victims = pickVictims();
    const Duration length = between(ms(300), ms(6000));
    if (Options.HasRefusals && chance(0.5))
      return refuse(begin, length);
    const auto kind = Rng.below(Options.HasLinkFaults ? 4 : 3);
    if (kind == 0)
      losePower(victims, begin, length);
    else if (kind == 1)
      freeze(victims, begin, length);
    else if (kind == 2)
      cut(victims, begin, length);
    else
      harmLinks(victims, begin, length);
  });
}

std::vector<ModelFleet::Vm *> ModelFleet::pickVictims() {
  const bool wantsReaders = chance(0.6);
  const double share = std::array{0.0, 0.2, 0.6, 0.9}[Rng.below(4)];
  const bool allDataCentres = chance(0.5);
  std::vector<Vm *> victims;
  for (const auto &it : Vms) {
    if (!it->isRunning() || it->Freezes > 0 || isSpared(*it))
      continue;
    const bool isReader = it->Fleet->members().isReader(clockOf(*it));
    const bool isReaderVictim = wantsReaders && isReader && (allDataCentres || victims.empty());
    if (isReaderVictim || chance(share))
      victims.push_back(it.get());
  }
  return victims;
}

void ModelFleet::endExcuse(Vm &vm) {
  --vm.Excuses;
  vm.ExcusedUntil = Now + SettleTime;
}

void ModelFleet::losePower(const std::vector<Vm *> &victims, TimePoint begin, Duration length) {
  for (Vm *it : victims) {
    beginExcuse(*it);
    stop(*it);
    at(begin + length + between(Duration::zero(), RestartDelay), [this, it] {
      start(*it);
      endExcuse(*it);
    });
  }
}

void ModelFleet::freeze(const std::vector<Vm *> &victims, TimePoint begin, Duration length) {
  for (Vm *it : victims) {
    beginExcuse(*it);
    ++it->Freezes;
    at(begin + length, [this, it] {
      endExcuse(*it);
      if (--it->Freezes > 0)
        return;
      for (const auto &run : std::exchange(it->Deferred, {}))
        run();
    });
  }
}

void ModelFleet::cut(const std::vector<Vm *> &victims, TimePoint begin, Duration length) {
  std::array<bool, 4> directions{};
  for (bool &it : directions)
    it = chance(0.6);
  // A VM that the store refuses learns of changes from other VMs only.
  const bool isExcused = directions[ToStore] || directions[FromStore] || Options.HasRefusals;
  for (Vm *vm : victims) {
    if (isExcused)
      beginExcuse(*vm);
    for (std::size_t n = 0; n < directions.size(); ++n)
      vm->Cuts[n] += directions[n] ? 1 : 0;
    at(begin + length, [this, vm, directions, isExcused] {
      for (std::size_t n = 0; n < directions.size(); ++n)
        vm->Cuts[n] -= directions[n] ? 1 : 0;
      if (isExcused)
        endExcuse(*vm);
    });
  }
}

void ModelFleet::refuse(TimePoint begin, Duration length) {
  const double share = 0.2 + 0.5 * Rng.unit();
  const bool answersNothing = chance(0.5);
  RefusalSpans.push_back({.Begin = begin, .End = begin + length + SettleTime});
  for (const auto &it : Vms) {
    const bool isReader = it->isRunning() && it->Fleet->members().isReader(clockOf(*it));
    if (isSpared(*it) || (!isReader && !chance(share)))
      continue;
    Vm *vm = it.get();
    ++vm->Refusals;
    vm->IsIgnoredByStore = answersNothing;
    at(begin + length, [vm] { --vm->Refusals; });
  }
}

void ModelFleet::harmLinks(const std::vector<Vm *> &victims, TimePoint begin, Duration length) {
  const double loss = chance(0.5) ? MaxLinkLoss * Rng.unit() : 0;
  const Duration delay = loss == 0 || chance(0.3) ? between(ms(20), MaxLinkDelay) : Duration{};
  for (Vm *vm : victims) {
    beginExcuse(*vm);
    vm->LinkLoss = loss;
    vm->LinkDelay = delay;
    at(begin + length, [this, vm] {
      vm->LinkLoss = 0;
      vm->LinkDelay = {};
      endExcuse(*vm);
    });
  }
}

} // namespace wigeonlift::test
