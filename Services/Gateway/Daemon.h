#pragma once

#include "CallerSession.h"
#include "FleetTask.h"
#include "Gateway.h"
#include "Ports.h"
#include "StoreTask.h"

#include <boost/asio/signal_set.hpp>

#include <memory>
#include <string>

namespace wigeonlift {

/// One gateway process: its ports, its tasks and its life from start to stop.
class Daemon {
public:
  Daemon(const GatewaySettings &settings, std::string settingsFile, EventLog &log,
         std::uint64_t seed);

  /// Binds the ports. Fails with kUnavailable when one can't be bound.
  absl::Status start();
  /// Serves until it is told to stop and all work is done.
  void run();

private:
  boost::asio::awaitable<void> waitForSignals();
  boost::asio::awaitable<void> maintainRegularly();
  boost::asio::awaitable<void> stop();
  /// Whether a stopping process still has callers to serve, and time for it.
  bool mayServeOn(TimePoint now) const;
  void reload();

  boost::asio::io_context Context{1};
  std::string SettingsFile;
  std::string SettingsText;
  EventLog &Log;
  Gateway Core;
  FleetTask Peers;
  StoreTask Store;
  CallerServer Callers;
  HttpServer Readiness;
  HttpServer Directory;
  HttpServer Operator;
  boost::asio::signal_set Signals;
};

} // namespace wigeonlift
