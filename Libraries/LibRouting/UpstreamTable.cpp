#include <LibRouting/UpstreamTable.h>

#include <xxhash.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Follows a burst within a few reports; a slower mean makes upstreams that were not heard of lately
// look idle.
constexpr double MeanSmoothing = 0.3;

// A subset is at least this large, and each upstream is in the subsets of some 12 VMs, so that the
// subsets together load the upstreams evenly.
constexpr std::size_t MinSubset = 32;
constexpr std::size_t VmsPerUpstream = 12;
// Of a large subset a few are compared; more bring little (section 7.7).
constexpr std::size_t MaxCompared = 64;
constexpr std::size_t Sampled = 32;

// A warming upstream gets this part of its slots at first and all of them after the ramp. The ramp
// only covers the time until the upstream's own latencies show how slow it is; with 5 s it counted
// twice, and the upstream stood nearly idle at high load.
constexpr double FirstWarmPart = 0.25;
constexpr Duration WarmRamp = std::chrono::seconds(2);

} // namespace

UpstreamIndex UpstreamTable::add(std::string_view name) {
  Upstreams.emplace_back().Rank = XXH3_64bits_withSeed(name.data(), name.size(), Seed);
  return UpstreamIndex{static_cast<std::uint32_t>(Upstreams.size() - 1)};
}

void UpstreamTable::updateSubset() {
  Subset.clear();
  for (std::uint32_t n = 0; n < Upstreams.size(); ++n)
    if (Upstreams[n].IsListed)
      Subset.push_back(UpstreamIndex{n});
  const auto vms = static_cast<std::size_t>(std::max(1, Limits.EntryVms));
  const std::size_t size = std::max(MinSubset, (Subset.size() * VmsPerUpstream + vms - 1) / vms);
  if (size < Subset.size()) {
    // Rendezvous hashing: a change of the list changes few places of a subset.
    const auto rank = [this](UpstreamIndex n) { return Upstreams[n.Value].Rank; };
    std::ranges::nth_element(Subset, Subset.begin() + static_cast<std::ptrdiff_t>(size),
                             std::greater{}, rank);
    Subset.resize(size);
    std::ranges::sort(Subset);
  }
  for (Upstream &it : Upstreams)
    it.IsInSubset = false;
  for (const UpstreamIndex it : Subset)
    Upstreams[it.Value].IsInSubset = true;
}

bool UpstreamTable::mayReceive(UpstreamIndex n, TimePoint now) const {
  return Upstreams[n.Value].mayReceive(now, Limits.PermissionLifetime);
}

bool UpstreamTable::hasPermission(TimePoint now) const {
  return std::ranges::any_of(
      Upstreams, [&](const Upstream &it) { return it.mayReceive(now, Limits.PermissionLifetime); });
}

std::span<const Candidate> UpstreamTable::candidates(const CandidateQuery &query, Random &random,
                                                     TimePoint now) {
  Found.clear();
  if (query.IsExport && OwnExports >= ownExportLimit())
    return Found;
  if (Subset.size() > MaxCompared)
    sample(query, random, now);
  if (Found.empty())
    collect(query, false, false, now);
  if (query.NeedsIdleSlot)
    return Found;
  if (Found.empty() && !query.Avoided.empty())
    collect(query, true, false, now);
  if (Found.empty() && query.LeavesOutEjected)
    collect(query, true, true, now);
  return Found;
}

int UpstreamTable::ownExportLimit() const {
  // All VMs together leave half of the slots to short calls.
  const auto slots = static_cast<int>(Subset.size()) * Limits.Slots;
  return std::max(1, slots / (2 * std::max(1, Limits.EntryVms)));
}

void UpstreamTable::didStartExport(UpstreamIndex n) {
  ++Upstreams[n.Value].OwnExports;
  ++OwnExports;
}

void UpstreamTable::didEndExport(UpstreamIndex n) {
  --Upstreams[n.Value].OwnExports;
  --OwnExports;
}

std::optional<UpstreamIndex> UpstreamTable::findDueTrial(std::span<const UpstreamIndex> avoided,
                                                         bool isRepeatable, TimePoint now) {
  std::erase_if(Ejected,
                [this](UpstreamIndex n) { return !Upstreams[n.Value].Health.isEjected(); });
  for (const UpstreamIndex it : Ejected)
    if (Upstreams[it.Value].Health.mayTry(isRepeatable, now) && mayReceive(it, now) &&
        fits(Upstreams[it.Value], {}) && std::ranges::find(avoided, it) == avoided.end())
      return it;
  return std::nullopt;
}

void UpstreamTable::ejectIfUnhealthy(UpstreamIndex n, TimePoint now) {
  UpstreamHealth &condition = Upstreams[n.Value].Health;
  if (condition.isEjected() || !condition.isSuspect())
    return;
  const auto isEjected = [this](UpstreamIndex it) {
    return Upstreams[it.Value].IsListed && Upstreams[it.Value].Health.isEjected();
  };
  const auto ejected = static_cast<std::size_t>(std::ranges::count_if(Ejected, isEjected));
  if (2 * (ejected + 1) > Subset.size())
    return;
  condition.eject(now);
  if (std::ranges::find(Ejected, n) == Ejected.end())
    Ejected.push_back(n);
}

void UpstreamTable::didReport(UpstreamIndex n, const LoadReport &report, TimePoint observedAt,
                              TimePoint now) {
  Upstream &it = Upstreams[n.Value];
  if (report.State == UpstreamState::Draining) {
    it.Permission.didDrain(observedAt, now);
    return;
  }
  it.Permission.didReportAccepting(observedAt);
  if (report.State == UpstreamState::Ready)
    it.WarmingSince.reset();
  else if (!it.WarmingSince)
    it.WarmingSince = now;
  it.Load.didReport(report, it.OwnInFlight, now);
  if (const auto others = it.Load.reportedOthers())
    MeanOthers += MeanSmoothing * (*others - MeanOthers);
}

void UpstreamTable::discardObservations(TimePoint now) {
  for (Upstream &it : Upstreams) {
    it.Permission.revoke(now);
    it.Load.forget();
  }
}

double UpstreamTable::meanOthers(const Upstream &it, double slots) const {
  // Other VMs, too, send fewer calls to an upstream that is slow or warming. With the mean of all
  // upstreams it would be believed to be busy and stay idle while the others' queues grow.
  return MeanOthers * slots / (Limits.Slots * it.Health.slowness());
}

double UpstreamTable::believedOthers(const Upstream &it, double slots, TimePoint now) const {
  const double byMean = meanOthers(it, slots);
  return byMean + TrustWeight * (it.Load.others(now, byMean, ReportDecay) - byMean);
}

double UpstreamTable::othersInFlight(UpstreamIndex n, TimePoint now) const {
  const Upstream &it = Upstreams[n.Value];
  return believedOthers(it, usableSlots(it, now), now);
}

LatencyEstimate UpstreamTable::estimateLatency(UpstreamIndex n, TimePoint now) const {
  const Upstream &it = Upstreams[n.Value];
  const double slots = usableSlots(it, now);
  const auto turns = [&](double others) {
    return std::max(1.0, (it.OwnInFlight + others + 1) / slots);
  };
  const double byMean = meanOthers(it, slots);
  const double byReport = it.Load.others(now, byMean, ReportDecay);
  return {turns(byMean + TrustWeight * (byReport - byMean)), turns(byReport), turns(byMean)};
}

void UpstreamTable::didAnswer(const LatencyEstimate &turns, double taken) {
  Trust.didAnswer(turns.ByReport, turns.ByMean, taken);
  TrustWeight = Trust.weight();
}

void UpstreamTable::collect(const CandidateQuery &query, bool withAvoided, bool withEjected,
                            TimePoint now) {
  Found.clear();
  for (const UpstreamIndex it : Subset)
    consider(it, query, withAvoided, withEjected, now);
}

void UpstreamTable::sample(const CandidateQuery &query, Random &random, TimePoint now) {
  // A stride over the subset gives distinct upstreams without memory of those taken.
  const std::size_t stride = Subset.size() / Sampled;
  const std::size_t first = random.below(Subset.size());
  for (std::size_t n = 0; n < Sampled; ++n) {
    const std::size_t within = random.below(stride);
    consider(Subset[(first + n * stride + within) % Subset.size()], query, false, false, now);
  }
}

void UpstreamTable::consider(UpstreamIndex n, const CandidateQuery &query, bool withAvoided,
                             bool withEjected, TimePoint now) {
  const Upstream &it = Upstreams[n.Value];
  if (!it.mayReceive(now, Limits.PermissionLifetime) || !fits(it, query))
    return;
  if (!withAvoided && std::ranges::find(query.Avoided, n) != query.Avoided.end())
    return;
  if (query.LeavesOutEjected && !withEjected && it.Health.isEjected())
    return;
  const double slots = usableSlots(it, now);
  const double calls = it.OwnInFlight + believedOthers(it, slots, now);
  if (query.NeedsIdleSlot && calls > slots)
    return;
  Found.push_back({n, it.OwnInFlight, (calls + 1) * it.Health.slowness() / slots});
}

double UpstreamTable::usableSlots(const Upstream &it, TimePoint now) const {
  if (!it.WarmingSince)
    return Limits.Slots;
  const double part = toSeconds(now - *it.WarmingSince) / toSeconds(WarmRamp);
  return Limits.Slots * std::clamp(part, FirstWarmPart, 1.0);
}

bool UpstreamTable::fits(const Upstream &it, const CandidateQuery &query) const {
  if (it.OwnInFlight + (it.IsProbed ? 1 : 0) >= Limits.OwnConnections)
    return false;
  // Exports hold a slot for long; short calls must find the other slots free.
  return !query.IsExport || it.OwnExports < std::max(1, Limits.Slots - 1);
}

} // namespace wigeonlift
