#include "Daemon.h"

#include "KeepRunning.h"

#include <platform/Platform.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <csignal>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr auto MaintenanceInterval = std::chrono::seconds{1};
constexpr auto StopCheckInterval = std::chrono::milliseconds{50};
// Answers that are on their way when the listener closes.
constexpr Duration StopIdle = std::chrono::milliseconds{300};
constexpr std::uint16_t MetricsPort = 9464;

} // namespace

Daemon::Daemon(const GatewaySettings &settings, std::string settingsFile, EventLog &log,
               std::uint64_t seed)
    : SettingsFile(std::move(settingsFile)), Log(log), Core(Context, settings, log, seed),
      Peers(Core, seed), Store(Core, Peers, seed),
      Callers(Context,
              [this](std::shared_ptr<CallerConnection> caller) -> asio::awaitable<void> {
                CallerSession session{Core, std::move(caller)};
                co_await session.run();
              }),
      Readiness(Context, readinessHandler(Core)),
      Directory(Context, directoryHandler(Core,
                                          [this](std::string_view dataCentre) {
                                            return Peers.callersAddresses(dataCentre);
                                          })),
      Operator(Context, operatorHandler(Core, Peers, Store)), Signals(Context, SIGTERM, SIGHUP) {
  Signals.add(SIGINT);
  SettingsText = readFile(SettingsFile).value_or("");
}

absl::Status Daemon::start() {
  const GatewaySettings &settings = Core.settings();
  const auto bind = [&](auto &server, const std::string &address) -> absl::Status {
    return address.empty() ? absl::OkStatus() : server.start(*parseEndpoint(address));
  };
  absl::Status status = bind(Callers, settings.CallersAddress);
  if (status.ok())
    status = bind(Readiness, settings.ReadinessAddress);
  if (status.ok())
    status = bind(Directory, settings.DirectoryAddress);
  if (status.ok())
    status = bind(Operator, fmt::format("{}:{}", settings.Ip, MetricsPort));
  if (status.ok())
    status = Peers.start();
  if (!status.ok())
    return status;
  Store.start();
  keepRunning(Context, Log, "signals", [this] { return waitForSignals(); });
  keepRunning(Context, Log, "maintenance", [this] { return maintainRegularly(); });
  Log.write(EventLog::Priority::Important, "started",
            {{"dc", settings.DataCentre}, {"callers", settings.CallersAddress}});
  Log.flush();
  return absl::OkStatus();
}

void Daemon::run() {
  runContext(Context, Log);
  Log.write(EventLog::Priority::Important, "stopped", {});
  Log.flush();
}

asio::awaitable<void> Daemon::waitForSignals() {
  while (true) {
    const auto [ec, number] = co_await Signals.async_wait(Completion);
    if (ec)
      co_return;
    if (number == SIGHUP) {
      reload();
      continue;
    }
    if (!Core.isStopping())
      keepRunning(Context, Log, "stop", [this] { return stop(); });
  }
}

asio::awaitable<void> Daemon::maintainRegularly() {
  asio::steady_timer timer{Context};
  while (true) {
    timer.expires_after(MaintenanceInterval);
    co_await timer.async_wait(Completion);
    const TimePoint now = bootTimeNow();
    Callers.closeExpired(now);
    Core.maintain(now);
    reload();
  }
}

asio::awaitable<void> Daemon::stop() {
  Core.beginStop(bootTimeNow());
  Peers.stop();
  Log.write(EventLog::Priority::Important, "stopping",
            {{"connections", fmt::format("{}", Callers.connections())}});
  Log.flush();
  asio::steady_timer timer{Context};
  timer.expires_after(Core.stopPlan().refuseFrom() - bootTimeNow());
  co_await timer.async_wait(Completion);
  Callers.stopAccepting();
  while (mayServeOn(bootTimeNow())) {
    timer.expires_after(StopCheckInterval);
    co_await timer.async_wait(Completion);
    Callers.closeIdleSince(bootTimeNow() - StopIdle);
  }
  Log.write(EventLog::Priority::Important, "stop_ends",
            {{"connections", fmt::format("{}", Callers.connections())},
             {"busy", Callers.isBusy() ? "1" : "0"}});
  Context.stop();
}

bool Daemon::mayServeOn(TimePoint now) const {
  const StopPlan &plan = Core.stopPlan();
  return Callers.connections() > 0 &&
         (now < plan.end() || (Callers.isBusy() && now < plan.lastEnd()));
}

void Daemon::reload() {
  const auto text = readFile(SettingsFile);
  if (!text || *text == SettingsText)
    return;
  SettingsText = *text;
  const auto settings = platform::decodeNodeFile(*text);
  if (!settings.ok()) {
    Log.write(EventLog::Priority::Important, "settings_rejected",
              {{"why", std::string{settings.status().message()}}});
    return;
  }
  Core.setSettings(*settings);
  Log.write(EventLog::Priority::Important, "settings_taken", {});
}

} // namespace wigeonlift
