#include "ServiceTask.h"

#include "UpstreamExchange.h"

#include <platform/Platform.h>

#include <xxhash.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace wigeonlift {

namespace asio = boost::asio;

namespace {

// Smaller changes of the share are left alone, since each change of the subset costs connections.
constexpr double ShareTolerance = 0.2;

std::uint64_t fleetKeyOf(const UpstreamRecord &record) {
  return XXH3_64bits_withSeed(record.Id.data(), record.Id.size(), record.StartedAtMs);
}

} // namespace

ServiceTask::ServiceTask(asio::io_context &context, std::string name, std::string dataCentre,
                         std::uint64_t seed, RequestLog log)
    : Context(context), Name(std::move(name)), DataCentre(std::move(dataCentre)), Log(log),
      Seed(seed), Balancer(seed, bootTimeNow()), Timer(context) {}

void ServiceTask::setUpstreams(const std::vector<UpstreamRecord> &records,
                               WaitingRequests waiting) {
  const TimePoint now = bootTimeNow();
  Waiting = waiting;
  std::set<std::string> named;
  Known.clear();
  for (const UpstreamRecord &record : records) {
    const auto endpoint = parseEndpoint(record.Address);
    if (!endpoint)
      continue;
    named.insert(record.Id);
    auto &known = Upstreams[record.Id];
    // Nothing that was learnt about a predecessor holds for a new incarnation.
    const bool isNew = !known || !known->Record.isSameIncarnation(record);
    if (!known || !known->Record.isSameIncarnation(record)) {
      if (known)
        known->Pool->retire();
      known = std::make_shared<KnownUpstream>(
          KnownUpstream{.Record = record,
                        .Index = UpstreamIndex{++LastIndex},
                        .FleetKey = fleetKeyOf(record),
                        .WarmupEndsAt = now + record.Warmup,
                        .EntryWarmupEndsAt = now + record.Warmup,
                        .Pool = std::make_shared<UpstreamPool>(Context.get_executor(), *endpoint,
                                                               ConnectionLimit)});
      ByIndex[known->Index] = known;
      Balancer.upstreamListed(known->Index, known->FleetKey, now);
    }
    known->Record = record;
    if (isNew && record.Warmup > Duration::zero()) {
      Balancer.warmupReported(known->Index, known->FleetKey, record.Warmup, now);
      logWarmup(*known, "store", now);
    }
    if (Leaving.contains(known->FleetKey))
      continue;
    Known.push_back({.Index = known->Index,
                     .FleetKey = known->FleetKey,
                     .IsInLocalDataCentre = record.DataCentre == DataCentre,
                     .Slots = record.Slots,
                     .WarmupEndsAt = known->WarmupEndsAt});
  }
  std::erase_if(Upstreams, [&](const auto &it) {
    if (named.contains(it.first))
      return false;
    it.second->Pool->retire();
    return true;
  });
  std::erase_if(ByIndex, [&](const auto &it) {
    const auto known = Upstreams.find(it.second->Record.Id);
    const bool hasLeft = known == Upstreams.end() || known->second != it.second;
    if (hasLeft) {
      Balancer.upstreamLeft(it.first);
      UnreadableLimits.erase(it.first);
      LoggedAsCold.erase(it.first);
    }
    return hasLeft;
  });
  useSubset();
}

void ServiceTask::setRequestShare(double share) {
  if (std::abs(share - RequestShare) <= ShareTolerance * RequestShare)
    return;
  RequestShare = share;
  useSubset();
}

void ServiceTask::setShareAssignment(const ShareAssignment &assignment) {
  Balancer.setShareAssignment(assignment, bootTimeNow());
  if (!Balancer.limits().isEmpty())
    useSubset();
}

void ServiceTask::setWarmupAssignment(const ShareAssignment &assignment) {
  const TimePoint now = bootTimeNow();
  Balancer.setWarmupAssignment(assignment, now);
  if (Balancer.limits().coldUpstreams(now) > 0)
    useSubset();
}

void ServiceTask::setWarmup(double requestsPerSecond, const WarmupBounds &bounds) {
  const TimePoint now = bootTimeNow();
  const bool wasLimited = Balancer.limits().limitsWarmup();
  Balancer.setWarmup(requestsPerSecond, bounds, now);
  const bool isLimited = Balancer.limits().limitsWarmup();
  if (wasLimited == isLimited)
    return;
  // Entries that were written while requests to cold upstreams weren't limited.
  for (const auto &[index, known] : ByIndex) {
    if (now < known->EntryWarmupEndsAt)
      Balancer.warmupReported(index, known->FleetKey, known->EntryWarmupEndsAt - now, now);
    logWarmup(*known, "configuration", now);
  }
  useSubset();
}

bool ServiceTask::didWriteWarmup(const UpstreamRecord &record) {
  const auto it = Upstreams.find(record.Id);
  if (it == Upstreams.end() || !it->second->Record.isSameIncarnation(record))
    return false;
  KnownUpstream &known = *it->second;
  const Duration previous = std::exchange(known.Record.Warmup, record.Warmup);
  // A warm upstream writes the same again and again. If it has said since that it is cold, that is
  // the later statement.
  if (record.Warmup == Duration::zero() && previous == Duration::zero())
    return false;
  const TimePoint now = bootTimeNow();
  known.EntryWarmupEndsAt = now + record.Warmup;
  if (Balancer.limits().limitsWarmup())
    known.WarmupEndsAt = known.EntryWarmupEndsAt;
  Balancer.warmupReported(known.Index, known.FleetKey, record.Warmup, now);
  return logWarmup(known, "store", now);
}

bool ServiceTask::logWarmup(const KnownUpstream &upstream, std::string_view source, TimePoint now) {
  const UpstreamLimits &limits = Balancer.limits();
  const bool isCold = limits.isCold(upstream.Index, now);
  if (isCold == LoggedAsCold.contains(upstream.Index))
    return false;
  if (isCold)
    LoggedAsCold.insert(upstream.Index);
  else
    LoggedAsCold.erase(upstream.Index);
  const Duration remaining = isCold ? *limits.warmupEndsAt(upstream.Index) - now : Duration::zero();
  Log.didChangeWarmup(Name, upstream.Record.Id, remaining, source);
  return true;
}

std::optional<Shortage> ServiceTask::checkShortage(TimePoint now) {
  auto shortage = Balancer.shortage(now);
  if (shortage) {
    LastShortAt = now;
    if (!ShortSince) {
      ShortSince = now;
      Log.didBecomeShort(Name, *shortage);
    }
  } else if (ShortSince && now - LastShortAt >= PriorityAdmission::ReportLifetime) {
    Log.didRecover(Name, now - *ShortSince);
    ShortSince.reset();
  }
  return shortage;
}

void ServiceTask::didHearShortage(std::uint32_t vm, const std::optional<Shortage> &shortage,
                                  TimePoint now) {
  Balancer.didHearShortage(vm, shortage, now);
}

void ServiceTask::useSubset() {
  const TimePoint now = bootTimeNow();
  BalanceCommands out;
  Balancer.setUpstreams(chooseSubset(Known, Balancer.limits(), Seed, RequestShare, now), now, out,
                        Waiting);
  execute(out);
}

void ServiceTask::setPlan(const std::string &healthPath, int maxConnections) {
  HealthPath = healthPath;
  // The limit holds for the connections of all VMs; this VM needs few at a time.
  if (maxConnections > 0)
    ConnectionLimit = std::max(4, maxConnections / 8);
}

void ServiceTask::setRetryBudget(double ratio, double allowance, Duration window) {
  Balancer.setRetryBudget(ratio, allowance, window);
}

void ServiceTask::setProbeRate(double probesPerSecond) {
  Balancer.setProbeRate(probesPerSecond, bootTimeNow());
}

void ServiceTask::setLatestDeadline(TimePoint latest) {
  for (const auto &[id, request] : Requests)
    request->Spec.Deadline = std::min(request->Spec.Deadline, latest);
  BalanceCommands out;
  Balancer.setLatestDeadline(latest, bootTimeNow(), out);
  execute(out);
}

void ServiceTask::requestArrived(std::shared_ptr<ProxiedRequest> request) {
  request->Spec.Deadline = std::min(request->Spec.Deadline, Balancer.latestDeadline());
  const RequestSpec spec = request->Spec;
  Requests[spec.Id] = std::move(request);
  BalanceCommands out;
  Balancer.requestArrived(spec, bootTimeNow(), out);
  execute(out);
}

void ServiceTask::callerLeft(CallId id) {
  BalanceCommands out;
  Balancer.callerLeft(id, bootTimeNow(), out);
  execute(out);
  if (const auto it = Requests.find(id); it != Requests.end()) {
    Log.didLeave(*it->second, bootTimeNow());
    it->second->deliver(CallerGone{});
    Requests.erase(it);
  }
}

void ServiceTask::didPause() { Balancer.didPause(); }

void ServiceTask::maintain(TimePoint now) {
  for (const auto &[id, known] : Upstreams)
    known->Pool->maintain(now, 0);
  for (const UpstreamIndex it : std::set<UpstreamIndex>{LoggedAsCold})
    logWarmup(*ByIndex.at(it), "time", now);
  // It may be time to return to an upstream, or to ask again whether a limit is in force.
  if (!Balancer.limits().isEmpty())
    useSubset();
}

bool ServiceTask::maySend(const RunningAttempt &attempt) {
  BalanceCommands out;
  const auto choice = Balancer.choice(attempt.Id);
  const bool may = Balancer.maySend(attempt.Id, bootTimeNow(), out);
  if (may) {
    ++attempt.Request->Attempts;
    attempt.Request->LastSentAt = bootTimeNow();
    Log.didSend(*attempt.Request, attempt.Upstream->Record.Id, *choice);
  } else {
    // It was withdrawn, and its request may have been placed again.
    Attempts.erase(attempt.Id);
  }
  execute(out);
  return may;
}

ResponseAction ServiceTask::didAnswer(const RunningAttempt &attempt, const ResponseInfo &facts) {
  Attempts.erase(attempt.Id);
  BalanceCommands out;
  const ResponseAction use = Balancer.responseReceived(attempt.Id, facts, bootTimeNow(), out);
  if (use == ResponseAction::Relay)
    Requests.erase(attempt.Request->Spec.Id);
  execute(out);
  return use;
}

void ServiceTask::attemptFailed(const RunningAttempt &attempt, AttemptStage stage,
                                std::string_view what) {
  if (!Attempts.erase(attempt.Id))
    return;
  const TimePoint now = bootTimeNow();
  Log.didFail(*attempt.Request, attempt.Upstream->Record.Id, what, now);
  BalanceCommands out;
  Balancer.attemptFailed(attempt.Id, stage, now, out);
  execute(out);
}

void ServiceTask::bodyTaken(const KnownUpstream &upstream) {
  BalanceCommands out;
  Balancer.bodyTaken(upstream.Index, bootTimeNow(), out);
  execute(out);
}

void ServiceTask::didReadHead(const KnownUpstream &upstream, const HttpResponseHead &head) {
  didNotice(upstream, platform::parseUpstreamNotice(head));
}

void ServiceTask::didReadHealthHead(const KnownUpstream &upstream, const HttpResponseHead &head,
                                    TimePoint askedAt) {
  didNotice(upstream, platform::parseHealthNotice(head, askedAt));
}

void ServiceTask::didNotice(const KnownUpstream &upstream, const UpstreamNotice &notice) {
  const TimePoint now = bootTimeNow();
  // An answer may arrive when the upstream has left already, or is listed again.
  if (!ByIndex.contains(upstream.Index)) {
    const auto listed = Upstreams.find(upstream.Record.Id);
    if (listed != Upstreams.end() && listed->second->FleetKey == upstream.FleetKey)
      return didNotice(*listed->second, notice);
    if (notice.RetryAfter)
      Balancer.didAskToStayAway(upstream.FleetKey, *notice.RetryAfter, now);
    return;
  }
  const bool hasChanged = Balancer.noticeReceived(upstream.Index, upstream.FleetKey, notice, now);
  const bool isUnreadable = notice.RateLimit.Kind == RateLimitReport::Content::Unusable;
  const bool isNews = isUnreadable ? UnreadableLimits.insert(upstream.Index).second
                                   : UnreadableLimits.erase(upstream.Index) > 0 || hasChanged;
  if (isNews)
    Log.didReportRateLimit(Name, upstream.Record.Id, notice.RateLimit);
  if (notice.RetryAfter)
    Log.didAskToStayAway(Name, upstream.Record.Id, *notice.RetryAfter);
  const bool hasLeft = notice.IsLeaving && Leaving.didAnnounce(upstream.FleetKey, now);
  if (hasLeft) {
    Log.didAnnounceLeaving(Name, upstream.Record.Id);
    std::erase_if(Known, [&](const UpstreamInfo &it) { return it.Index == upstream.Index; });
  }
  const bool hasChangedWarmup = logWarmup(upstream, "health answer", now);
  if (hasChanged || notice.RetryAfter || hasLeft || hasChangedWarmup)
    useSubset();
}

void ServiceTask::probeAnswered(ProbeId id, const LoadReport &report) {
  BalanceCommands out;
  Balancer.probeAnswered(id, report, bootTimeNow(), out);
  execute(out);
}

void ServiceTask::probeFailed(ProbeId id) {
  BalanceCommands out;
  Balancer.probeFailed(id, bootTimeNow(), out);
  execute(out);
}

PoolCounts ServiceTask::connections() const {
  PoolCounts counts;
  for (const auto &[id, known] : Upstreams)
    counts += known->Pool->counts();
  return counts;
}

void ServiceTask::execute(const BalanceCommands &commands) {
  for (const BalanceCommand &command : commands)
    std::visit([this](const auto &it) { run(it); }, command);
  armTimer();
}

void ServiceTask::run(const SendRequest &command) {
  const auto request = Requests.find(command.Call);
  const auto upstream = ByIndex.find(command.Upstream);
  auto attempt = std::make_shared<RunningAttempt>();
  attempt->Id = command.Attempt;
  Attempts[command.Attempt] = attempt;
  attempt->Request = request->second;
  attempt->Upstream = upstream->second;
  attempt->Wait = std::make_shared<PoolWait>(Context.get_executor());
  asio::co_spawn(Context, exchangeRequest(shared_from_this(), attempt), asio::detached);
}

void ServiceTask::run(const AbortAttempt &command) {
  const auto it = Attempts.find(command.Attempt);
  if (it == Attempts.end())
    return;
  const auto attempt = it->second.lock();
  Attempts.erase(it);
  if (!attempt)
    return;
  attempt->IsAbandoned = true;
  attempt->Wait->abandon();
  if (attempt->Connection)
    (*attempt->Connection)->close();
}

void ServiceTask::run(const SendProbe &command) {
  const auto upstream = ByIndex.find(command.Upstream);
  if (upstream != ByIndex.end())
    asio::co_spawn(Context, exchangeProbe(shared_from_this(), upstream->second, command.Probe),
                   asio::detached);
}

void ServiceTask::run(const RefuseRequest &command) {
  const auto it = Requests.find(command.Call);
  if (it == Requests.end())
    return;
  const auto request = std::move(it->second);
  Requests.erase(it);
  request->deliver(command.Reason);
}

void ServiceTask::armTimer() {
  const auto next = Balancer.nextWakeup();
  if (!next || *next >= ArmedFor)
    return;
  ArmedFor = *next;
  const Duration span = std::max(Duration::zero(), *next - bootTimeNow());
  Timer.expires_after(span);
  Timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
    if (ec)
      return;
    self->ArmedFor = TimePoint::max();
    BalanceCommands out;
    self->Balancer.tick(bootTimeNow(), out);
    self->execute(out);
  });
}

} // namespace wigeonlift
