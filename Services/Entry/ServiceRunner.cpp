#include "ServiceRunner.h"

#include "AttemptExchange.h"
#include "EntryHeaders.h"
#include "ProbeExchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

// Deadlines end before the head of a response; a body that has begun may stall forever.
constexpr Duration StallLimit = std::chrono::seconds{10};
// A wake-up that is still due after a tick is a probe permit that nothing uses at present.
constexpr Duration UnusedPermitCheck = std::chrono::milliseconds{10};

ResponseHead toResponseHead(const HttpResponseHead &head) {
  return {.HttpStatus = static_cast<int>(head.result_int()),
          .IsRefused = headerValue(head, RefusedHeader) == "1",
          .IsDependencyFailure = !headerValue(head, FailureHeader).empty(),
          .Load = LoadReport::fromHeader(headerValue(head, LoadHeader))};
}

} // namespace

ServiceRunner::ServiceRunner(TaskParts &parts, std::string name, std::uint64_t seed)
    : Parts(parts), Name(std::move(name)), Core(seed, parts.Clock.now()), Timer(parts.Executor) {}

void ServiceRunner::setCatalogue(const std::shared_ptr<const Catalogue> &catalogue,
                                 std::uint32_t service) {
  CurrentCatalogue = catalogue;
  const ServiceSpec &spec = catalogue->Services[service];
  ConnectionLimit = spec.ConnectionsPerUpstream / std::max(1, catalogue->Fleet.MaxEntryVms);
  Commands commands;
  Core.setCatalogue(catalogue, service, Parts.Clock.now(), commands);
  run(commands);
  applyUpstreams(Upstreams);
}

void ServiceRunner::setUpstreams(std::vector<UpstreamSpec> upstreams) {
  for (const UpstreamSpec &it : Upstreams)
    if (std::ranges::count(upstreams, it.Address, &UpstreamSpec::Address) == 0)
      Parts.Pools.retire(it.Address);
  Upstreams = std::move(upstreams);
  if (CurrentCatalogue)
    applyUpstreams(Upstreams);
}

void ServiceRunner::didRemove() {
  if (std::exchange(CurrentCatalogue, nullptr))
    applyUpstreams({});
}

void ServiceRunner::setLimitShare(std::uint32_t entry, const LimitShareChanged &share) {
  Commands commands;
  Core.setLimitShare(entry, share.CallsPerSecond, share.InFlight, share.Until, Parts.Clock.now(),
                     commands);
  run(commands);
}

void ServiceRunner::peerEvidence(std::span<const NamedEvidence> items) {
  const TimePoint now = Parts.Clock.now();
  Commands commands;
  for (const NamedEvidence &it : items)
    if (const auto index = IndexOfName.find(it.Upstream); index != IndexOfName.end())
      Core.peerEvidence({index->second, it.ObservedAt, it.Load}, now, commands);
  run(commands);
}

std::vector<NamedEvidence> ServiceRunner::freshEvidence() {
  std::vector<NamedEvidence> items;
  for (const UpstreamEvidence &it : Core.freshEvidence(Parts.Clock.now()))
    items.push_back(named(it));
  return items;
}

void ServiceRunner::didPause(TimePoint now) {
  Commands commands;
  Core.didPause(now, commands);
  run(commands);
}

void ServiceRunner::callArrived(const std::shared_ptr<ProxiedCall> &call) {
  Calls.emplace(call->Spec.Id, call);
  Commands commands;
  Core.callArrived(call->Spec, Parts.Clock.now(), commands);
  run(commands);
}

void ServiceRunner::callerLeft(CallId call) {
  ++Parts.Metrics.CallersLeft;
  Commands commands;
  Core.callerLeft(call, Parts.Clock.now(), commands);
  run(commands);
  // The dispatcher reports no failure of a call whose response was being relayed.
  execute(FailCall{call, {.Kind = FailureKind::CallerLeft, .Executed = Execution::Unknown}});
}

bool ServiceRunner::mayWrite(const std::shared_ptr<UpstreamAttempt> &attempt) {
  const AttemptId id = attempt->Command.Attempt;
  const TimePoint now = Parts.Clock.now();
  // Reading the clock may have noticed a pause, after which the dispatcher cancels attempts.
  if (attempt->IsCancelled)
    return false;
  Commands commands;
  const bool isAllowed = Core.mayWrite(id, now, commands);
  if (!isAllowed)
    Attempts.erase(id);
  else
    Parts.History.didDispatch(Name, Core.upstream(attempt->Command.Upstream).Name, *attempt->Owner,
                              id, now);
  run(commands);
  return isAllowed && !attempt->IsCancelled;
}

void ServiceRunner::responseStarted(const std::shared_ptr<UpstreamAttempt> &attempt) {
  Commands commands;
  Core.responseStarted(attempt->Command.Attempt, toResponseHead(*attempt->Response),
                       Parts.Clock.now(), commands);
  run(commands);
}

void ServiceRunner::responseFinished(const std::shared_ptr<UpstreamAttempt> &attempt) {
  Commands commands;
  Attempts.erase(attempt->Command.Attempt);
  if (attempt->IsRelayed)
    Calls.erase(attempt->Command.Call);
  Core.responseFinished(attempt->Command.Attempt, Parts.Clock.now(), commands);
  run(commands);
}

void ServiceRunner::attemptFailed(const std::shared_ptr<UpstreamAttempt> &attempt,
                                  FailureStage stage) {
  if (attempt->IsCancelled)
    return;
  Commands commands;
  Attempts.erase(attempt->Command.Attempt);
  Core.attemptFailed(attempt->Command.Attempt, stage, Parts.Clock.now(), commands);
  run(commands);
}

std::shared_ptr<UpstreamPool> ServiceRunner::poolOf(UpstreamIndex upstream) {
  return Parts.Pools.get(Core.upstream(upstream).Address, ConnectionLimit);
}

bool ServiceRunner::mayWriteProbe(const StartProbe &probe) {
  const TimePoint now = Parts.Clock.now();
  if (!Core.mayWriteProbe(probe.Probe, now))
    return false;
  Parts.History.didProbe(Name, Core.upstream(probe.Upstream).Name, now);
  return true;
}

void ServiceRunner::didWriteProbe(ProbeId probe) {
  ++Parts.Metrics.Probes;
  Core.didWriteProbe(probe, Parts.Clock.now());
}

void ServiceRunner::probeNotSent(const StartProbe &probe) {
  Parts.History.didProbe(Name, Core.upstream(probe.Upstream).Name, Parts.Clock.now());
  probeEnded(probe.Probe, std::nullopt);
}

void ServiceRunner::probeEnded(ProbeId probe, const std::optional<LoadReport> &report) {
  const TimePoint now = Parts.Clock.now();
  Commands commands;
  if (report)
    Core.probeAnswered(probe, *report, now, commands);
  else
    Core.probeFailed(probe, now, commands);
  run(commands);
}

void ServiceRunner::closeStalled(TimePoint now) {
  for (const auto &[id, attempt] : Attempts)
    if (attempt->ReadingSince && now - *attempt->ReadingSince > StallLimit)
      attempt->Connection->close();
}

void ServiceRunner::run(const Commands &commands) {
  Pending.insert(Pending.end(), commands.begin(), commands.end());
  // Executing a command may report an event at once, which brings further commands.
  if (std::exchange(IsRunning, true))
    return;
  while (!Pending.empty()) {
    const Command command = Pending.front();
    Pending.pop_front();
    std::visit([this](const auto &it) { execute(it); }, command);
  }
  IsRunning = false;
  armTimer();
}

void ServiceRunner::execute(const StartAttempt &command) {
  const auto call = Calls.find(command.Call);
  if (call == Calls.end())
    return;
  ++Parts.Metrics.Attempts;
  auto attempt = std::make_shared<UpstreamAttempt>(Parts.Executor, command, call->second);
  Attempts.emplace(command.Attempt, attempt);
  asio::co_spawn(Parts.Executor, exchangeAttempt(shared_from_this(), std::move(attempt)),
                 asio::detached);
}

void ServiceRunner::execute(const CancelAttempt &command) {
  const auto node = Attempts.extract(command.Attempt);
  if (!node.empty())
    node.mapped()->cancel();
}

void ServiceRunner::execute(const RelayResponse &command) {
  const auto attempt = Attempts.find(command.Attempt);
  if (attempt == Attempts.end())
    return;
  attempt->second->IsRelayed = true;
  attempt->second->Owner->post(RelayDecision{attempt->second, command.Executed});
}

void ServiceRunner::execute(const FailCall &command) {
  const auto node = Calls.extract(command.Call);
  if (!node.empty())
    node.mapped()->post(command.Reason);
}

void ServiceRunner::execute(const StartProbe &command) {
  asio::co_spawn(Parts.Executor, exchangeProbe(shared_from_this(), command), asio::detached);
}

void ServiceRunner::execute(const AnnounceUpstreamDrain &command) {
  const LoadReport draining{.State = UpstreamState::Draining};
  Parts.ToControl(LocalEvidence{{named({command.Upstream, Parts.Clock.now(), draining})}});
}

NamedEvidence ServiceRunner::named(const UpstreamEvidence &evidence) const {
  return {.Service = Name,
          .Upstream = Core.upstream(evidence.Upstream).Name,
          .ObservedAt = evidence.ObservedAt,
          .Load = evidence.Load};
}

void ServiceRunner::applyUpstreams(std::span<const UpstreamSpec> upstreams) {
  for (const UpstreamSpec &it : upstreams) {
    // Making the pools now lets them open a connection before the first call.
    Parts.Pools.get(it.Address, ConnectionLimit);
    Parts.Pools.setLimit(it.Address, ConnectionLimit);
  }
  const TimePoint now = Parts.Clock.now();
  Commands commands;
  Core.setUpstreams(upstreams, now, commands);
  // Evidence of a replaced upstream would be credited to its successor, so only the last one
  // counts.
  for (const UpstreamSnapshot &it : Core.state(now).Upstreams)
    IndexOfName.insert_or_assign(it.Name, it.Upstream);
  run(commands);
}

void ServiceRunner::armTimer() {
  const auto wakeup = Core.nextWakeup();
  // A timer that fires early costs one tick; moving it back on each event would cost more.
  if (!wakeup || *wakeup >= ArmedFor)
    return;
  const TimePoint now = Parts.Clock.now();
  ArmedFor = *wakeup > now ? *wakeup : now + UnusedPermitCheck;
  Timer.expires_at(ArmedFor);
  Timer.async_wait([self = weak_from_this()](const boost::system::error_code &ec) {
    const auto runner = self.lock();
    if (!ec && runner)
      runner->didWake();
  });
}

void ServiceRunner::didWake() {
  ArmedFor = TimePoint::max();
  Commands commands;
  Core.tick(Parts.Clock.now(), commands);
  run(commands);
}

} // namespace wigeonlift
