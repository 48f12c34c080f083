#pragma once

#include "CatalogueReading.h"
#include "ControlDump.h"
#include "FleetEventHandler.h"
#include "ListReader.h"
#include "TaskMessages.h"

#include <LibMembership/LibMembership.h>
#include <LibPlatform/LibPlatform.h>
#include <LibSettings/LibSettings.h>
#include <LibWire/LibWire.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>

namespace wigeonlift {

/// The work of the control task on its thread: it connects the fleet core with the peers, the
/// platform and the data task.
class ControlLoop {
public:
  ControlLoop(boost::asio::io_context &context, EntrySettings settings, BootId boot,
              std::function<void(DataTaskMessage)> toData);

  absl::Status start();
  void handle(const ControlTaskMessage &message);
  std::string dump() const;

private:
  boost::asio::awaitable<void> peerLoop();
  boost::asio::awaitable<void> watchLoop();
  boost::asio::awaitable<void> watchOnce();
  boost::asio::awaitable<void> sleep(Duration span);

  void tick(TimePoint now);
  /// Runs a step of the fleet core and does what it asks for.
  template <typename Step> void run(Step step);
  void didReadConfiguration(const absl::StatusOr<std::string> &document);
  void publishEntryVms();

  void take(const LocalEvidence &message);
  void take(const LocalLoad &message);
  void take(const LimitDemand &message);
  void take(const LimitShareApplied &message);
  void take(const Paused &message);
  void take(const Leaving &message);

  boost::asio::io_context &Context;
  EntrySettings Settings;
  std::function<void(DataTaskMessage)> ToData;
  FleetNode Node;
  PeerTransport Transport;
  FleetEventHandler Events;
  PlatformState Platform;
  ListReader Lists;
  BootId Boot;
  std::optional<CatalogueReading> Reading;
  bool ServiceIsReachable = true;
  int OwnLoad = 0;
  std::vector<EntryVm> PublishedVms;
  TimePoint NextTickAt{};
  TimePoint NextPublishAt{};
};

} // namespace wigeonlift
