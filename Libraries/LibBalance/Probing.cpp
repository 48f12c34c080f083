#include <LibBalance/ServiceBalancer.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

constexpr int ProbesPerRound = 3;
// Upper limit for the probes of a round. A round has at least `ProbesPerRound` and otherwise one
// per queued request that can still meet its objective, since a long queue needs several upstreams.
constexpr int MaxProbesPerRound = 12;
constexpr int UpstreamsPerProbe = 4;
// Upstreams respond to probes within a round trip. A request does not wait longer than this for
// the remaining responses of a round.
constexpr Duration MaxProbeWait = std::chrono::milliseconds{6};
// Remote upstreams are probed first only when local ones are expected to take longer by this
// fraction of the work time. The fraction halves with each round of probes for the request.
constexpr double RemoteProbePenalty = 0.6;
// Added to the cost of probing an upstream that has no open connection, because a new connection
// causes work at the upstream, and it is closed again if the VM has few requests. A multiple of the
// work time, which halves with each round as well.
constexpr double NewConnectionPenalty = 1.0;
// An upstream that reported its load within this time is assumed to have an open connection.
constexpr Duration AssumedConnectionKeepAlive = std::chrono::seconds{8};

} // namespace

int ServiceBalancer::sendProbes(const Request &request, TimePoint now, BalanceCommands &out) {
  constexpr double jitterSpread = 0.6;
  struct ProbeTarget {
    double Cost;
    UpstreamView *View;
  };
  std::vector<ProbeTarget> targets;
  for (auto &[index, view] : Upstreams) {
    const bool isKnown = view.isFresh(now) && Limits.isWarmupKnown(index, now);
    if (view.Probe || isKnown || !isEligible(view, request, now) || !Limits.mayProbe(index, now))
      continue;
    // The jitter keeps VMs with the same information from all probing and then choosing the same
    // upstreams.
    const double jitter = 1 - jitterSpread / 2 + jitterSpread * Rng.unit();
    const bool isLikelyConnected =
        view.hasReport() && view.reportAge(now) < AssumedConnectionKeepAlive;
    const double penalty = ((view.info().IsInLocalDataCentre ? 0 : RemoteProbePenalty) +
                            (isLikelyConnected ? 0 : NewConnectionPenalty)) *
                           std::exp2(-request.ProbeRounds);
    targets.push_back({toSeconds(evaluate(view, request, now).Cost) * jitter +
                           penalty * toSeconds(workTime(request)),
                       &view});
  }
  std::ranges::sort(targets, {}, &ProbeTarget::Cost);
  // The slowness of an upstream that has just become cold isn't known, so its cost means little.
  const auto unused = std::ranges::find_if(targets, [&](const ProbeTarget &it) {
    return Limits.isColdAndUnused(it.View->info().Index, now);
  });
  if (unused != targets.end())
    std::rotate(targets.begin(), unused, unused + 1);
  // Limits a round to a fraction of the upstreams. In a small service, a few such rounds already
  // cover all upstreams.
  const int maxProbes = std::clamp(static_cast<int>(Upstreams.size()) / UpstreamsPerProbe,
                                   ProbesPerRound, MaxProbesPerRound);
  const int probeCount = std::clamp(TimelyQueued, ProbesPerRound, maxProbes);
  int sent = 0;
  for (const ProbeTarget &it : targets) {
    if (sent >= probeCount || !sendProbe(*it.View, now, out))
      break;
    ++sent;
  }
  return sent;
}

bool ServiceBalancer::sendProbe(UpstreamView &view, TimePoint now, BalanceCommands &out) {
  if (!ProbeRate.take(now)) {
    ++Counts.ProbesDenied;
    return false;
  }
  const ProbeId id{++LastProbeId};
  view.Probe = id;
  view.ProbedAt = now;
  Probes[id] = view.info().Index;
  ++Counts.Probes;
  out.push_back(SendProbe{.Probe = id, .Upstream = view.info().Index});
  return true;
}

void ServiceBalancer::recheckLimits(TimePoint now, BalanceCommands &out) {
  int sent = 0;
  for (auto &[index, view] : Upstreams)
    if (sent < ProbesPerRound && !view.Probe && !view.isFresh(now) && Limits.mayProbe(index, now))
      sent += sendProbe(view, now, out) ? 1 : 0;
}

bool ServiceBalancer::hasProbesInFlight() const {
  return std::ranges::any_of(Upstreams, [](const auto &it) { return it.second.Probe.has_value(); });
}

bool ServiceBalancer::isAwaitingProbes(TimePoint now) const {
  return now < ProbeRoundAt + MaxProbeWait && hasProbesInFlight();
}

TimePoint ServiceBalancer::nextProbeRound() const {
  return hasProbesInFlight() ? std::max(NextProbeRoundAt, ProbeRoundAt + MaxProbeWait)
                             : NextProbeRoundAt;
}

} // namespace wigeonlift
