#pragma once

#include "ProxiedRequest.h"
#include "RequestLog.h"

#include <LibBalance/LibBalance.h>
#include <LibDiscovery/LibDiscovery.h>
#include <LibHttp/LibHttp.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace wigeonlift {

/// An upstream that this process has worked with, and the connections to it.
struct KnownUpstream {
  UpstreamRecord Record;
  UpstreamIndex Index;
  /// Identifies this incarnation of the upstream in the same way on all VMs.
  std::uint64_t FleetKey = 0;
  /// According to its entry.
  /// Until when the balancer expects the upstream to be slow.
  TimePoint WarmupEndsAt{};
  /// Until when the upstream is cold according to its entry.
  TimePoint EntryWarmupEndsAt{};
  std::shared_ptr<UpstreamPool> Pool;
};

/// An attempt that is being sent or answered.
struct RunningAttempt {
  AttemptId Id;
  std::shared_ptr<ProxiedRequest> Request;
  std::shared_ptr<const KnownUpstream> Upstream;
  std::shared_ptr<PoolWait> Wait;
  std::shared_ptr<ConnectionLease> Connection;
  bool IsAbandoned = false;
};

/// Runs the commands of one service's balancer: owns the connections to the upstreams, the attempts
/// and the timer. All of it is used on one thread.
class ServiceTask : public std::enable_shared_from_this<ServiceTask> {
public:
  ServiceTask(boost::asio::io_context &context, std::string name, std::string dataCentre,
              std::uint64_t seed, RequestLog log);

  const std::string &name() const { return Name; }
  /// Sets the upstreams that may get new requests. `waiting` says what happens to requests that
  /// wait for others.
  void setUpstreams(const std::vector<UpstreamRecord> &records, WaitingRequests waiting);
  void setPlan(const std::string &healthPath, int maxConnections);
  /// Whether the decisions of docs/design/priority-admission.md apply to the service.
  void setOverloadControl(bool isEnabled) { Balancer.setOverloadControl(isEnabled); }
  void setRetryBudget(double ratio, double allowance, Duration window);
  void setProbeRate(double probesPerSecond);
  /// The part of the fleet's requests that this VM gets, from 0 to 1.
  void setRequestShare(double share);
  void setShareAssignment(const ShareAssignment &assignment);
  /// Which shares of the rates of cold upstreams this VM holds.
  void setWarmupAssignment(const ShareAssignment &assignment);
  /// Limits the requests to each cold upstream; a rate of 0 ends that.
  void setWarmup(double requestsPerSecond, const WarmupBounds &bounds);
  /// The entry of an upstream was written. Takes over what it says about the warm-up of a known
  /// upstream. Returns whether the subset has to be chosen again.
  bool didWriteWarmup(const UpstreamRecord &record);
  /// Chooses the upstreams that this VM works with, as after changes that have no effect by
  /// themselves.
  void useSubset();
  /// The most urgent requests that lack room at this VM, if any. Logs when the service becomes
  /// short and when it has recovered.
  std::optional<Shortage> checkShortage(TimePoint now);
  /// Another VM said whether requests of the service lack room there.
  void didHearShortage(std::uint32_t vm, const std::optional<Shortage> &shortage, TimePoint now);
  /// Sets when all requests must have been answered, those that are in progress and later ones.
  void setLatestDeadline(TimePoint latest);

  void requestArrived(std::shared_ptr<ProxiedRequest> request);
  void callerLeft(CallId id);
  void didPause();
  /// Closes connections that have been idle for long.
  void maintain(TimePoint now);

  // For the coroutines that carry attempts and probes.
  bool maySend(const RunningAttempt &attempt);
  ResponseAction didAnswer(const RunningAttempt &attempt, const ResponseInfo &facts);
  void attemptFailed(const RunningAttempt &attempt, AttemptStage stage, std::string_view what);
  /// The upstream has taken a large body, or its request has ended.
  void bodyTaken(const KnownUpstream &upstream);
  /// The head of any response arrived that is certainly the upstream's own.
  void didReadHead(const KnownUpstream &upstream, const HttpResponseHead &head);
  /// The same for the answer to a health check that was sent at `askedAt`. Called before the answer
  /// can cause requests to be sent.
  void didReadHealthHead(const KnownUpstream &upstream, const HttpResponseHead &head,
                         TimePoint askedAt);
  void probeAnswered(ProbeId id, const LoadReport &report);
  void probeFailed(ProbeId id);
  RequestLog &log() { return Log; }
  const std::string &healthPath() const { return HealthPath; }

  const ServiceBalancer &balancer() const { return Balancer; }
  std::size_t upstreams() const { return Upstreams.size(); }
  /// Attempts that are known here. Each belongs to one of the balancer.
  std::size_t attempts() const { return Attempts.size(); }
  PoolCounts connections() const;

private:
  void didNotice(const KnownUpstream &upstream, const UpstreamNotice &notice);
  /// Logs that an upstream has become cold or warm since the last call, if it has. Returns whether
  /// it has.
  bool logWarmup(const KnownUpstream &upstream, std::string_view source, TimePoint now);
  void execute(const BalanceCommands &commands);
  void run(const SendRequest &command);
  void run(const AbortAttempt &command);
  void run(const SendProbe &command);
  void run(const RefuseRequest &command);
  void armTimer();

  boost::asio::io_context &Context;
  std::string Name;
  std::string DataCentre;
  RequestLog Log;
  std::uint64_t Seed;
  ServiceBalancer Balancer;
  /// All upstreams of the service; the balancer works with a subset.
  std::vector<UpstreamInfo> Known;
  WaitingRequests Waiting = WaitingRequests::Keep;
  LeavingUpstreams Leaving;
  /// Upstreams whose last response named a limit that can't be read. Logged once each.
  std::set<UpstreamIndex> UnreadableLimits;
  /// Upstreams that were last logged as cold.
  std::set<UpstreamIndex> LoggedAsCold;
  /// When the service became short of room, if it has not recovered, and when it last was short.
  std::optional<TimePoint> ShortSince;
  TimePoint LastShortAt{};
  double RequestShare = 1;
  std::string HealthPath = "/health";
  int ConnectionLimit = 64;
  std::map<std::string, std::shared_ptr<KnownUpstream>> Upstreams;
  std::map<UpstreamIndex, std::shared_ptr<KnownUpstream>> ByIndex;
  std::map<CallId, std::shared_ptr<ProxiedRequest>> Requests;
  /// The coroutines that carry the attempts own them, and with them the bodies of the requests.
  std::map<AttemptId, std::weak_ptr<RunningAttempt>> Attempts;
  std::uint32_t LastIndex = 0;
  boost::asio::steady_timer Timer;
  TimePoint ArmedFor = TimePoint::max();
};

} // namespace wigeonlift
