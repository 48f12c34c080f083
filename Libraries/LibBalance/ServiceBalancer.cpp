#include <LibBalance/ServiceBalancer.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Upstreams respond to probes within a round trip; a longer delay indicates a fault.
constexpr Duration ProbeTimeout = std::chrono::milliseconds{120};
// Probes that were not sent in quiet seconds may be sent later within this time, when load is high.
constexpr Duration ProbeBurstSpan = std::chrono::seconds{8};
constexpr double ProbeTimeoutPenalty = 1.0;
constexpr double ProbeFailurePenalty = 1.0;
constexpr int SlowThresholdPercent = 130;
// Weight of a probe response in the moving average of the slowness.
constexpr double TypicalSlownessGain = 0.02;

} // namespace

ServiceBalancer::ServiceBalancer(std::uint64_t seed, TimePoint startedAt)
    : Rng(seed), Limits(seed), RetryLimiter(startedAt) {}

void ServiceBalancer::setUpstreams(std::span<const UpstreamInfo> upstreams, TimePoint now,
                                   BalanceCommands &out, WaitingRequests waiting) {
  Waiting = waiting;
  Limits.expire(now);
  std::set<UpstreamIndex> listed;
  for (const UpstreamInfo &it : upstreams) {
    listed.insert(it.Index);
    const auto [view, isNew] = Upstreams.try_emplace(it.Index, it);
    if (!isNew)
      view->second.setInfo(it);
    updateWarmupEnd(it.Index);
  }
  // Attempts that were sent to a removed upstream continue.
  std::erase_if(Upstreams, [&](const auto &it) { return !listed.contains(it.first); });
  if (Waiting == WaitingRequests::PlaceAgain)
    withdrawFromRemovedUpstreams(now, out);
  dispatchQueue(now, out);
}

void ServiceBalancer::setRetryBudget(double ratio, double allowance, Duration window) {
  RetryLimiter.setBounds(ratio, allowance, window);
}

void ServiceBalancer::setProbeRate(double probesPerSecond, TimePoint now) {
  ProbeRate.setRate(probesPerSecond, ProbeBurstSpan, now);
}

void ServiceBalancer::setLatestDeadline(TimePoint latest, TimePoint now, BalanceCommands &out) {
  LatestDeadline = latest;
  for (auto &[id, request] : Requests)
    request.Spec.Deadline = std::min(request.Spec.Deadline, latest);
  dispatchQueue(now, out);
}

void ServiceBalancer::requestArrived(const RequestSpec &spec, TimePoint now, BalanceCommands &out) {
  ++Counts.Requests;
  RetryLimiter.didRequest(now);
  const auto [it, isNew] = Requests.try_emplace(spec.Id);
  if (!isNew)
    return;
  it->second.Spec = spec;
  it->second.Spec.Deadline = std::min(spec.Deadline, LatestDeadline);
  it->second.Spec.IsReturning = spec.IsReturning && HasOverloadControl;
  if (HasOverloadControl)
    Admission.didArrive(spec.Priority, now);
  if (now >= it->second.Spec.Deadline)
    return refuse(it->second, FailureKind::DeadlineExceeded, now, out);
  if (Upstreams.empty())
    return refuse(it->second, FailureKind::NoUpstream, now, out);
  it->second.IsQueued = true;
  Queue.insert(spec.Id);
  dispatchQueue(now, out);
}

void ServiceBalancer::callerLeft(CallId id, TimePoint now, BalanceCommands &out) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  addAbortedWork(it->second, now);
  finishRequest(it->second, out);
  dispatchQueue(now, out);
}

void ServiceBalancer::probeAnswered(ProbeId id, const LoadReport &report, TimePoint now,
                                    BalanceCommands &out) {
  const auto it = Probes.find(id);
  if (it == Probes.end())
    return;
  if (UpstreamView *upstream = findUpstream(it->second); upstream && upstream->Probe == id) {
    upstream->didReport(report, upstream->ProbedAt, now);
    upstream->Probe.reset();
    if (report.SlownessPercent > SlowThresholdPercent)
      ++Counts.SlowUpstreamProbes;
    else if (upstream->outstandingRequests() >= upstream->softSlotLimit())
      ++Counts.FullUpstreamProbes;
    TypicalSlowness += TypicalSlownessGain * (report.SlownessPercent / 100.0 - TypicalSlowness);
  }
  Probes.erase(it);
  dispatchQueue(now, out);
}

void ServiceBalancer::probeFailed(ProbeId id, TimePoint now, BalanceCommands &out) {
  const auto it = Probes.find(id);
  if (it == Probes.end())
    return;
  if (UpstreamView *upstream = findUpstream(it->second); upstream && upstream->Probe == id) {
    upstream->didFail(ProbeFailurePenalty, now);
    upstream->clearReport();
    upstream->Probe.reset();
  }
  Probes.erase(it);
  dispatchQueue(now, out);
}

void ServiceBalancer::setShareAssignment(const ShareAssignment &assignment, TimePoint now) {
  Limits.setAssignment(assignment, now);
}

void ServiceBalancer::setWarmup(double requestsPerSecond, const WarmupBounds &bounds,
                                TimePoint now) {
  Limits.setWarmup(requestsPerSecond, bounds, now);
}

void ServiceBalancer::setWarmupAssignment(const ShareAssignment &assignment, TimePoint now) {
  Limits.setWarmupAssignment(assignment, now);
}

void ServiceBalancer::warmupReported(UpstreamIndex upstream, std::uint64_t fleetKey,
                                     Duration remaining, TimePoint now) {
  Limits.didReportWarmup(upstream, fleetKey, remaining, now);
  updateWarmupEnd(upstream);
}

void ServiceBalancer::updateWarmupEnd(UpstreamIndex index) {
  const auto end = Limits.warmupEndsAt(index);
  if (UpstreamView *upstream = findUpstream(index); upstream && end)
    upstream->setWarmupEndsAt(*end);
}

bool ServiceBalancer::noticeReceived(UpstreamIndex upstream, std::uint64_t fleetKey,
                                     const UpstreamNotice &notice, TimePoint now) {
  if (notice.RetryAfter) {
    Limits.didAskToStayAway(fleetKey, *notice.RetryAfter, now);
    Limits.didList(upstream, fleetKey, now);
  }
  if (notice.WarmupRemaining) {
    Limits.didReportWarmup(upstream, fleetKey, *notice.WarmupRemaining, now);
    updateWarmupEnd(upstream);
  }
  return Limits.didReport(upstream, fleetKey, notice.RateLimit, now);
}

void ServiceBalancer::didPause() {
  for (auto &[index, view] : Upstreams)
    view.clearReport();
  Forecast.clear();
}

void ServiceBalancer::tick(TimePoint now, BalanceCommands &out) {
  std::vector<ProbeId> timedOutProbes;
  for (auto &[index, view] : Upstreams)
    if (view.Probe && now - view.ProbedAt >= ProbeTimeout)
      timedOutProbes.push_back(*view.Probe);
  for (const ProbeId id : timedOutProbes) {
    UpstreamView &upstream = *findUpstream(Probes.at(id));
    upstream.didFail(ProbeTimeoutPenalty, now);
    upstream.clearReport();
    upstream.Probe.reset();
    Probes.erase(id);
  }
  std::vector<CallId> dueCalls;
  for (const auto &[id, request] : Requests)
    if (now >= request.Spec.Deadline || now >= request.HedgeAt)
      dueCalls.push_back(id);
  for (const CallId id : dueCalls) {
    const auto it = Requests.find(id);
    if (now >= it->second.Spec.Deadline)
      expireRequest(it->second, now, out);
    else
      checkHedge(it->second, now, out);
  }
  dispatchQueue(now, out);
}

std::optional<TimePoint> ServiceBalancer::nextWakeup() const {
  std::optional<TimePoint> next;
  const auto consider = [&](TimePoint at) { next = std::min(next.value_or(at), at); };
  for (const auto &[id, request] : Requests) {
    consider(std::min(request.Spec.Deadline, request.HedgeAt));
  }
  if (!Queue.empty() && !refusesQueue())
    consider(nextProbeRound());
  for (const auto &[index, view] : Upstreams)
    if (view.Probe)
      consider(view.ProbedAt + ProbeTimeout);
  return next;
}

std::optional<ChoiceInfo> ServiceBalancer::choice(AttemptId id) const {
  const auto it = Attempts.find(id);
  return it == Attempts.end() ? std::nullopt : std::optional{it->second.Choice};
}

UpstreamView *ServiceBalancer::findUpstream(UpstreamIndex index) {
  const auto it = Upstreams.find(index);
  return it == Upstreams.end() ? nullptr : &it->second;
}

} // namespace wigeonlift
