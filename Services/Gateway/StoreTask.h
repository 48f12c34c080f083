#pragma once

#include "FleetTask.h"
#include "Gateway.h"

#include <platform/Platform.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wigeonlift {

/// Keeps the replica of the store up to date, where other VMs don't do that for this one.
class StoreTask {
public:
  StoreTask(Gateway &gateway, FleetTask &fleet, std::uint64_t seed);

  void start();
  const platform::StoreCalls &calls() const { return Client.calls(); }

private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> waitForPeers();
  boost::asio::awaitable<bool> readAll();
  boost::asio::awaitable<bool> watch();
  boost::asio::awaitable<void> pause(Duration span);
  void didRead(const StoreDelta &delta, StoreRevision after);
  void didFail(const absl::Status &status, std::string_view what);

  Gateway &Owner;
  FleetTask &Peers;
  platform::StoreClient Client;
  Random Rng;
  boost::asio::steady_timer Timer;
  bool MustReadAll = true;
  bool IsLost = false;
  TimePoint RegainedAt{};
  TimePoint FailedAt{};
  int Failures = 0;
};

} // namespace wigeonlift
