#pragma once

#include "FleetTask.h"
#include "Gateway.h"

#include <platform/Platform.h>

#include <LibFleet/LibFleet.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wigeonlift {

/// Keeps the replica of the store up to date, where other VMs don't do that for this one.
class StoreTask {
public:
  StoreTask(Gateway &gateway, FleetTask &fleet, std::uint64_t seed);

  void start();
  const platform::StoreCallCounts &calls() const { return Client.calls(); }

private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> waitForPeers();
  boost::asio::awaitable<void> perform(StoreCall call);
  boost::asio::awaitable<void> checkRevision(const StoreCall &call);
  boost::asio::awaitable<void> readAll(const StoreCall &call);
  boost::asio::awaitable<void> watch(const StoreCall &call);
  boost::asio::awaitable<void> pause(Duration span);
  void didFail(const absl::Status &status, std::string_view call);
  /// Logs when the store was lost or regained.
  void logConnection();

  Gateway &Owner;
  FleetTask &Peers;
  platform::StoreClient Client;
  StoreSync Sync;
  boost::asio::steady_timer Timer;
  bool WasLost = false;
  bool WasRecovering = false;
};

} // namespace wigeonlift
