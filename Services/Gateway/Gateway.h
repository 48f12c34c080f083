#pragma once

#include "BodyMemory.h"
#include "CallerWait.h"
#include "RequestLog.h"
#include "ServiceTask.h"
#include "StartPlan.h"
#include "StopPlan.h"

#include <LibDiscovery/LibDiscovery.h>
#include <LibHttp/LibHttp.h>
#include <LibRoutes/LibRoutes.h>
#include <LibSettings/LibSettings.h>
#include <LibTelemetry/LibTelemetry.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace wigeonlift {

/// A text with the era, since `1.10` and `1.1` are the same number. A plain number in era 0.
inline LogField revisionField(std::string_view name, StoreRevision revision) {
  return {.Name = name, .Value = revision.text(), .IsText = revision.Era > 0};
}

/// Counts of answers, for metrics.
struct GatewayCounts {
  std::uint64_t Relayed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Rejected = 0;
  std::uint64_t CallersLeft = 0;
  std::uint64_t BrokenAnswers = 0;
  LatencyHistogram Latency;
};

/// Fractions of what all VMs of the fleet have together.
struct FleetShares {
  /// Of the allowance of repeats. Zero while this VM doesn't know the others.
  double OfRepeats = 0;
  /// Of the requests, an estimate that is never zero.
  double OfRequests = 0.05;
  bool operator==(const FleetShares &) const = default;
};

/// What one gateway process knows and serves: the configuration in force, the upstreams, and a task
/// for each service. All of it is used on one thread.
class Gateway {
public:
  Gateway(boost::asio::io_context &context, const GatewaySettings &settings, EventLog &log,
          std::uint64_t seed);

  /// Takes over keys of the store that have changed. If `removals` are of the kind `StoreRestored`,
  /// all changes are those of a store that was restored from an older copy.
  void didLearn(std::span<const StoreItem> changes, std::string_view source,
                const EntryRemoval &removals);
  void setSettings(const GatewaySettings &settings);
  /// Sets this VM's fractions of the fleet's traffic and allowances.
  void setShares(const FleetShares &shares);
  const FleetShares &shares() const { return Fractions; }
  /// Sets which shares of the rate limits of upstreams this VM holds.
  void setShareAssignment(ShareAssignment assignment);
  /// Sets which shares of the rates of cold upstreams this VM holds.
  void setWarmupAssignment(ShareAssignment assignment);
  /// The services that are short of room at this VM. Logs when one becomes short or recovers.
  std::vector<ServiceShortage> shortages(TimePoint now);
  /// Another VM named all services that are short of room there.
  void didHearShortages(std::uint32_t vm, std::span<const ServiceShortage> shortages,
                        TimePoint now);
  /// Begins a graceful stop. Requests that wait anywhere in this process are answered in its time.
  void beginStop(TimePoint now);
  /// Notices pauses of the process, drops what has expired and closes idle connections.
  void maintain(TimePoint now);

  const GatewaySettings &settings() const { return Settings; }
  bool isReady() const { return Plans.current() && !isStopping(); }
  bool isStopping() const { return Stop.isStopping(); }
  const StopPlan &stopPlan() const { return Stop; }
  const RouteTableStore &plans() const { return Plans; }
  const StartPlan &startPlan() const { return Begin; }
  /// Returns when a configuration is known, at the end of the wait, or when this VM stops.
  boost::asio::awaitable<void> awaitConfiguration(TimePoint end);
  /// Null when the service has never been named by a configuration.
  std::shared_ptr<ServiceTask> service(const std::string &name) const;
  /// The service that takes the next call of a route.
  std::string partFor(const Route &route);
  CallerWait &callerWait() { return CallersWaited; }
  std::uint32_t kindOf(const Route &route);
  CallId nextCallId() { return CallId{++LastCall}; }
  EventLog &eventLog() { return Log; }
  RequestLog &log() { return Requests; }
  GatewayCounts &counts() { return Counts; }
  BodyMemory &bodyMemory() { return Bodies; }
  /// Memory for answers, until their callers have taken them.
  BodyMemory &heldAnswerMemory() { return HeldAnswers; }
  boost::asio::io_context &context() { return Context; }
  const std::map<std::string, std::shared_ptr<ServiceTask>> &services() const { return Services; }
  const UpstreamList &upstreams() const { return Upstreams; }
  const EvacuatedDataCentres &evacuated() const { return Evacuated; }

private:
  void didLearnPlan(const StoreItem &item, std::string_view source);
  /// Returns whether the upstreams of a service changed. `hasChangedWarmup` is set when one became
  /// cold or warm.
  bool didLearnUpstream(const StoreItem &item, std::string_view id, const EntryRemoval &removal,
                        TimePoint now, bool &hasChangedWarmup);
  /// Returns whether the upstreams that may get new requests have changed.
  bool didLearnEvacuation(const StoreItem &item, const EntryRemoval &removal, TimePoint now);
  void refreshServices();
  /// Gives the service the upstreams that may get new requests.
  void refreshUpstreams(ServiceTask &task);
  std::shared_ptr<ServiceTask> makeService(const std::string &name);
  /// Drops upstreams, and ends evacuations that a restored store lacks, right when their grace
  /// period is over.
  void armRemovalTimer();
  void shareBudgets();
  /// Limits the requests to cold upstreams as the configuration and the settings say.
  void limitWarmups();
  void logFigures(const ServiceTask &task, TimePoint now);

  boost::asio::io_context &Context;
  GatewaySettings Settings;
  EventLog &Log;
  RequestLog Requests;
  std::uint64_t Seed;
  Random Rng;
  RouteTableStore Plans;
  UpstreamList Upstreams;
  EvacuatedDataCentres Evacuated;
  std::map<std::string, std::shared_ptr<ServiceTask>> Services;
  std::map<std::string, WeightedRoundRobin, std::less<>> Splits;
  CallerWait CallersWaited;
  std::map<std::string, std::uint32_t, std::less<>> Kinds;
  GatewayCounts Counts;
  BodyMemory Bodies;
  BodyMemory HeldAnswers;
  std::uint64_t LastCall = 0;
  FleetShares Fractions;
  ShareAssignment LimitShares = ShareAssignment::withoutShares();
  bool HasSeenConfiguration = false;
  /// Whether upstreams are learnt that the first copy of the store names.
  bool IsLoading = false;
  ShareAssignment WarmupShares = ShareAssignment::withoutShares();
  StartPlan Begin;
  StopPlan Stop;
  boost::asio::steady_timer RemovalTimer;
  TimePoint MaintainedAt{};
  TimePoint FiguresAt{};
};

} // namespace wigeonlift
