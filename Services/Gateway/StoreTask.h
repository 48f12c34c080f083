#pragma once

#include "Gateway.h"

#include <platform/Platform.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wigeonlift {

/// Keeps the replica of the store up to date.
class StoreTask {
public:
  StoreTask(Gateway &gateway, std::uint64_t seed);

  void start();
  const StoreReplica &replica() const { return Replica; }
  const platform::StoreCalls &calls() const { return Client.calls(); }

private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<bool> readAll();
  boost::asio::awaitable<bool> watch();
  boost::asio::awaitable<void> pause(Duration span);
  void didRead(const StoreDelta &delta);
  void didFail(const absl::Status &status, std::string_view what);

  Gateway &Owner;
  platform::StoreClient Client;
  StoreReplica Replica;
  Random Rng;
  boost::asio::steady_timer Timer;
  bool MustReadAll = true;
  bool IsLost = false;
  int Failures = 0;
};

} // namespace wigeonlift
