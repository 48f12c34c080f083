#include <LibBalance/ServiceBalancer.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Upstreams answer probes within a round trip; a longer silence is a sign of trouble.
constexpr Duration ProbeTimeout = std::chrono::milliseconds{120};
// Probes saved in quiet seconds serve the heavy ones.
constexpr Duration ProbeSpan = std::chrono::seconds{8};
constexpr double SilentProbeTrouble = 1.0;
constexpr double FailedProbeTrouble = 1.0;
constexpr int SlowPercent = 130;
constexpr double SlownessGain = 0.02;

} // namespace

ServiceBalancer::ServiceBalancer(std::uint64_t seed, TimePoint startedAt)
    : Rng(seed), Repeats(startedAt) {}

void ServiceBalancer::setUpstreams(std::span<const UpstreamInfo> upstreams, TimePoint now,
                                   BalanceCommands &out) {
  std::set<UpstreamIndex> named;
  for (const UpstreamInfo &it : upstreams) {
    named.insert(it.Index);
    const auto [view, isNew] = Upstreams.try_emplace(it.Index, it);
    if (!isNew)
      view->second.setFacts(it);
  }
  // Attempts that run at an upstream that leaves go on.
  std::erase_if(Upstreams, [&](const auto &it) { return !named.contains(it.first); });
  pump(now, out);
}

void ServiceBalancer::setRetryBudget(double ratio, double allowance, Duration window) {
  Repeats.setBounds(ratio, allowance, window);
}

void ServiceBalancer::setProbeRate(double probesPerSecond, TimePoint now) {
  ProbeRate.setRate(probesPerSecond, ProbeSpan, now);
}

void ServiceBalancer::requestArrived(const RequestSpec &spec, TimePoint now, BalanceCommands &out) {
  ++Counts.Requests;
  Repeats.didRequest(now);
  const auto [it, isNew] = Requests.try_emplace(spec.Id);
  if (!isNew)
    return;
  it->second.Spec = spec;
  if (now >= spec.Deadline)
    return refuse(it->second, FailureKind::DeadlineExceeded, now, out);
  if (Upstreams.empty())
    return refuse(it->second, FailureKind::NoUpstream, now, out);
  it->second.IsQueued = true;
  Queue.insert(spec.Id);
  pump(now, out);
}

void ServiceBalancer::callerLeft(CallId id, TimePoint now, BalanceCommands &out) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return;
  end(it->second, out);
  pump(now, out);
}

void ServiceBalancer::probeAnswered(ProbeId id, const LoadReport &report, TimePoint now,
                                    BalanceCommands &out) {
  const auto it = Probes.find(id);
  if (it == Probes.end())
    return;
  if (UpstreamView *asked = view(it->second); asked && asked->Probe == id) {
    asked->didReport(report, asked->ProbedAt, now);
    asked->Probe.reset();
    if (report.SlownessPercent > SlowPercent)
      ++Counts.SlowUpstreamProbes;
    else if (asked->occupied() >= asked->easySlots())
      ++Counts.FullUpstreamProbes;
    TypicalSlowness += SlownessGain * (report.SlownessPercent / 100.0 - TypicalSlowness);
  }
  Probes.erase(it);
  pump(now, out);
}

void ServiceBalancer::probeFailed(ProbeId id, TimePoint now, BalanceCommands &out) {
  const auto it = Probes.find(id);
  if (it == Probes.end())
    return;
  if (UpstreamView *asked = view(it->second); asked && asked->Probe == id) {
    asked->didFail(FailedProbeTrouble, now);
    asked->forgetReport();
    asked->Probe.reset();
  }
  Probes.erase(it);
  pump(now, out);
}

void ServiceBalancer::didPause() {
  for (auto &[index, view] : Upstreams)
    view.forgetReport();
}

void ServiceBalancer::tick(TimePoint now, BalanceCommands &out) {
  std::vector<ProbeId> silent;
  for (auto &[index, view] : Upstreams)
    if (view.Probe && now - view.ProbedAt >= ProbeTimeout)
      silent.push_back(*view.Probe);
  for (const ProbeId id : silent) {
    UpstreamView &asked = *view(Probes.at(id));
    asked.didFail(SilentProbeTrouble, now);
    asked.forgetReport();
    asked.Probe.reset();
    Probes.erase(id);
  }
  std::vector<CallId> calls;
  for (const auto &[id, request] : Requests)
    if (now >= request.Spec.Deadline || now >= request.HedgeAt)
      calls.push_back(id);
  for (const CallId id : calls) {
    const auto it = Requests.find(id);
    if (now >= it->second.Spec.Deadline)
      checkDeadline(it->second, now, out);
    else
      checkHedge(it->second, now, out);
  }
  pump(now, out);
}

std::optional<TimePoint> ServiceBalancer::nextWakeup() const {
  std::optional<TimePoint> next;
  const auto consider = [&](TimePoint at) { next = std::min(next.value_or(at), at); };
  for (const auto &[id, request] : Requests) {
    consider(std::min(request.Spec.Deadline, request.HedgeAt));
  }
  if (!Queue.empty())
    consider(nextRound());
  for (const auto &[index, view] : Upstreams)
    if (view.Probe)
      consider(view.ProbedAt + ProbeTimeout);
  return next;
}

std::optional<ChoiceInfo> ServiceBalancer::choice(AttemptId id) const {
  const auto it = Attempts.find(id);
  return it == Attempts.end() ? std::nullopt : std::optional{it->second.Choice};
}

UpstreamView *ServiceBalancer::view(UpstreamIndex index) {
  const auto it = Upstreams.find(index);
  return it == Upstreams.end() ? nullptr : &it->second;
}

} // namespace wigeonlift
