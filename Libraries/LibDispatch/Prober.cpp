#include <LibDispatch/Prober.h>

namespace wigeonlift {

namespace {

// A probe that was not answered within this time counts as failed.
constexpr Duration ProbeTimeout = std::chrono::seconds(1);
// Interval at which running probes are checked for timeouts, and upstreams for the need of a probe
// while the budget permits one. A fraction of the time for which a load report permits new work.
constexpr Duration CheckPeriod = std::chrono::milliseconds(250);

} // namespace

void Prober::setBudget(const ProbeBudgetSpec &spec, int maxEntryVms, TimePoint now) {
  Budget.setBudget(spec, maxEntryVms, now);
}

void Prober::growTo(std::size_t upstreams, TimePoint now) {
  Budget.growTo(upstreams, now);
  StartedByUpstream.resize(upstreams);
}

TimePoint Prober::nextCheck(TimePoint now) const {
  if (!Running.empty())
    return now + CheckPeriod;
  const TimePoint nextPermitAt = Budget.nextPermit();
  return nextPermitAt > now ? nextPermitAt : now + CheckPeriod;
}

std::optional<StartProbe> Prober::startDueProbe(UpstreamTable &table, Random &random,
                                                TimePoint now) {
  if (!Budget.hasServicePermit(now))
    return std::nullopt;
  const auto upstream = chooseUpstream(table, random, now);
  if (!upstream)
    return std::nullopt;
  Budget.takePermit(*upstream);
  ++StartedByUpstream[upstream->Value];
  table[*upstream].IsProbed = true;
  const ProbeId id{NextProbeId++};
  Running[id] = Probe{*upstream, std::nullopt, now, false};
  return StartProbe{id, *upstream};
}

std::optional<UpstreamIndex> Prober::chooseUpstream(const UpstreamTable &table, Random &random,
                                                    TimePoint now) const {
  // A probe is useful where a permission has expired or is about to. Ties are broken at random, so
  // that VMs that start at the same time probe different upstreams.
  std::optional<UpstreamIndex> oldest;
  TimePoint oldestSince = now - table.limits().PermissionLifetime * 3 / 4;
  std::size_t ties = 0;
  for (std::uint32_t n = 0; n < table.size(); ++n) {
    const Upstream &it = table[UpstreamIndex{n}];
    if (!it.IsListed || it.IsLeaving || it.IsProbed || !it.IsInSubset ||
        !Budget.hasPermit(UpstreamIndex{n}, now))
      continue;
    const TimePoint since = it.Permission.acceptingObservedAt().value_or(TimePoint::min());
    if (since > oldestSince)
      continue;
    ties = since < oldestSince ? 1 : ties + 1;
    oldestSince = since;
    if (ties == 1 || random.below(ties) == 0)
      oldest = UpstreamIndex{n};
  }
  return oldest;
}

bool Prober::mayWrite(ProbeId id, TimePoint now) {
  const auto it = Running.find(id);
  if (it == Running.end() || it->second.SentAt)
    return false;
  it->second.SentAt = now;
  return true;
}

void Prober::didWrite(ProbeId id, TimePoint now) {
  const auto it = Running.find(id);
  if (it == Running.end() || it->second.IsWritten)
    return;
  it->second.IsWritten = true;
  Budget.didWrite(it->second.Upstream, now);
}

std::optional<Probe> Prober::finish(ProbeId id, TimePoint now) {
  const auto it = Running.find(id);
  if (it == Running.end())
    return std::nullopt;
  const Probe probe = it->second;
  Running.erase(it);
  // A probe that ended without a reported write counts against the budget too, because it may have
  // been written, or a connection opened for it.
  if (!probe.IsWritten)
    Budget.didWrite(probe.Upstream, now);
  return probe;
}

std::vector<UpstreamIndex> Prober::expire(TimePoint now) {
  std::vector<UpstreamIndex> expired;
  for (auto it = Running.begin(); it != Running.end();) {
    const Probe probe = it->second;
    // The permit of a write that has begun stays taken until the I/O layer reports the end of the
    // write, because the upstream may receive the probe later than now.
    const bool isBeingWritten = probe.SentAt && !probe.IsWritten;
    if (isBeingWritten || now - probe.StartedAt < ProbeTimeout) {
      ++it;
      continue;
    }
    it = Running.erase(it);
    expired.push_back(probe.Upstream);
    if (!probe.IsWritten)
      Budget.didWrite(probe.Upstream, now);
  }
  return expired;
}

} // namespace wigeonlift
