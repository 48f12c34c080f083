#pragma once

#include "EntryDirectory.h"
#include "EntryUsage.h"
#include "RequestMatcher.h"
#include "ServiceRunner.h"
#include "TaskParts.h"
#include "TicketDesk.h"

#include <LibSettings/LibSettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace wigeonlift {

/// What the data task owns: the callers' port, the services with their dispatchers and the pools.
/// All of it is used on the thread of the io_context.
class DataPath {
public:
  DataPath(boost::asio::io_context &context, const EntrySettings &settings, BootId boot,
           std::function<void(ControlTaskMessage)> toControl);

  absl::Status start();
  std::uint16_t callersPort() const { return Server.port(); }
  void handle(DataTaskMessage message);
  /// Leaves the list of entry VMs, serves for the grace time, and calls back when all callers that
  /// came before its end have their answers.
  void stopGracefully(std::function<void()> done);

  // For the sessions of callers.
  TaskParts &parts() { return Parts; }
  const EntrySettings &settings() const { return Settings; }
  EntryDirectory &directory() { return Directory; }
  TicketDesk &tickets() { return Tickets; }
  EntryUsage &usage() { return Usage; }
  const std::shared_ptr<const Catalogue> &catalogue() const { return CurrentCatalogue; }
  bool isSynchronized() const { return IsSynchronized && CurrentCatalogue; }
  bool isLeaving() const { return IsLeaving; }
  /// The runner of a service of the catalogue in effect.
  std::shared_ptr<ServiceRunner> service(std::uint32_t index) const;
  CallId nextCallId() { return CallId{++LastCallId}; }

  // For the operator port.
  const std::map<std::string, std::shared_ptr<ServiceRunner>> &services() const { return Services; }
  int connections() const { return Server.connections(); }
  BootId boot() const { return Boot; }

private:
  void apply(const CatalogueChanged &message);
  void apply(const UpstreamsChanged &message);
  void apply(const EntryVmsChanged &message);
  void apply(const PeerEvidence &message);
  void apply(const LimitShareChanged &message);
  void apply(const Synchronized &message);

  std::shared_ptr<ServiceRunner> runner(const std::string &name);
  void didPause(TimePoint now, Duration pause);
  boost::asio::awaitable<void> reportRegularly();
  boost::asio::awaitable<void> maintainRegularly();
  boost::asio::awaitable<void> stop(std::function<void()> done);
  void report();

  boost::asio::io_context &Context;
  EntrySettings Settings;
  BootId Boot;
  TaskParts Parts;
  CallerServer Server;
  EntryDirectory Directory;
  TicketDesk Tickets;
  EntryUsage Usage;
  std::shared_ptr<const Catalogue> CurrentCatalogue;
  std::map<std::string, std::shared_ptr<ServiceRunner>> Services;
  std::uint64_t LastCallId = 0;
  bool IsSynchronized = false;
  bool IsLeaving = false;
};

} // namespace wigeonlift
