#include <Tests/LibFleet/ModelFleet.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace wigeonlift::test {

namespace {

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

constexpr TimePoint Begin{std::chrono::seconds{1000}};
constexpr TimePoint FaultsFrom = Begin + ModelFleet::CalmStart;
constexpr TimePoint End = Begin + std::chrono::seconds{26};
constexpr Duration CheckInterval = ms(20);
constexpr Duration PullDelay = ms(80);
constexpr Duration PullTimeout = ms(1200);
constexpr Duration MaxTimerDelay = ms(20);
constexpr Duration StoreAnswerTime = ms(4);
constexpr Duration FirstRetransmission = ms(200);
constexpr int MaxRetransmissions = 6;
constexpr double DatagramLoss = 0.01;
// A clock starts anew when its VM does.
constexpr Duration MaxClockOffset = std::chrono::seconds{900};
constexpr int Keys = 20;

} // namespace

std::uint64_t seedOffset() {
  const char *offset = std::getenv("MODEL_SEED_OFFSET");
  return offset ? std::strtoull(offset, nullptr, 10) : 0;
}

ModelFleet::ModelFleet(ModelOptions options, std::uint64_t seed)
    : Options(options), Rng(seed), ClockRng(seed), RestoreRng(seed), Now(Begin) {
  for (int n = 0; n < Keys; ++n)
    StoreItems.push_back({.Key = "k" + std::to_string(n), .Value = "v", .Revision = 1});
  for (int n = 0; n < options.Vms; ++n) {
    Vms.push_back(std::make_unique<Vm>());
    Vms.back()->Index = n;
  }
}

int ModelFleet::storeCalls(Duration from, Duration span) const {
  return static_cast<int>(std::ranges::count_if(StoreCallTimes, [&](TimePoint it) {
    return it >= FaultsFrom + from && it < FaultsFrom + from + span;
  }));
}

Duration ModelFleet::between(Duration least, Duration most) {
  return least + fromSeconds(toSeconds(most - least) * Rng.unit());
}

void ModelFleet::at(TimePoint time, std::function<void()> run) {
  Events.push({.At = time, .Sequence = ++EventCount, .Run = std::move(run)});
}

void ModelFleet::inVm(Vm &vm, Duration delay, std::function<void()> run) {
  const int generation = vm.Generation;
  at(Now + delay, [this, &vm, generation, run = std::move(run)] {
    if (vm.Generation != generation || !vm.isRunning())
      return;
    if (vm.Freezes == 0)
      return run();
    vm.Deferred.emplace_back([&vm, generation, run] {
      if (vm.Generation == generation)
        run();
    });
  });
}

std::vector<std::string> ModelFleet::run() {
  for (const auto &it : Vms)
    at(Begin + between(Duration::zero(), ms(300)), [this, vm = it.get()] { start(*vm); });
  planFaults(FaultsFrom);
  if (Options.HasUpstreams)
    planUpstreams();
  if (Options.HasLastingEvacuation)
    at(Begin + ms(500), [this] { writeEvacuation("lasting", true); });
  if (Options.HasEvacuations)
    planEvacuations();
  if (Options.HasRestores)
    planRestores();
  for (TimePoint time = FaultsFrom; time < End; time += CheckInterval)
    at(time, [this] { check(); });
  while (!Events.empty() && Events.top().At < End) {
    const Event event = Events.top();
    Events.pop();
    Now = event.At;
    event.Run();
  }
  return Violations;
}

void ModelFleet::start(Vm &vm) {
  ++vm.Generation;
  vm.ClockOffset = fromSeconds(toSeconds(MaxClockOffset) * (2 * ClockRng.unit() - 1));
  const auto seed = Rng.below(UINT32_MAX);
  const FleetVm self{.Ip = FirstAddress + static_cast<VmAddress>(vm.Index),
                     .DataCentre =
                         std::string(1, static_cast<char>('a' + vm.Index % Options.DataCentres)),
                     .Incarnation = static_cast<std::uint64_t>(vm.Generation),
                     .Weight = 100};
  vm.Fleet = std::make_unique<FleetReplica>(
      self, std::vector<VmAddress>{FirstAddress, FirstAddress + 1, FirstAddress + 2},
      FreshnessLimits::forChangeDeadline(Options.ChangeDeadline), seed, clockOf(vm));
  vm.Sync = std::make_unique<StoreSync>(*vm.Fleet, seed);
  vm.List = std::make_unique<UpstreamList>(RemovalBounds{
      .DrainTimeout = Options.DrainTimeout, .StoreSettleTime = Options.StoreSettleTime});
  vm.Evacuated = std::make_unique<EvacuatedDataCentres>(Duration::zero());
  vm.Used.clear();
  vm.KnownGone.clear();
  vm.Reads = {};
  vm.IsCatchingUp = false;
  vm.Deferred.clear();
  vm.Fleet->members().setReady(true);
  tick(vm);
  syncWithStore(vm);
}

void ModelFleet::stop(Vm &vm) {
  ++vm.Generation;
  vm.Sync.reset();
  vm.Fleet.reset();
}

bool ModelFleet::losesDatagram(const Vm &from, const Vm &to) {
  return chance(std::max({DatagramLoss, from.LinkLoss, to.LinkLoss}));
}

Duration ModelFleet::delayOnLink(const Vm &vm) {
  Duration delay = vm.LinkDelay;
  if (vm.LinkLoss == 0)
    return delay;
  for (int n = 0; n < MaxRetransmissions && chance(vm.LinkLoss); ++n)
    delay += FirstRetransmission * (1 << n);
  return delay;
}

void ModelFleet::tick(Vm &vm) {
  publish(vm, vm.Fleet->tick(clockOf(vm)));
  inVm(vm, FleetMembership::GossipInterval + between(Duration::zero(), MaxTimerDelay),
       [this, &vm] { tick(vm); });
}

void ModelFleet::send(Vm &from, const std::vector<FleetDatagram> &datagrams) {
  for (const FleetDatagram &it : datagrams) {
    // Seeds may name VMs that don't exist.
    if (it.To - FirstAddress >= Vms.size())
      continue;
    Vm &to = vmAt(it.To);
    if (!to.isRunning() || from.Cuts[ToVms] > 0 || to.Cuts[FromVms] > 0 || losesDatagram(from, to))
      continue;
    inVm(to, between(std::chrono::microseconds{300}, ms(3)) + from.LinkDelay + to.LinkDelay,
         [this, &to, message = it.Message] { receive(to, message); });
  }
}

void ModelFleet::receive(Vm &vm, const FleetMessage &message) {
  publish(vm, vm.Fleet->didReceive(message, clockOf(vm)));
  if (vm.IsCatchingUp || !vm.Fleet->members().isBehind(clockOf(vm)))
    return;
  vm.IsCatchingUp = true;
  inVm(vm, vm.Fleet->revision() == 0 ? Duration::zero() : PullDelay, [this, &vm] { catchUp(vm); });
}

void ModelFleet::catchUp(Vm &vm) {
  vm.IsCatchingUp = vm.Fleet->members().isBehind(clockOf(vm));
  if (!vm.IsCatchingUp)
    return;
  if (const auto from = vm.Reads.next(vm.Fleet->members(), vm.Fleet->revision(), clockOf(vm)))
    pull(vm, *from);
  inVm(vm, PeerReads::Interval, [this, &vm] { catchUp(vm); });
}

void ModelFleet::pull(Vm &vm, VmAddress from) {
  const auto fail = [this, &vm, from] {
    inVm(vm, PullTimeout, [this, &vm, from] { vm.Reads.didEnd(from, false, clockOf(vm)); });
  };
  Vm &source = vmAt(from);
  const auto isOpen = [](const Vm &a, const Vm &b) {
    return a.Cuts[ToVms] == 0 && b.Cuts[FromVms] == 0;
  };
  if (!source.isRunning() || source.Freezes > 0 || !isOpen(vm, source) || !isOpen(source, vm))
    return fail();
  const Duration onLinks =
      delayOnLink(vm) + delayOnLink(source) + delayOnLink(source) + delayOnLink(vm);
  if (onLinks > PullTimeout)
    return fail();
  const StoreRevision after = vm.Fleet->revision();
  const StoreDelta delta = source.Fleet->replica().changesSince(after);
  inVm(vm, between(ms(2), ms(10)) + onLinks, [this, &vm, from, delta, after] {
    vm.Reads.didEnd(from, true, clockOf(vm));
    publish(vm, vm.Fleet->didReadPeer(delta, after, from, clockOf(vm)));
  });
}

void ModelFleet::syncWithStore(Vm &vm) {
  const StoreCall call = vm.Sync->next(clockOf(vm));
  if (call.Step != StoreSyncStep::WaitForPeers)
    return callStore(vm, call);
  if (call.Question)
    send(vm, {*call.Question});
  inVm(vm, vm.Sync->pause(clockOf(vm)) + between(Duration::zero(), MaxTimerDelay),
       [this, &vm] { syncWithStore(vm); });
}

void ModelFleet::callStore(Vm &vm, const StoreCall &call) {
  StoreCallTimes.push_back(Now);
  const CallState state = std::make_shared<bool>(false);
  inVm(vm, call.Timeout, [this, &vm, state] {
    if (!std::exchange(*state, true))
      endCall(vm, vm.Sync->didFail(StoreFailure::TimedOut, clockOf(vm)));
  });
  if (vm.Cuts[ToStore] > 0)
    return;
  const int generation = vm.Generation;
  at(Now + between(ms(1), ms(3)) + delayOnLink(vm), [this, &vm, call, state, generation] {
    if (vm.Generation == generation)
      answerCall(vm, call, state);
  });
}

bool ModelFleet::isStoreDown() const {
  return isRestoring() || (Now >= FaultsFrom && Now < FaultsFrom + Options.StoreOutage);
}

void ModelFleet::answerCall(Vm &vm, const StoreCall &call, const CallState &state) {
  if (vm.Refusals > 0 && vm.IsIgnoredByStore)
    return;
  if (isStoreDown() && Options.IsOutageSilent)
    return;
  if (isStoreDown() || vm.Refusals > 0)
    return respond(vm, state, [this, &vm] {
      return vm.Sync->didFail(StoreFailure::Unreachable, clockOf(vm));
    });
  if (call.Step == StoreSyncStep::CheckRevision)
    return respond(vm, state, [this, &vm, revision = Revision] {
      return vm.Sync->didCheck(revision, clockOf(vm));
    });
  if (call.Step == StoreSyncStep::ReadAll)
    return respond(vm, state, [this, &vm, delta = changesAfter(0, true)] {
      return vm.Sync->didReadAll(delta, clockOf(vm));
    });
  const int generation = vm.Generation;
  const auto watch = std::make_shared<OpenWatch>();
  watch->Owner = &vm;
  watch->Answer = [this, &vm, call, state, generation, watch = std::weak_ptr{watch}] {
    const auto open = watch.lock();
    if (!open || std::exchange(open->IsAnswered, true) || vm.Generation != generation)
      return;
    if (isStoreDown() && Options.IsOutageSilent)
      return;
    // The store doesn't know in which era a watch was asked.
    const bool hasHistory = call.After.Number <= Revision.Number;
    if (isRestoring() || !hasHistory)
      return respond(vm, state, [this, &vm, hasHistory] {
        return vm.Sync->didFail(
            hasHistory ? StoreFailure::Unreachable : StoreFailure::HistoryUnavailable, clockOf(vm));
      });
    respond(vm, state, [this, &vm, delta = changesAfter(call.After.Number, false)] {
      return vm.Sync->didWatch(delta, clockOf(vm));
    });
  };
  if (Revision.Number != call.After.Number)
    return watch->Answer();
  Watches.push_back(watch);
  at(Now + call.Wait, [watch] { watch->Answer(); });
}

void ModelFleet::respond(Vm &vm, const CallState &state, std::function<ReplicaUpdate()> take) {
  if (vm.Cuts[FromStore] > 0)
    return;
  inVm(vm, StoreAnswerTime + between(ms(1), ms(3)) + delayOnLink(vm),
       [this, &vm, state, take = std::move(take)] {
         if (!std::exchange(*state, true))
           endCall(vm, take());
       });
}

void ModelFleet::endCall(Vm &vm, const ReplicaUpdate &update) {
  publish(vm, update);
  inVm(vm, vm.Sync->pause(clockOf(vm)) + between(Duration::zero(), MaxTimerDelay),
       [this, &vm] { syncWithStore(vm); });
}

StoreDelta ModelFleet::changesAfter(std::uint64_t number, bool isComplete) const {
  StoreDelta delta{.Items = {}, .IsComplete = isComplete, .AsOf = Revision};
  for (const StoreItem &it : StoreItems)
    if (it.Revision.Number > number && !(isComplete && it.IsRemoved))
      delta.Items.push_back(it);
  return delta;
}

void ModelFleet::change() {
  if (isRestoring())
    return at(RestoringUntil, [this] { change(); });
  write(StoreItem{StoreItems[Rng.below(Keys)]});
  Changes.push_back({.Revision = Revision, .At = Now});
}

void ModelFleet::write(StoreItem item) {
  ++Revision.Number;
  item.Revision = Revision;
  const auto it = std::ranges::find(StoreItems, item.Key, &StoreItem::Key);
  if (it == StoreItems.end())
    StoreItems.push_back(std::move(item));
  else
    *it = std::move(item);
  const auto open = std::exchange(Watches, {});
  for (const auto &watch : open)
    watch->Answer();
}

TimePoint ModelFleet::dueTime(const Change &change) const {
  const TimePoint due = change.At + Options.ChangeDeadline;
  const bool isStretched = std::ranges::any_of(
      RefusalSpans, [&](const Span &it) { return it.Begin <= due && it.End >= change.At; });
  TimePoint settled = isStretched ? due + Options.RefusalStretch : due;
  for (const Span &it : RestoreSpans)
    if (it.Begin <= due && it.End + Options.StoreSettleTime >= change.At)
      settled = std::max(settled, it.End + Options.StoreSettleTime);
  return settled;
}

bool ModelFleet::isInTouch(const Vm &vm) const {
  return vm.isRunning() && vm.Excuses == 0 && Now >= vm.ExcusedUntil;
}

void ModelFleet::check() {
  checkUpstreams();
  checkEvacuations();
  checkRestores();
  const auto isDue = [&](const Change &it) { return dueTime(it) <= Now; };
  const auto due = std::ranges::find_if(Changes.rbegin(), Changes.rend(), isDue);
  if (due == Changes.rend())
    return;
  for (const auto &it : Vms) {
    if (!isInTouch(*it) || it->Fleet->revision() >= due->Revision ||
        it->LastReported == due->Revision)
      continue;
    it->LastReported = due->Revision;
    std::ostringstream line;
    line << "VM " << it->Index << " of data centre " << it->Fleet->members().self().DataCentre
         << " lacks revision " << due->Revision.text() << " of " << toMilliseconds(due->At - Begin)
         << " ms at " << toMilliseconds(Now - Begin) << " ms";
    Violations.push_back(line.str());
  }
}

} // namespace wigeonlift::test
