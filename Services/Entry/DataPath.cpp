#include "DataPath.h"

#include "CallerSession.h"

#include <LibTelemetry/LibTelemetry.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <cstring>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
// Two readings of the clock within each span that counts as a pause would be enough; four leave
// room for a busy thread.
constexpr auto ReportInterval = std::chrono::milliseconds{500};
constexpr auto MaintenanceInterval = std::chrono::seconds{1};
constexpr auto StopCheckInterval = std::chrono::milliseconds{50};
// Covers a request that is on its way when the grace time ends.
constexpr Duration StopIdle = std::chrono::seconds{1};

std::uint64_t seedOf(const BootId &boot) {
  std::uint64_t seed = 0;
  std::memcpy(&seed, boot.Bytes.data(), sizeof seed);
  return seed;
}

} // namespace

DataPath::DataPath(asio::io_context &context, const EntrySettings &settings, BootId boot,
                   std::function<void(ControlTaskMessage)> toControl)
    : Context(context), Settings(settings),
      Boot(boot), Parts{.Executor = context.get_executor(),
                        .Clock = TaskClock{[this](TimePoint now, Duration span) {
                          didPause(now, span);
                        }},
                        .Pools = PoolSet{context.get_executor()},
                        .Metrics = {},
                        .History = {},
                        .ToControl = std::move(toControl)},
      Server(context,
             [this](std::shared_ptr<CallerConnection> caller) -> asio::awaitable<void> {
               CallerSession session{*this, std::move(caller)};
               co_await session.run();
             }),
      Directory(settings.Name),
      Tickets(context.get_executor(), boot, static_cast<std::size_t>(settings.TicketCapacity),
              settings.TicketLifetime),
      Usage(Parts.Clock.now()) {}

absl::Status DataPath::start() {
  const auto endpoint = parseEndpoint(Settings.CallersAddress);
  if (!endpoint)
    return absl::InvalidArgumentError("callers_address is no valid address");
  absl::Status status = Parts.History.open(Settings);
  if (status.ok())
    status = Server.start(*endpoint);
  if (!status.ok())
    return status;
  asio::co_spawn(Context, reportRegularly(), asio::detached);
  asio::co_spawn(Context, maintainRegularly(), asio::detached);
  return absl::OkStatus();
}

void DataPath::handle(DataTaskMessage message) {
  std::visit([this](const auto &it) { apply(it); }, message);
}

void DataPath::stopGracefully(std::function<void()> done) {
  if (std::exchange(IsLeaving, true))
    return;
  Directory.didLeave();
  Parts.History.didStop(Phase::Begun);
  Parts.ToControl(Leaving{});
  asio::co_spawn(Context, stop(std::move(done)), asio::detached);
}

std::shared_ptr<ServiceRunner> DataPath::service(std::uint32_t index) const {
  return Services.at(CurrentCatalogue->Services[index].Name);
}

void DataPath::apply(const CatalogueChanged &message) {
  CurrentCatalogue = message.Value;
  Parts.History.didAccept(*CurrentCatalogue);
  for (std::uint32_t n = 0; n < CurrentCatalogue->Services.size(); ++n)
    runner(CurrentCatalogue->Services[n].Name)->setCatalogue(CurrentCatalogue, n);
  for (const auto &[name, runner] : Services)
    if (!CurrentCatalogue->service(name))
      runner->didRemove();
  Parts.History.didApply(*CurrentCatalogue);
}

void DataPath::apply(const UpstreamsChanged &message) {
  runner(message.Service)->setUpstreams(message.Upstreams);
}

void DataPath::apply(const EntryVmsChanged &message) { Directory.setVms(message.Vms); }

void DataPath::apply(const PeerEvidence &message) {
  for (const NamedEvidence &it : message.Items)
    if (const auto service = Services.find(it.Service); service != Services.end())
      service->second->peerEvidence({&it, 1});
}

void DataPath::apply(const LimitShareChanged &message) {
  if (!CurrentCatalogue)
    return;
  const auto &entries = CurrentCatalogue->Entries;
  for (std::uint32_t n = 0; n < entries.size(); ++n)
    if (entries[n].Name == message.Entry)
      service(entries[n].Service)->setLimitShare(n, message);
  Parts.ToControl(LimitShareApplied{message, Usage.inFlight(message.Entry)});
}

void DataPath::apply(const Synchronized &) { IsSynchronized = true; }

std::shared_ptr<ServiceRunner> DataPath::runner(const std::string &name) {
  auto &runner = Services[name];
  if (!runner)
    runner =
        std::make_shared<ServiceRunner>(Parts, name, seedOf(Boot) ^ std::hash<std::string>{}(name));
  return runner;
}

void DataPath::didPause(TimePoint now, Duration pause) {
  ++Parts.Metrics.Pauses;
  Parts.ToControl(Paused{pause});
  log(LogLevel::Warn, "the process was paused",
      {{"pause_ms", fmt::format("{}", toMilliseconds(pause))}});
  for (const auto &[name, runner] : Services)
    runner->didPause(now);
}

asio::awaitable<void> DataPath::reportRegularly() {
  asio::steady_timer timer{Context};
  while (true) {
    timer.expires_after(ReportInterval);
    co_await timer.async_wait(Completion);
    report();
  }
}

asio::awaitable<void> DataPath::maintainRegularly() {
  asio::steady_timer timer{Context};
  while (true) {
    const TimePoint now = Parts.Clock.now();
    Server.closeExpired(now);
    for (const auto &[name, runner] : Services)
      runner->closeStalled(now);
    Parts.Pools.maintain(now);
    Tickets.expire(now);
    timer.expires_after(MaintenanceInterval);
    co_await timer.async_wait(Completion);
  }
}

asio::awaitable<void> DataPath::stop(std::function<void()> done) {
  asio::steady_timer timer{Context};
  timer.expires_after(Settings.StopGrace);
  co_await timer.async_wait(Completion);
  Server.stopAccepting();
  while (Server.connections() > 0 || Usage.calls() > 0) {
    timer.expires_after(StopCheckInterval);
    co_await timer.async_wait(Completion);
    Server.closeIdleSince(Parts.Clock.now() - StopIdle);
  }
  Parts.History.didStop(Phase::Ended);
  done();
}

void DataPath::report() {
  LocalEvidence evidence;
  for (const auto &[name, runner] : Services)
    std::ranges::move(runner->freshEvidence(), std::back_inserter(evidence.Items));
  if (!evidence.Items.empty())
    Parts.ToControl(std::move(evidence));
  Parts.ToControl(LocalLoad{.Callers = Server.connections(), .Calls = Usage.calls()});
  for (const auto &[name, runner] : Services)
    for (const EntrySnapshot &it : runner->entries())
      Usage.setWaiting(it.Name, it.WaitingForRate);
  for (LimitDemand &it : Usage.takeDemands(Parts.Clock.now()))
    Parts.ToControl(std::move(it));
}

} // namespace wigeonlift
