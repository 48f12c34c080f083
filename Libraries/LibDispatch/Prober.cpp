#include <LibDispatch/Prober.h>

namespace wigeonlift {

namespace {

// An upstream that has not answered a probe in this time counts as not answering.
constexpr Duration ProbeTimeout = std::chrono::seconds(1);
// How often unused permits are looked at; a fraction of the life of a permission.
constexpr Duration CheckPeriod = std::chrono::milliseconds(250);

} // namespace

void Prober::setBudget(const ProbeBudgetSpec &spec, int maxEntryVms, TimePoint now) {
  Budget.setBudget(spec, maxEntryVms, now);
}

void Prober::growTo(std::size_t upstreams, TimePoint now) {
  Budget.growTo(upstreams, now);
  Started.resize(upstreams);
}

TimePoint Prober::nextCheck(TimePoint now) const {
  if (!Running.empty())
    return now + CheckPeriod;
  const TimePoint permit = Budget.nextPermit();
  return permit > now ? permit : now + CheckPeriod;
}

std::optional<StartProbe> Prober::startMostUseful(UpstreamTable &table, Random &random,
                                                  TimePoint now) {
  if (!Budget.hasServicePermit(now))
    return std::nullopt;
  const auto upstream = mostUseful(table, random, now);
  if (!upstream)
    return std::nullopt;
  Budget.takePermit(*upstream);
  ++Started[upstream->Value];
  table[*upstream].IsProbed = true;
  const ProbeId id{NextProbe++};
  Running[id] = Probe{*upstream, std::nullopt, now, false};
  return StartProbe{id, *upstream};
}

std::optional<UpstreamIndex> Prober::mostUseful(const UpstreamTable &table, Random &random,
                                                TimePoint now) const {
  // A probe changes a decision where a permission has ended or is about to. Ties are broken at
  // random, so that VMs that start together learn of different upstreams.
  std::optional<UpstreamIndex> oldest;
  TimePoint oldestSince = now - table.limits().PermissionLife * 3 / 4;
  std::size_t ties = 0;
  for (std::uint32_t n = 0; n < table.size(); ++n) {
    const Upstream &it = table[UpstreamIndex{n}];
    if (!it.IsListed || it.IsLeaving || it.IsProbed || !it.IsInSubset ||
        !Budget.hasPermit(UpstreamIndex{n}, now))
      continue;
    const TimePoint since = it.Right.takesWorkSince().value_or(TimePoint::min());
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
  // A probe that may have been written, or for which a connection may have been opened, is spent.
  if (!probe.IsWritten)
    Budget.didWrite(probe.Upstream, now);
  return probe;
}

std::vector<UpstreamIndex> Prober::expire(TimePoint now) {
  std::vector<UpstreamIndex> expired;
  for (auto it = Running.begin(); it != Running.end();) {
    const Probe probe = it->second;
    // The permit of a write that has begun stays taken until the shell says that it ended, because
    // the write may be seen later than now.
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
