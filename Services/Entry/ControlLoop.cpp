#include "ControlLoop.h"

#include "Reachability.h"

#include <LibHttp/LibHttp.h>
#include <LibTelemetry/LibTelemetry.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr Duration PollInterval = std::chrono::milliseconds{20};
constexpr Duration TickInterval = std::chrono::milliseconds{100};
constexpr Duration PublishInterval = std::chrono::seconds{1};
constexpr Duration ReaderCheckInterval = std::chrono::milliseconds{200};

TimePoint currentTime() { return TimePoint::clock::now(); }

FleetNodeConfig nodeConfig(const EntrySettings &settings, const BootId &boot) {
  const MemberUpdate self{{settings.Name, boot, 0}, MemberState::Alive,  settings.PeerAddress,
                          settings.CallersAddress,  settings.DataCentre, settings.Region};
  return {self, settings.SeedPeers, prefixOf(boot)};
}

bool isSameVm(const EntryVm &left, const EntryVm &right) {
  return left.Name == right.Name && left.Boot == right.Boot && left.Address == right.Address &&
         left.DataCentre == right.DataCentre && left.Load == right.Load;
}

} // namespace

ControlLoop::ControlLoop(asio::io_context &context, EntrySettings settings, BootId boot,
                         std::function<void(DataTaskMessage)> toData)
    : Context(context), Settings(std::move(settings)), ToData(std::move(toData)),
      Node(nodeConfig(Settings, boot), currentTime()), Transport(Settings.Keys), Events(ToData),
      Lists(
          Context, Node, Platform, ToData, [this](const auto &step) { run(step); }, prefixOf(boot),
          !Settings.SeedPeers.empty()),
      Boot(boot) {}

absl::Status ControlLoop::start() {
  const auto configuration = parseEndpoint(Settings.ConfigurationAddress);
  const auto list = parseEndpoint(Settings.VmListAddress);
  if (!configuration || !list)
    return absl::InvalidArgumentError("a platform address is not IP:PORT");
  Reading.emplace(
      ConfigurationClient{*configuration}, Platform, [this] { return Node.catalogue().inForce(); },
      prefixOf(Boot));
  const bool hasRelay = !Settings.PeerListenAddress.empty();
  const std::string &listenAddress = hasRelay ? Settings.PeerListenAddress : Settings.PeerAddress;
  if (absl::Status status = Transport.start(listenAddress); !status.ok())
    return status;
  asio::co_spawn(Context, peerLoop(), asio::detached);
  asio::co_spawn(Context, watchLoop(), asio::detached);
  asio::co_spawn(Context, Lists.loop(*list), asio::detached);
  return absl::OkStatus();
}

template <typename Step> void ControlLoop::run(Step step) {
  const TimePoint now = currentTime();
  FleetOutput output;
  step(now, output);
  for (const OutgoingMessage &it : output.Messages)
    Transport.send(it.To, it.Message, now);
  Events.handle(output.Events);
  Lists.didStep(output.Events);
}

asio::awaitable<void> ControlLoop::sleep(Duration span) {
  asio::steady_timer timer{Context, span};
  co_await timer.async_wait(Completion);
}

asio::awaitable<void> ControlLoop::peerLoop() {
  while (true) {
    Transport.poll(currentTime(), [this](const PeerMessage &message, const PeerRoute &from) {
      run([&](TimePoint now, FleetOutput &output) { Node.receive(message, from, now, output); });
    });
    if (const TimePoint now = currentTime(); now >= NextTickAt)
      tick(now);
    co_await sleep(PollInterval);
  }
}

void ControlLoop::tick(TimePoint now) {
  NextTickAt = now + TickInterval;
  if (Reading->isConnected())
    Node.didReachService(now);
  run([this](TimePoint at, FleetOutput &output) { Node.tick(at, output); });
  if (now < NextPublishAt)
    return;
  NextPublishAt = now + PublishInterval;
  publishEntryVms();
}

asio::awaitable<void> ControlLoop::watchLoop() {
  // Every VM reads once when it starts.
  co_await watchOnce();
  while (true) {
    if (Node.isReader() || Node.mustStandIn(currentTime())) {
      co_await watchOnce();
      continue;
    }
    Reading->forgetRoot();
    co_await sleep(ReaderCheckInterval);
  }
}

asio::awaitable<void> ControlLoop::watchOnce() { didReadConfiguration(co_await Reading->next()); }

void ControlLoop::didReadConfiguration(const absl::StatusOr<std::string> &document) {
  logReachability("configuration service", document.status(), ServiceIsReachable);
  if (!document.ok()) {
    Node.didFailToReadService();
    return;
  }
  run([&](TimePoint now, FleetOutput &output) { Node.didReadService(*document, now, output); });
}

void ControlLoop::publishEntryVms() {
  std::vector<EntryVm> vms;
  if (Node.table().self().State != MemberState::Left)
    vms.push_back({Settings.Name, Boot, Settings.CallersAddress, Settings.DataCentre, OwnLoad});
  for (const auto &[name, member] : Node.table().members())
    if (member.isUsable() && member.HasBoot)
      vms.push_back({name, member.Info.Id.Boot, member.Info.CallersAddress, member.Info.DataCentre,
                     member.Load});
  if (std::ranges::equal(vms, PublishedVms, isSameVm))
    return;
  PublishedVms = vms;
  ToData(EntryVmsChanged{std::move(vms)});
}

void ControlLoop::handle(const ControlTaskMessage &message) {
  std::visit([this](const auto &it) { take(it); }, message);
}

void ControlLoop::take(const LocalEvidence &message) {
  std::vector<OwnEvidence> evidence;
  for (const NamedEvidence &it : message.Items)
    evidence.push_back({it.Service, it.Upstream, it.ObservedAt, it.Load});
  run([&](TimePoint now, FleetOutput &output) { Node.didObserve(evidence, now, output); });
}

void ControlLoop::take(const LocalLoad &message) {
  OwnLoad = message.Callers + message.Calls;
  run([this](TimePoint now, FleetOutput &output) { Node.didReportLoad(OwnLoad, now, output); });
}

void ControlLoop::take(const LimitDemand &message) {
  const ShareDemand demand{
      message.Entry, {message.CallsPerSecond, message.InFlight}, message.Refused, message.Waiting};
  run([&](TimePoint now, FleetOutput &output) { Node.didUseShare(demand, now, output); });
}

void ControlLoop::take(const LimitShareApplied &message) {
  const LimitShareChanged &it = message.Share;
  const ShareChanged share{it.Entry, it.CallsPerSecond, it.InFlight, it.Until};
  run([&](TimePoint now, FleetOutput &output) {
    Node.didApplyShare(share, message.InFlight, now, output);
  });
}

// The fleet core notices the gap since its last tick, and acts on it before anything else.
void ControlLoop::take(const Paused &) { tick(currentTime()); }

void ControlLoop::take(const Leaving &) {
  log(LogLevel::Info, "leaving the fleet");
  run([this](TimePoint now, FleetOutput &output) { Node.leave(now, output); });
  publishEntryVms();
}

std::string ControlLoop::dump() const {
  return dumpControl(Node, Transport, Platform, currentTime());
}

} // namespace wigeonlift
