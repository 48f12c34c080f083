#include <Tests/Fuzz/World.h>

#include <algorithm>

namespace wigeonlift::test {

using namespace std::chrono_literals;

namespace {

const ProbeBudgetSpec Budget{3, 1.5, 2s};
// Permissions are judged by 2.5 s and the 3 s of I5; a catalogue may take any time here, because
// this world has no gossip.
const CheckLimits Limits{{{"rankview", {3, 1.5, 2s}}}, 3s, std::chrono::hours{24 * 365}};

std::shared_ptr<const Catalogue> catalogueOf(std::uint64_t version, std::uint64_t digest,
                                             Duration deadline) {
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->Version = {version, 0, digest};
  catalogue->Fleet = {3, 2500ms};
  // Some versions have a smaller budget; none has a larger one.
  ProbeBudgetSpec budget = Budget;
  if (version % 3 == 0)
    budget.ProbesPerSecond = version % 2 == 0 ? 1.5 : 0;
  // Retries and hedges are not scarce, so that each run has many.
  catalogue->Services = {{"rankview", 3, 30, 1, 100, 100, budget}};
  const EntryLimits limits{3000, 30, 30, deadline};
  catalogue->Entries = {{"lookup", "dojo", 0, "/l", CallClass::Idempotent, limits},
                        {"promote", "dojo", 0, "/p", CallClass::NonIdempotent, limits},
                        {"archive", "dojo", 0, "/a", CallClass::Export, limits}};
  return catalogue;
}

std::pair<std::string, std::string> inOrder(const std::string &one, const std::string &other) {
  return {std::min(one, other), std::max(one, other)};
}

} // namespace

World::World() {
  for (std::size_t n = 0; n < Upstreams.size(); ++n)
    Upstreams[n].Name = "rankview-" + std::to_string(n);
  for (std::size_t n = 0; n < Vms.size(); ++n) {
    Vms[n].Name = "entry-" + std::to_string(n);
    Vms[n].Address = "127.0.0.1:" + std::to_string(7000 + n);
    start(n);
  }
}

void World::step(std::string_view name, Pick &pick) {
  const std::size_t n = pick.below(Vms.size());
  Vm &vm = Vms[n];
  if (name == "passTime")
    return passTime(
        std::array<Duration, 8>{1ms, 1ms, 5ms, 20ms, 20ms, 300ms, 1s, 3s}[pick.below(8)]);
  // Faults end sooner than they begin, so that most of the world works most of the time.
  if (name == "drain") {
    Upstream &it = pick.of(Upstreams);
    return it.IsDraining || pick.oneIn(3) ? drainOrReturn(it) : void();
  }
  if (name == "cut" && !Cuts.empty() && !pick.oneIn(3))
    return cutOrHeal(Cuts.begin()->first, Cuts.begin()->second);
  if (name == "cut")
    return cutOrHeal(vm.Name, pick.oneIn(3) ? pick.of(Vms).Name : pick.of(Upstreams).Name);
  if (name == "pause")
    return vm.IsPaused || pick.oneIn(3) ? pauseOrResume(vm, !pick.oneIn(3)) : void();
  if (name == "restart")
    return pick.oneIn(5) ? restart(n) : void();
  if (name == "arrive" || name == "reply" || name == "write" || name == "deliver" ||
      name == "break")
    return moveExchange(name, pick);
  if (name == "probe" || name == "answer") {
    if (Probes.empty())
      return;
    RunningProbe &it =
        Probes[Probes.size() - 1 - pick.below(std::min<std::size_t>(Probes.size(), 4))];
    return name == "probe" ? moveProbe(it, pick) : answerProbe(it, pick.oneIn(3));
  }
  if (name == "ping")
    return movePing(pick);
  if (vm.IsPaused)
    return;
  if (name == "call")
    callAnew(n, pick);
  else if (name == "repeat" && !Operations.empty())
    send(pick.below(Operations.size()), n);
  else if (name == "leave")
    callerLeaves(n, pick);
  else if (name == "tick")
    tick(n);
  else if (name == "list")
    giveList(vm, pick);
  else if (name == "catalogue")
    giveCatalogue(vm, pick);
  obey(n);
}

void World::record(const std::string &writer, EventData data) {
  // No two events happen at the same time.
  Now += 1ns;
  const auto vm = std::ranges::find(Vms, writer, &Vm::Name);
  const TimePoint incarnation = vm == Vms.end() ? TimePoint{} : vm->StartedAt;
  Events.Events.push_back({Now, writer, incarnation, Events.Events.size(), std::move(data)});
}

bool World::areCut(const std::string &one, const std::string &other) const {
  return Cuts.contains(inOrder(one, other));
}

World::Upstream &World::upstreamNamed(const std::string &name) {
  return *std::ranges::find(Upstreams, name, &Upstream::Name);
}

void World::start(std::size_t n) {
  Vm &vm = Vms[n];
  vm.Boot =
      BootId{{static_cast<std::uint8_t>(++LastBoot), static_cast<std::uint8_t>(LastBoot >> 8)}};
  vm.ClockOffset = Duration{static_cast<std::int64_t>(LastBoot) * 1'000'000'007};
  const TimePoint now = clockOf(vm);
  vm.Dispatch = std::make_unique<DefaultDispatcher>(LastBoot, now);
  vm.Tickets = std::make_unique<TicketTable>(vm.Boot, randomTicketKey(), 100, 120s);
  vm.Store = {};
  vm.StartedAt = Now;
  vm.IsPaused = false;
  record(vm.Name, StartEvent{vm.Name, ProcessRole::Entry, vm.Address});
  vm.Store.offer(catalogueOf(1, 0, CallDeadline), now);
  vm.Dispatch->setCatalogue(vm.Store.current(), 0, now, vm.Out);
  std::vector<UpstreamSpec> list;
  for (const Upstream &it : Upstreams)
    list.push_back({it.Name, it.Name + ":80", "a"});
  vm.Dispatch->setUpstreams(list, now, vm.Out);
  // The VM begins with evidence of the upstreams that it reaches.
  for (std::uint32_t u = 0; u < list.size(); ++u)
    if (!Upstreams[u].IsDraining && !areCut(vm.Name, Upstreams[u].Name))
      vm.Dispatch->peerEvidence({UpstreamIndex{u}, now, reportOf(Upstreams[u])}, now, vm.Out);
  obey(n);
}

void World::restart(std::size_t n) {
  Vm &vm = Vms[n];
  record("script", KillEvent{vm.Name});
  for (auto it = Calls.begin(); it != Calls.end();) {
    if (it->first.first != n) {
      ++it;
      continue;
    }
    for (const Waiting &caller : it->second.Callers)
      answer(caller, {"", 0, 0, Execution::Unknown, FailureBroken, false, true});
    it = Calls.erase(it);
  }
  if (vm.IsPaused)
    record("script", PauseEvent{vm.Name, Phase::Ended});
  start(n);
}

void World::pauseOrResume(Vm &vm, bool noticesPause) {
  vm.IsPaused = !vm.IsPaused;
  record("script", PauseEvent{vm.Name, vm.IsPaused ? Phase::Begun : Phase::Ended});
  if (vm.IsPaused || !noticesPause)
    return;
  vm.Dispatch->didPause(clockOf(vm), vm.Out);
  obey(static_cast<std::size_t>(&vm - Vms.data()));
}

void World::cutOrHeal(const std::string &one, const std::string &other) {
  if (one == other)
    return;
  const auto pair = inOrder(one, other);
  const bool isCut = Cuts.erase(pair) == 0;
  if (isCut)
    Cuts.insert(pair);
  record("script", PartitionEvent{one, other, isCut ? Phase::Begun : Phase::Ended});
}

void World::drainOrReturn(Upstream &upstream) {
  upstream.IsDraining = !upstream.IsDraining;
  record(upstream.Name,
         DrainEvent{upstream.Name, upstream.IsDraining ? Phase::Begun : Phase::Ended});
}

void World::giveList(Vm &vm, Pick &pick) {
  std::vector<UpstreamSpec> list;
  for (const Upstream &it : Upstreams) {
    // The list lags: it may lack an upstream, not know that it leaves, or have an old address.
    const bool isLeaving = it.IsDraining ? pick.oneIn(2) : pick.oneIn(10);
    const char *port = pick.oneIn(6) ? ":81" : ":80";
    if (!pick.oneIn(8))
      list.push_back({it.Name, it.Name + port, "a", isLeaving});
  }
  vm.Dispatch->setUpstreams(list, clockOf(vm), vm.Out);
}

void World::giveCatalogue(Vm &vm, Pick &pick) {
  if (pick.oneIn(3))
    ++ServiceVersion;
  // The service is stale or goes back, and two documents may have one version.
  const std::uint64_t version =
      ServiceVersion - pick.below(std::min<std::size_t>(ServiceVersion, 3));
  const auto offered = catalogueOf(version, pick.below(2), CallDeadline);
  vm.Store.offer(offered, clockOf(vm));
  const Catalogue &inEffect = *vm.Store.current();
  record(vm.Name,
         CatalogueEvent{inEffect.Version.Number, std::to_string(inEffect.Version.DigestLow),
                        CatalogueStep::InEffect});
  vm.Dispatch->setCatalogue(vm.Store.current(), 0, clockOf(vm), vm.Out);
}

void World::tick(std::size_t n) {
  Vms[n].Dispatch->tick(clockOf(Vms[n]), Vms[n].Out);
  Vms[n].Tickets->expire(clockOf(Vms[n]));
  obey(n);
}

void World::finish() {
  for (std::size_t n = 0; n < Vms.size(); ++n)
    if (Vms[n].IsPaused)
      pauseOrResume(Vms[n], true);
  // Deadlines pass, and then the connections of responses that are still relayed break. Resumed
  // exports need a few rounds.
  for (int round = 0; round < 12; ++round) {
    passTime(CallDeadline);
    for (std::size_t n = 0; n < Vms.size(); ++n)
      tick(n);
    for (std::size_t e = 0; e < Exchanges.size(); ++e)
      if (isCurrent(Exchanges[e].Vm, Exchanges[e].Boot))
        breakOff(Exchanges[e], false);
  }
  checkNothingIsLeft();
  for (const Verdict &it : checkHistory(Events, Limits))
    if (!it.holds())
      RC_FAIL("the checker found a violation: " + it.toLine());
}

void World::checkNothingIsLeft() {
  RC_ASSERT(Calls.empty());
  for (const Vm &it : Vms) {
    const DispatcherState state = it.Dispatch->state(clockOf(it));
    RC_ASSERT(state.Calls == 0);
    RC_ASSERT(state.AttemptsRunning == 0);
    for (const EntrySnapshot &entry : state.Entries) {
      RC_ASSERT(entry.Queued == 0);
      RC_ASSERT(entry.InFlight == 0);
    }
  }
}

} // namespace wigeonlift::test
