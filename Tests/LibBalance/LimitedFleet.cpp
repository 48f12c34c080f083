#include <Tests/LibBalance/LimitedFleet.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace wigeonlift::test {

namespace {

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

constexpr TimePoint Begin{std::chrono::seconds{1000}};
// VMs know each other by then, and know how long work takes.
constexpr TimePoint LimitsFrom = Begin + std::chrono::seconds{8};
constexpr TimePoint End = Begin + std::chrono::seconds{28};
constexpr VmAddress FirstAddress = 0x0a000001U;
constexpr int Slots = 3;
constexpr Duration WorkTime = ms(60);
constexpr Duration TargetLatency = ms(400);
constexpr Duration TimeToDeadline = ms(1600);
constexpr Duration MaxTimerDelay = ms(20);
constexpr double DatagramLoss = 0.01;

// The rule that upstreams rely on.
constexpr Duration SettleTime = std::chrono::seconds{3};
constexpr Duration Window = std::chrono::seconds{4};
constexpr double AllowedFactor = 1.5;
constexpr int AllowedExtra = 5;

// The rule for cold upstreams, which counts all requests of all VMs.
constexpr WarmupBounds ColdBounds{.Overage = 1.5, .Tolerance = 8};
constexpr Duration ColdWindow = std::chrono::seconds{1};
constexpr Duration Warmup = std::chrono::seconds{3};
constexpr double ColdSlowness = 2;
constexpr Duration EntryInterval = ms(1500);
constexpr Duration MaxEntryDelay = ms(2500);
constexpr Duration PartitionLength = std::chrono::seconds{12};

int indexOf(UpstreamIndex index) { return static_cast<int>(index.Value); }

} // namespace

LimitedFleet::LimitedFleet(LimitedFleetOptions options, std::uint64_t seed)
    : Options(options), Rng(seed), Now(Begin) {
  Upstreams.resize(static_cast<std::size_t>(options.Upstreams));
  for (int n = 0; n < options.Vms; ++n) {
    Vms.push_back(std::make_unique<Vm>());
    Vms.back()->Index = n;
  }
}

double LimitedFleet::allowed() const {
  double sum = 0;
  for (const Upstream &upstream : Upstreams)
    for (const LimitSpan &it : upstream.Limits)
      sum += it.RequestsPerSecond * toSeconds(std::min(it.End, End) - it.Begin);
  return sum;
}

Duration LimitedFleet::between(Duration least, Duration most) {
  return least + fromSeconds(toSeconds(most - least) * Rng.unit());
}

void LimitedFleet::at(TimePoint time, std::function<void()> run) {
  Events.push({.At = time, .Sequence = ++EventCount, .Run = std::move(run)});
}

void LimitedFleet::inVm(Vm &vm, Duration delay, std::function<void()> run) {
  const int generation = vm.Generation;
  at(Now + delay, [this, &vm, generation, run = std::move(run)] {
    if (vm.Generation != generation || !vm.isRunning())
      return;
    if (!vm.IsFrozen)
      return run();
    vm.Deferred.emplace_back([&vm, generation, run] {
      if (vm.Generation == generation)
        run();
    });
  });
}

std::vector<std::string> LimitedFleet::run() {
  planLimits();
  if (Options.WarmupPerSecond > 0)
    planWarmups();
  for (const auto &it : Vms) {
    const bool isLate = Options.HasLateVms && it->Index % 3 == 1;
    const Duration latest = isLate ? std::chrono::seconds{20} : ms(300);
    at(Begin + between(Duration::zero(), latest), [this, vm = it.get()] { start(*vm); });
  }
  if (Options.HasPartitions)
    planPartitions();
  if (Options.HasFaults)
    planFaults();
  at(Begin + ms(500), [this] { arrive(); });
  while (!Events.empty() && Events.top().At < End) {
    const Event event = Events.top();
    Events.pop();
    Now = event.At;
    event.Run();
  }
  std::vector<std::string> violations;
  for (int n = 0; n < Options.Upstreams; ++n)
    check(n, violations);
  for (int n = 0; n < Options.Upstreams; ++n)
    checkWarmups(n, violations);
  return violations;
}

void LimitedFleet::planWarmups() {
  for (int n = 0; n < Options.Upstreams; ++n) {
    Upstream &upstream = Upstreams[static_cast<std::size_t>(n)];
    upstream.NamesZero = chance(0.5);
    TimePoint begin = Options.StartsCold ? Begin : LimitsFrom + between(Duration::zero(), ms(6000));
    while (begin < End) {
      upstream.ColdSpans.push_back({.Begin = begin, .End = begin + Warmup});
      for (TimePoint it = begin; it < begin + Warmup; it += EntryInterval)
        at(it + ms(1), [this, n] { writeEntry(n); });
      at(begin + Warmup + between(ms(1), EntryInterval), [this, n] { writeEntry(n); });
      begin += Warmup + between(ms(200), ms(8000));
    }
  }
}

void LimitedFleet::planPartitions() {
  for (const TimePoint from : {Begin + ms(500), Begin + std::chrono::seconds{14}}) {
    for (const auto &it : Vms) {
      Vm &vm = *it;
      const bool isAlone = chance(0.2);
      const bool restarts = chance(0.3);
      const Duration restartsAfter = between(ms(100), PartitionLength);
      const int part = static_cast<int>(Rng.below(2));
      at(from, [this, &vm, isAlone, part] {
        vm.Part = part;
        if (isAlone && !vm.IsCut)
          cut(vm, PartitionLength);
      });
      at(from + PartitionLength, [&vm] { vm.Part = 0; });
      if (restarts)
        at(from + restartsAfter, [this, &vm] {
          if (vm.isRunning() && !vm.IsFrozen)
            losePower(vm, between(ms(200), ms(1500)));
        });
    }
  }
}

Duration LimitedFleet::warmupRemaining(int upstream) const {
  for (const ColdSpan &it : Upstreams[static_cast<std::size_t>(upstream)].ColdSpans)
    if (Now >= it.Begin && Now < it.End)
      return it.End - Now;
  return Duration::zero();
}

void LimitedFleet::writeEntry(int upstream) {
  const Duration remaining = warmupRemaining(upstream);
  for (const auto &it : Vms) {
    Vm &vm = *it;
    inVm(vm, between(ms(20), MaxEntryDelay), [this, &vm, upstream, remaining] {
      if (!vm.IsCut)
        vm.Balancer->warmupReported(UpstreamIndex{static_cast<std::uint32_t>(upstream)},
                                    static_cast<std::uint64_t>(upstream), remaining, Now);
    });
  }
}

std::vector<TimePoint> LimitedFleet::arrivalsIn(const Upstream &upstream,
                                                const ColdSpan &span) const {
  std::vector<TimePoint> result;
  for (const Arrival &it : upstream.Arrivals)
    if (it.At >= span.Begin && it.At < span.End)
      result.push_back(it.At);
  return result;
}

void LimitedFleet::checkWarmups(int upstream, std::vector<std::string> &violations) const {
  const Upstream &it = Upstreams[static_cast<std::size_t>(upstream)];
  const double most = Options.WarmupPerSecond * ColdBounds.Overage + ColdBounds.Tolerance;
  for (const ColdSpan &span : it.ColdSpans) {
    const std::vector<TimePoint> arrivals = arrivalsIn(it, span);
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
      const auto count = std::ranges::lower_bound(arrivals, *first + ColdWindow) - first;
      if (static_cast<double>(count) <= most)
        continue;
      std::ostringstream line;
      line << "cold upstream " << upstream << ": " << count << " requests in 1 s from "
           << toSeconds(*first - Begin) << " s, cold since " << toSeconds(span.Begin - Begin);
      violations.push_back(line.str());
      break;
    }
  }
}

int LimitedFleet::sentToCold() const {
  std::size_t sum = 0;
  for (const Upstream &upstream : Upstreams)
    for (const ColdSpan &it : upstream.ColdSpans)
      sum += arrivalsIn(upstream, it).size();
  return static_cast<int>(sum);
}

double LimitedFleet::allowedToCold() const {
  double sum = 0;
  for (const Upstream &upstream : Upstreams)
    for (const ColdSpan &it : upstream.ColdSpans)
      sum += Options.WarmupPerSecond * toSeconds(std::min(it.End, End) - it.Begin);
  return sum;
}

int LimitedFleet::unusedColdSpans() const {
  int sum = 0;
  for (const Upstream &upstream : Upstreams)
    for (const ColdSpan &it : upstream.ColdSpans)
      sum += it.End <= End && arrivalsIn(upstream, it).empty() ? 1 : 0;
  return sum;
}

bool LimitedFleet::isReachable(const Vm &from, const Vm &to) const {
  return !from.IsCut && !to.IsCut && from.Part == to.Part;
}

void LimitedFleet::planLimits() {
  const bool isTogether = Options.LimitsLast || chance(0.5);
  const TimePoint together =
      LimitsFrom + (Options.LimitsLast ? Duration::zero() : between(Duration::zero(), ms(2000)));
  for (Upstream &it : Upstreams) {
    it.FailureRatio = chance(0.3) ? 0.2 : 0;
    if (!chance(Options.LimitedFraction))
      continue;
    TimePoint begin = isTogether ? together : LimitsFrom + between(Duration::zero(), ms(8000));
    while (begin < End) {
      const Duration length =
          Options.LimitsLast || chance(0.5) ? End - begin : between(ms(1000), ms(10'000));
      const double limit =
          Options.MinLimit * std::pow(Options.MaxLimit / Options.MinLimit, Rng.unit());
      it.Limits.push_back({.Begin = begin, .End = begin + length, .RequestsPerSecond = limit});
      begin += length + (chance(0.5) ? Duration::zero() : between(ms(500), ms(4000)));
    }
  }
}

void LimitedFleet::planFaults() {
  for (TimePoint time = LimitsFrom; time < End; time += between(ms(500), ms(4000))) {
    const double part = chance(0.3) ? 0.6 : 0.15;
    const auto kind = Rng.below(4);
    const Duration length = between(ms(300), ms(6000));
    for (const auto &it : Vms) {
      Vm &vm = *it;
      if (!chance(part))
        continue;
      at(time + between(Duration::zero(), ms(50)), [this, &vm, kind, length] {
        if (!vm.isRunning() || vm.IsCut || vm.IsFrozen)
          return;
        if (kind == 0)
          losePower(vm, length);
        else if (kind == 1)
          freeze(vm, length);
        else
          cut(vm, length);
      });
    }
  }
}

void LimitedFleet::start(Vm &vm) {
  ++vm.Generation;
  const auto seed = Rng.below(UINT32_MAX);
  const FleetVm self{.Ip = FirstAddress + static_cast<VmAddress>(vm.Index),
                     .DataCentre =
                         std::string(1, static_cast<char>('a' + vm.Index % Options.DataCentres)),
                     .Incarnation = static_cast<std::uint64_t>(vm.Generation),
                     .Weight = vm.Index % 3 == 0 ? 200U : 100U};
  std::vector<VmAddress> seeds;
  for (std::size_t n = 0; n < std::min<std::size_t>(3, Vms.size()); ++n)
    seeds.push_back(FirstAddress + static_cast<VmAddress>(n));
  vm.Members = std::make_unique<FleetMembership>(self, seeds, seed, Now);
  vm.Members->setReady(true);
  vm.Balancer = std::make_unique<ServiceBalancer>(seed, Now - std::chrono::minutes{1});
  vm.Balancer->setRetryBudget(0.2, 20, std::chrono::seconds{10});
  vm.Balancer->setProbeRate(1000, Now);
  vm.Balancer->setWarmupAssignment(ShareAssignment::withoutShares(), Now);
  vm.Balancer->setWarmup(Options.WarmupPerSecond, ColdBounds, Now);
  vm.WakeupAt.reset();
  vm.Deferred.clear();
  vm.Objectives.clear();
  std::vector<UpstreamInfo> infos;
  for (int n = 0; n < Options.Upstreams; ++n)
    infos.push_back(
        {.Index = UpstreamIndex{static_cast<std::uint32_t>(n)},
         .IsInLocalDataCentre = n % Options.DataCentres == vm.Index % Options.DataCentres,
         .Slots = Slots});
  BalanceCommands out;
  vm.Balancer->setUpstreams(infos, Now, out);
  for (int n = 0; n < Options.Upstreams; ++n)
    if (const Duration remaining = warmupRemaining(n); remaining > Duration::zero())
      vm.Balancer->warmupReported(UpstreamIndex{static_cast<std::uint32_t>(n)},
                                  static_cast<std::uint64_t>(n), remaining, Now);
  gossip(vm);
}

void LimitedFleet::end(Vm &vm) {
  ++vm.Generation;
  vm.Balancer.reset();
  vm.Members.reset();
}

void LimitedFleet::losePower(Vm &vm, Duration length) {
  vm.Excuses.emplace_back(Now, Now + length + SettleTime);
  end(vm);
  at(Now + length, [this, &vm] { start(vm); });
}

void LimitedFleet::freeze(Vm &vm, Duration length) {
  vm.Excuses.emplace_back(Now, Now + length + SettleTime);
  vm.IsFrozen = true;
  at(Now + length, [&vm] {
    vm.IsFrozen = false;
    for (const auto &it : std::exchange(vm.Deferred, {}))
      it();
  });
}

void LimitedFleet::cut(Vm &vm, Duration length) {
  vm.Excuses.emplace_back(Now, Now + length + SettleTime);
  vm.IsCut = true;
  at(Now + length, [&vm] { vm.IsCut = false; });
}

void LimitedFleet::gossip(Vm &vm) {
  send(vm, vm.Members->tick(Now));
  vm.Balancer->setShareAssignment(vm.Members->shareAssignment(SharedThing::NamedLimits, Now), Now);
  vm.Balancer->setWarmupAssignment(vm.Members->shareAssignment(SharedThing::RatesOfAllVms, Now),
                                   Now);
  inVm(vm, FleetMembership::GossipInterval + between(Duration::zero(), MaxTimerDelay),
       [this, &vm] { gossip(vm); });
}

void LimitedFleet::send(Vm &from, const std::vector<FleetDatagram> &datagrams) {
  for (const FleetDatagram &it : datagrams) {
    if (it.To - FirstAddress >= Vms.size())
      continue;
    Vm &to = *Vms[it.To - FirstAddress];
    if (!to.isRunning() || !isReachable(from, to) || chance(DatagramLoss))
      continue;
    inVm(to, between(std::chrono::microseconds{300}, ms(3)),
         [this, &to, message = it.Message] { send(to, to.Members->didReceive(message, Now)); });
  }
}

void LimitedFleet::arrive() {
  at(Now + fromSeconds(-std::log(1 - Rng.unit()) / Options.RequestsPerSecond),
     [this] { arrive(); });
  Vm &vm = *Vms[Rng.below(Vms.size())];
  if (!vm.isRunning() || vm.IsFrozen)
    return;
  const CallId id{++LastCall};
  const bool isIdempotent = chance(0.7);
  ++Requests;
  vm.Objectives[id] = Now + TargetLatency;
  BalanceCommands out;
  vm.Balancer->requestArrived(
      {.Id = id,
       .Class = isIdempotent ? CallClass::Idempotent : CallClass::NonIdempotent,
       .Kind = 1,
       .ArrivedAt = Now,
       .TargetLatency = TargetLatency,
       .Objective = Now + TargetLatency,
       .Deadline = Now + TimeToDeadline,
       .Priority = isIdempotent ? 1 : 0,
       .MaxAttempts = 3},
      Now, out);
  execute(vm, out);
}

void LimitedFleet::execute(Vm &vm, const BalanceCommands &commands) {
  for (const BalanceCommand &it : commands) {
    if (const auto *send = std::get_if<SendRequest>(&it))
      sendRequest(vm, *send);
    else if (const auto *probe = std::get_if<SendProbe>(&it))
      sendProbe(vm, *probe);
    else if (const auto *refusal = std::get_if<RefuseRequest>(&it))
      RefusedEarly += Now + WorkTime < vm.Objectives[refusal->Call] ? 1 : 0;
  }
  armWakeup(vm);
}

void LimitedFleet::sendRequest(Vm &vm, const SendRequest &command) {
  // Opening a connection takes a while at times.
  const Duration connecting = chance(0.05) ? between(ms(1), ms(150)) : Duration::zero();
  inVm(vm, connecting, [this, &vm, command] {
    BalanceCommands out;
    const bool may = vm.Balancer->maySend(command.Attempt, Now, out);
    execute(vm, out);
    if (may)
      inVm(vm, ms(1), [this, &vm, command] { serve(vm, command); });
  });
}

void LimitedFleet::serve(Vm &vm, const SendRequest &command) {
  const int index = indexOf(command.Upstream);
  Upstream &upstream = Upstreams[static_cast<std::size_t>(index)];
  upstream.Arrivals.push_back({.At = Now, .Vm = vm.Index});
  ++upstream.Running;
  const bool isCold = warmupRemaining(index) > Duration::zero();
  const Duration work =
      fromSeconds(toSeconds(WorkTime) * (chance(0.05) ? 6 : 1) * (isCold ? ColdSlowness : 1));
  at(Now + work, [&upstream] { --upstream.Running; });
  inVm(vm, work, [this, &vm, command] { answer(vm, command); });
}

void LimitedFleet::answer(Vm &vm, const SendRequest &command) {
  const int index = indexOf(command.Upstream);
  const Upstream &upstream = Upstreams[static_cast<std::size_t>(index)];
  vm.Balancer->noticeReceived(command.Upstream, command.Upstream.Value, noticeOf(index), Now);
  const bool isFailure = chance(upstream.FailureRatio);
  const ResponseKind kind =
      isFailure ? (chance(0.5) ? ResponseKind::NotRun : ResponseKind::UpstreamFailure)
                : ResponseKind::Success;
  Served += !isFailure && Now >= LimitsFrom ? 1 : 0;
  BalanceCommands out;
  vm.Balancer->responseReceived(command.Attempt, {.Kind = kind, .Load = loadOf(index)}, Now, out);
  execute(vm, out);
}

void LimitedFleet::sendProbe(Vm &vm, const SendProbe &command) {
  HealthChecks += Now >= LimitsFrom ? 1 : 0;
  inVm(vm, ms(2), [this, &vm, command, askedAt = Now] {
    const int index = indexOf(command.Upstream);
    UpstreamNotice notice = noticeOf(index);
    const Duration remaining = warmupRemaining(index);
    const bool isNamed =
        remaining > Duration::zero() || Upstreams[static_cast<std::size_t>(index)].NamesZero;
    using Content = WarmupReport::Content;
    notice.WarmupRemaining = WarmupReport{.Kind = isNamed ? Content::Named : Content::Unnamed,
                                          .Remaining = remaining,
                                          .AskedAt = askedAt};
    vm.Balancer->noticeReceived(command.Upstream, command.Upstream.Value, notice, Now);
    BalanceCommands out;
    vm.Balancer->probeAnswered(command.Probe, loadOf(index), Now, out);
    execute(vm, out);
  });
}

void LimitedFleet::armWakeup(Vm &vm) {
  const auto next = vm.Balancer->nextWakeup();
  if (!next || (vm.WakeupAt && *vm.WakeupAt <= *next && *vm.WakeupAt > Now))
    return;
  vm.WakeupAt = std::max(*next, Now + std::chrono::microseconds{100});
  inVm(vm, *vm.WakeupAt - Now, [this, &vm, due = *vm.WakeupAt] {
    if (vm.WakeupAt != due)
      return;
    vm.WakeupAt.reset();
    BalanceCommands out;
    vm.Balancer->tick(Now, out);
    execute(vm, out);
  });
}

const LimitedFleet::LimitSpan *LimitedFleet::limitAt(const Upstream &upstream,
                                                     TimePoint time) const {
  const auto it = std::ranges::find_if(upstream.Limits, [&](const LimitSpan &span) {
    return time >= span.Begin && time < span.End;
  });
  return it == upstream.Limits.end() ? nullptr : &*it;
}

UpstreamNotice LimitedFleet::noticeOf(int upstream) const {
  using Content = RateLimitReport::Content;
  const LimitSpan *limit = limitAt(Upstreams[static_cast<std::size_t>(upstream)], Now);
  if (!limit)
    return {.RateLimit = {.Kind = Content::Unlimited}};
  return {.RateLimit = {.Kind = Content::Limited, .RequestsPerSecond = limit->RequestsPerSecond}};
}

LoadReport LimitedFleet::loadOf(int upstream) const {
  const Upstream &it = Upstreams[static_cast<std::size_t>(upstream)];
  return {.InFlight = std::min(it.Running, Slots),
          .Queued = std::max(0, it.Running - Slots),
          .Slots = Slots};
}

bool LimitedFleet::isExcused(const Arrival &arrival) const {
  const auto &excuses = Vms[static_cast<std::size_t>(arrival.Vm)]->Excuses;
  return std::ranges::any_of(
      excuses, [&](const auto &it) { return arrival.At >= it.first && arrival.At < it.second; });
}

void LimitedFleet::check(int upstream, std::vector<std::string> &violations) const {
  const Upstream &it = Upstreams[static_cast<std::size_t>(upstream)];
  std::vector<TimePoint> counted;
  for (const Arrival &arrival : it.Arrivals)
    if (!isExcused(arrival))
      counted.push_back(arrival.At);
  for (const LimitSpan &span : it.Limits) {
    // Each change of the limit counts like a new one, since VMs learn of it one after the other.
    const TimePoint from = span.Begin + SettleTime;
    const double most = AllowedFactor * span.RequestsPerSecond * toSeconds(Window) + AllowedExtra;
    for (auto first = std::ranges::lower_bound(counted, from);
         first != counted.end() && *first + Window <= span.End; ++first) {
      const auto last = std::ranges::lower_bound(counted, *first + Window);
      if (static_cast<double>(last - first) <= most)
        continue;
      std::ostringstream line;
      line << "upstream " << upstream << ": " << last - first << " requests in 4 s from "
           << toSeconds(*first - Begin) << " s, limit " << span.RequestsPerSecond << " a second";
      violations.push_back(line.str());
      break;
    }
  }
}

} // namespace wigeonlift::test
