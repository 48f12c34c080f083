#pragma once

#include "ControlDump.h"
#include "ListPublisher.h"

#include <LibMembership/LibMembership.h>
#include <LibPlatform/LibPlatform.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <vector>

namespace wigeonlift {

/// Reads the platform's VM list when it is due, hands it to the fleet core, and publishes the rows
/// that the core knows by its own reads and from peers.
class ListReader {
public:
  /// Runs a step of the fleet core and does what it asks for.
  using Runner = std::function<void(const std::function<void(TimePoint, FleetOutput &)> &)>;

  ListReader(boost::asio::io_context &context, FleetNode &node, PlatformState &platform,
             std::function<void(DataTaskMessage)> toData, Runner runner, std::uint64_t seed,
             bool hasSeeds);

  /// Reads the list for ever.
  boost::asio::awaitable<void> loop(boost::asio::ip::tcp::endpoint endpoint);
  /// To be called after each step of the fleet core with its events. Publishes changed rows, and
  /// reads soon after a pause.
  void didStep(const std::vector<FleetEvent> &events);

private:
  boost::asio::awaitable<void> readOnce(VmListClient &client);
  std::size_t fleetSize() const;
  void publish();

  boost::asio::io_context &Context;
  FleetNode &Node;
  PlatformState &Platform;
  ListPublisher Publisher;
  Runner Run;
  ListSchedule Schedule;
  std::uint64_t PublishedRevision = 0;
  std::size_t ListedEntryVms = 0;
  bool IsReachable = true;
};

} // namespace wigeonlift
