#include "Gateway.h"

#include <platform/Platform.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wigeonlift {

namespace asio = boost::asio;

namespace {

// How often a request that waits for the first configuration looks for it.
constexpr auto ConfigurationCheckInterval = std::chrono::milliseconds{5};
// Maintenance runs once a second; a longer gap means that the process stood still.
constexpr Duration PauseLimit = std::chrono::milliseconds{2500};
// The rest of the probes that an upstream may get is left to VMs that join unnoticed.
constexpr double SafeProbeShare = 0.8;
constexpr Duration FiguresInterval = std::chrono::seconds{5};
constexpr double SafeRepeatShare = 0.95;
// The rest is for answers, connections and the fleet's state.
constexpr double BodyShareOfMemory = 0.25;
constexpr std::size_t BytesPerMb = 1024 * 1024;
constexpr std::size_t MaxLoggedKeyBytes = 80;
// For settings without a memory limit.
constexpr int DefaultMemoryMb = 256;

std::size_t bodyLimit(const GatewaySettings &settings) {
  const int mb = settings.MemoryMb > 0 ? settings.MemoryMb : DefaultMemoryMb;
  return static_cast<std::size_t>(BodyShareOfMemory * mb * static_cast<double>(BytesPerMb));
}

/// Orders have no leases, so an outage of the store doesn't remove them.
OrderRemoval orderRemovalOf(const EntryRemoval &removal) {
  switch (removal.Kind) {
  case RemovalKind::Final:
  case RemovalKind::PossibleLeaseExpiry:
  case RemovalKind::ProbableLeaseExpiry:
    return OrderRemoval::Removed;
  case RemovalKind::StoreRestored:
    return OrderRemoval::LostByRestore;
  }
  return OrderRemoval::Removed;
}

} // namespace

Gateway::Gateway(boost::asio::io_context &context, const GatewaySettings &settings, EventLog &log,
                 std::uint64_t seed)
    : Context(context), Settings(settings), Log(log), Requests(log), Seed(seed), Rng(seed),
      Upstreams({.DrainTimeout = settings.Bounds.DrainTimeout,
                 .StoreSettleTime = settings.Bounds.StoreSettleTime}),
      Evacuated(settings.Bounds.StoreSettleTime + settings.Bounds.ConfigurationDeadline),
      Bodies(bodyLimit(settings)), HeldAnswers(bodyLimit(settings)), Begin(bootTimeNow()),
      RemovalTimer(context), MaintainedAt(bootTimeNow()) {}

asio::awaitable<void> Gateway::awaitConfiguration(TimePoint end) {
  asio::steady_timer timer{Context};
  while (!Plans.current() && !isStopping() && bootTimeNow() < end) {
    timer.expires_after(ConfigurationCheckInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void Gateway::beginStop(TimePoint now) {
  Stop.begin(now, Settings.Bounds.StopGrace);
  for (const auto &[name, task] : Services)
    task->setLatestDeadline(Stop.answersDue());
}

void Gateway::didLearn(std::span<const StoreItem> changes, std::string_view source,
                       const EntryRemoval &removals) {
  const TimePoint now = bootTimeNow();
  bool hasChanged = false;
  bool hasChangedWarmup = false;
  // Hundreds of lines would delay the first requests of a small VM.
  IsLoading = !HasSeenConfiguration;
  if (removals.Kind == RemovalKind::StoreRestored)
    Upstreams.didRestoreStore(now);
  for (const StoreItem &it : changes) {
    if (it.Key == platform::ConfigurationKey) {
      HasSeenConfiguration = true;
      didLearnPlan(it, source);
      hasChanged = true;
    } else if (const auto id = platform::upstreamIdOf(it.Key)) {
      hasChanged |= didLearnUpstream(it, *id, removals, now, hasChangedWarmup);
    } else if (platform::isEvacuationKey(it.Key)) {
      hasChanged |= didLearnEvacuation(it, removals, now);
    }
  }
  if (IsLoading)
    Log.write(
        EventLog::Priority::Important, "upstreams_loaded",
        {{"n", fmt::format("{}", Upstreams.upstreams().size())}, {"from", std::string{source}}});
  if (hasChanged)
    refreshServices();
  else if (hasChangedWarmup)
    for (const auto &[name, task] : Services)
      task->useSubset();
  armRemovalTimer();
}

void Gateway::armRemovalTimer() {
  const auto nextRemoval = Upstreams.nextRemovalDue();
  const auto nextEnd = Evacuated.nextEndDue();
  if (!nextRemoval && !nextEnd)
    return;
  const TimePoint next =
      std::min(nextRemoval.value_or(TimePoint::max()), nextEnd.value_or(TimePoint::max()));
  RemovalTimer.expires_after(std::max(Duration::zero(), next - bootTimeNow()));
  RemovalTimer.async_wait([this](const boost::system::error_code &ec) {
    if (ec)
      return;
    const bool haveLapsed = Upstreams.applyDueRemovals(bootTimeNow());
    if (haveLapsed)
      Log.write(EventLog::Priority::Important, "upstreams_lapsed", {});
    const auto ended = Evacuated.applyDueEnds(bootTimeNow());
    for (const std::string &it : ended)
      Log.write(EventLog::Priority::Important, "evacuation_ended",
                {{"dc", it}, {"why", "not written again after a restore"}});
    if (haveLapsed || !ended.empty())
      refreshServices();
    armRemovalTimer();
  });
}

void Gateway::didLearnPlan(const StoreItem &item, std::string_view source) {
  if (item.IsRemoved)
    return;
  auto configuration = platform::decodeConfiguration(item.Value);
  if (!configuration.ok()) {
    Log.write(EventLog::Priority::Important, "plan_rejected",
              {{"why", std::string{configuration.status().message()}},
               revisionField("rev", item.Revision),
               {"from", std::string{source}}});
    return;
  }
  const std::uint64_t version = configuration->Version;
  const std::size_t routes = configuration->Routes.size();
  const bool isTaken = Plans.replaceIfNewer(*std::move(configuration));
  Log.write(EventLog::Priority::Important, isTaken ? "plan_taken" : "plan_older",
            {{"version", fmt::format("{}", version)},
             {"routes", fmt::format("{}", routes)},
             revisionField("rev", item.Revision),
             {"from", std::string{source}}});
}

bool Gateway::didLearnUpstream(const StoreItem &item, std::string_view id,
                               const EntryRemoval &removal, TimePoint now, bool &hasChangedWarmup) {
  auto record = item.IsRemoved ? std::nullopt : platform::decodeUpstreamRecord(id, item.Value);
  if (!record) {
    if (!Upstreams.didRemove(id, removal, now))
      return false;
    Log.write(EventLog::Priority::Important,
              item.IsUnreadable ? "upstream_unreadable" : "upstream_gone",
              {{"up", std::string{id}}, revisionField("rev", item.Revision)});
    return true;
  }
  const UpstreamRecord copy = *record;
  const bool isRestored = removal.Kind == RemovalKind::StoreRestored;
  const bool hasChanged = isRestored ? Upstreams.didRestore(*std::move(record), now)
                                     : Upstreams.didWrite(*std::move(record), now);
  // The list doesn't report changes of the warm-up. What it didn't accept is outdated.
  const auto listed = Upstreams.upstreams().find(id);
  const bool isAccepted = listed != Upstreams.upstreams().end() && listed->second == copy;
  if (const auto task = service(copy.Service); task && isAccepted)
    hasChangedWarmup |= task->didWriteWarmup(copy);
  if (!hasChanged)
    return false;
  if (IsLoading)
    return true;
  Log.write(EventLog::Priority::Important, copy.IsDraining ? "upstream_draining" : "upstream_ready",
            {{"up", copy.Id},
             {"svc", copy.Service},
             {"addr", copy.Address},
             revisionField("rev", item.Revision)});
  return true;
}

bool Gateway::didLearnEvacuation(const StoreItem &item, const EntryRemoval &removal,
                                 TimePoint now) {
  const auto name = platform::evacuatedDataCentreOf(item.Key);
  if (!name) {
    if (!item.IsRemoved)
      Log.write(
          EventLog::Priority::Important, "evacuation_unreadable",
          {{"key", item.Key.substr(0, MaxLoggedKeyBytes)}, revisionField("rev", item.Revision)});
    return false;
  }
  const bool hasChanged = item.IsRemoved ? Evacuated.didEnd(*name, orderRemovalOf(removal), now)
                                         : Evacuated.didOrder(*name);
  const bool isMissing = item.IsRemoved && Evacuated.contains(*name);
  if (hasChanged || isMissing)
    Log.write(EventLog::Priority::Important,
              isMissing        ? "evacuation_missing"
              : item.IsRemoved ? "evacuation_ended"
                               : "evacuation_began",
              {{"dc", std::string{*name}}, revisionField("rev", item.Revision)});
  return hasChanged;
}

void Gateway::setSettings(const GatewaySettings &settings) {
  Settings = settings;
  refreshServices();
}

void Gateway::setShares(const FleetShares &shares) {
  if (std::exchange(Fractions, shares) != shares)
    shareBudgets();
}

void Gateway::setShareAssignment(ShareAssignment assignment) {
  if (assignment == LimitShares)
    return;
  LimitShares = std::move(assignment);
  for (const auto &[name, task] : Services)
    task->setShareAssignment(LimitShares);
}

void Gateway::setWarmupAssignment(ShareAssignment assignment) {
  if (assignment == WarmupShares)
    return;
  WarmupShares = std::move(assignment);
  for (const auto &[name, task] : Services)
    task->setWarmupAssignment(WarmupShares);
}

void Gateway::limitWarmups() {
  if (!Plans.current())
    return;
  const FleetBounds &bounds = Settings.Bounds;
  for (const ServiceConfiguration &it : Plans.current()->configuration().Services)
    Services.at(it.Name)->setWarmup(bounds.limitsWarmup() ? it.WarmupRequestsPerSecond : 0,
                                    {.Overage = bounds.WarmupOverage.value_or(1),
                                     .Tolerance = bounds.WarmupTolerance.value_or(0)});
}

std::vector<ServiceShortage> Gateway::shortages(TimePoint now) {
  std::vector<ServiceShortage> result;
  for (const auto &[name, task] : Services)
    if (const auto shortage = task->checkShortage(now))
      result.push_back({.Service = name, .Lack = *shortage});
  return result;
}

void Gateway::didHearShortages(std::uint32_t vm, std::span<const ServiceShortage> shortages,
                               TimePoint now) {
  for (const auto &[name, task] : Services) {
    const auto it = std::ranges::find(shortages, name, &ServiceShortage::Service);
    task->didHearShortage(vm, it == shortages.end() ? std::nullopt : std::optional{it->Lack}, now);
  }
}

void Gateway::refreshServices() {
  if (!Plans.current())
    return;
  for (const ServiceConfiguration &it : Plans.current()->configuration().Services) {
    auto &task = Services[it.Name];
    if (!task)
      task = makeService(it.Name);
    task->setPlan(it.HealthPath, it.MaxConnections);
    task->setOverloadControl(Settings.HasPriorityAdmission &&
                             Plans.current()->hasSeveralPriorities(it.Name));
  }
  limitWarmups();
  for (const auto &[name, task] : Services)
    refreshUpstreams(*task);
  shareBudgets();
}

void Gateway::refreshUpstreams(ServiceTask &task) {
  std::vector<UpstreamRecord> usable = Upstreams.usable(task.name());
  const auto evacuated = std::erase_if(
      usable, [&](const UpstreamRecord &it) { return Evacuated.contains(it.DataCentre); });
  // Requests that wait for a connection must not wait in vain while a data centre is shut down.
  task.setUpstreams(usable, evacuated > 0 ? WaitingRequests::PlaceAgain : WaitingRequests::Keep);
}

std::shared_ptr<ServiceTask> Gateway::makeService(const std::string &name) {
  auto task = std::make_shared<ServiceTask>(Context, name, Settings.DataCentre,
                                            Seed ^ std::hash<std::string>{}(name), Requests);
  task->setShareAssignment(LimitShares);
  task->setWarmupAssignment(WarmupShares);
  task->setLatestDeadline(Stop.answersDue());
  return task;
}

void Gateway::shareBudgets() {
  const FleetBounds &bounds = Settings.Bounds;
  for (const auto &[name, task] : Services) {
    task->setRequestShare(Fractions.OfRequests);
    task->setRetryBudget(bounds.RepeatRatio,
                         SafeRepeatShare * bounds.RepeatExtra * Fractions.OfRepeats,
                         bounds.RepeatWindow);
    task->setProbeRate(SafeProbeShare * bounds.ProbesPerUpstreamSecond *
                       static_cast<double>(task->upstreams()) * Fractions.OfRequests);
  }
}

void Gateway::maintain(TimePoint now) {
  const Duration gap = now - std::exchange(MaintainedAt, now);
  if (gap > PauseLimit) {
    Log.write(EventLog::Priority::Important, "paused",
              {{"ms", fmt::format("{}", toMilliseconds(gap))}});
    for (const auto &[name, task] : Services)
      task->didPause();
  }
  for (const auto &[name, task] : Services)
    task->maintain(now);
  if (now - FiguresAt >= FiguresInterval) {
    FiguresAt = now;
    for (const auto &[name, task] : Services)
      logFigures(*task, now);
  }
  Log.flush();
}

void Gateway::logFigures(const ServiceTask &task, TimePoint now) {
  const BalanceCounts &counts = task.balancer().counts();
  const auto number = [](auto value) { return fmt::format("{}", value); };
  Log.write(EventLog::Priority::Routine, "service",
            {{"svc", task.name()},
             {"requests", number(counts.Requests)},
             {"attempts", number(counts.Attempts)},
             {"hedges", number(counts.Hedges)},
             {"hedge_wins", number(counts.HedgeWins)},
             {"hedges_residual", number(counts.ResidualHedges)},
             {"overtaken", number(counts.OvertakenAttempts)},
             {"refused", number(counts.Refusals)},
             {"refused_admission", number(counts.RefusedByAdmission)},
             {"refused_forecast", number(counts.RefusedByForecast)},
             {"probes", number(counts.Probes)},
             {"probes_slow", number(counts.SlowUpstreamProbes)},
             {"probes_full", number(counts.FullUpstreamProbes)},
             {"probes_denied", number(counts.ProbesDenied)},
             {"repeats_denied", number(counts.RetriesDenied)},
             {"to_slow", number(counts.SentToSlow)},
             {"far", number(counts.SentToOtherDataCentre)},
             {"to_limited", number(counts.SentToLimited)},
             {"limited", number(task.balancer().limits().size())},
             {"to_cold", number(counts.SentToCold)},
             {"cold", number(task.balancer().limits().coldUpstreams(now))},
             {"queued", number(task.balancer().queuedRequests())},
             {"work_ms", fmt::format("{:.1f}", toSeconds(task.balancer().meanWorkTime()) * 1e3)},
             {"slow", fmt::format("{:.2f}", task.balancer().typicalSlowness())},
             {"repeat_room", fmt::format("{:.1f}", task.balancer().remainingRetries(now))},
             {"upstreams", number(task.upstreams())}});
}

std::shared_ptr<ServiceTask> Gateway::service(const std::string &name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : it->second;
}

std::string Gateway::partFor(const Route &route) {
  if (route.WeightedServices.size() == 1)
    return route.WeightedServices.front().Service;
  return route.WeightedServices[Splits[route.Name].next(route, Rng.unit())].Service;
}

std::uint32_t Gateway::kindOf(const Route &route) {
  return Kinds.try_emplace(route.Name, static_cast<std::uint32_t>(Kinds.size())).first->second;
}

} // namespace wigeonlift
