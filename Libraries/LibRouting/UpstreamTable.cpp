#include <LibRouting/UpstreamTable.h>

#include <xxhash.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Follows a burst within a few reports. With a slower mean, upstreams without a recent report would
// look idle during the burst.
constexpr double MeanSmoothing = 0.3;

// A subset has at least 32 upstreams, and each upstream is in the subsets of about 12 VMs, so that
// all VMs together load the upstreams evenly.
constexpr std::size_t MinSubsetSize = 32;
constexpr std::size_t VmsPerUpstream = 12;
// In a subset of more than 64 upstreams, a sample of 32 is compared. Comparing more of them
// improves the choice little (section 7.7 of the design).
constexpr std::size_t MaxFullyCompared = 64;
constexpr std::size_t SampleSize = 32;

// A warming upstream counts with this fraction of its slots at first and with all of them after the
// ramp. The ramp only covers the time until the upstream's own latencies show how slow it is. With
// a ramp of 5 s, the warm-up counted twice and left the upstream nearly idle at high load.
constexpr double InitialWarmingFraction = 0.25;
constexpr Duration WarmingRamp = std::chrono::seconds(2);

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
  const auto vms = static_cast<std::size_t>(std::max(1, Limits.MaxEntryVms));
  const std::size_t size =
      std::max(MinSubsetSize, (Subset.size() * VmsPerUpstream + vms - 1) / vms);
  if (size < Subset.size()) {
    // Rendezvous hashing: a change of the upstream list changes few upstreams of a subset.
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
  Candidates.clear();
  if (query.IsExport && OwnExports >= maxOwnExports())
    return Candidates;
  if (Subset.size() > MaxFullyCompared)
    collectFromSample(query, random, now);
  if (Candidates.empty())
    collectFromSubset(query, false, false, now);
  if (query.NeedsIdleSlot)
    return Candidates;
  if (Candidates.empty() && !query.Avoided.empty())
    collectFromSubset(query, true, false, now);
  if (Candidates.empty() && query.LeavesOutEjected)
    collectFromSubset(query, true, true, now);
  return Candidates;
}

int UpstreamTable::maxOwnExports() const {
  // Exports of all VMs together leave half of the slots to short calls, unless that is less than
  // one export per VM.
  const auto slots = static_cast<int>(Subset.size()) * Limits.Slots;
  return std::max(1, slots / (2 * std::max(1, Limits.MaxEntryVms)));
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
    if (Upstreams[it.Value].Health.mayStartTrial(isRepeatable, now) && mayReceive(it, now) &&
        hasCapacityFor(Upstreams[it.Value], {}) && std::ranges::find(avoided, it) == avoided.end())
      return it;
  return std::nullopt;
}

void UpstreamTable::ejectIfUnhealthy(UpstreamIndex n, TimePoint now) {
  UpstreamHealth &health = Upstreams[n.Value].Health;
  if (health.isEjected() || !health.isUnhealthy())
    return;
  const auto isEjected = [this](UpstreamIndex it) {
    return Upstreams[it.Value].IsListed && Upstreams[it.Value].Health.isEjected();
  };
  const auto ejected = static_cast<std::size_t>(std::ranges::count_if(Ejected, isEjected));
  if (2 * (ejected + 1) > Subset.size())
    return;
  health.eject(now);
  if (std::ranges::find(Ejected, n) == Ejected.end())
    Ejected.push_back(n);
}

void UpstreamTable::didReport(UpstreamIndex n, const LoadReport &report, TimePoint observedAt,
                              TimePoint now) {
  Upstream &it = Upstreams[n.Value];
  if (report.State == UpstreamState::Draining) {
    it.Permission.didReportDraining(observedAt, now);
    return;
  }
  it.Permission.didReportAccepting(observedAt);
  if (report.State == UpstreamState::Ready)
    it.WarmingSince.reset();
  else if (!it.WarmingSince)
    it.WarmingSince = now;
  it.Load.didReport(report, it.OwnInFlight, now);
  if (const auto others = it.Load.reportedOtherCalls())
    MeanOtherCalls += MeanSmoothing * (*others - MeanOtherCalls);
}

void UpstreamTable::discardObservations(TimePoint now) {
  for (Upstream &it : Upstreams) {
    it.Permission.revoke(now);
    it.Load.forget();
  }
}

double UpstreamTable::meanOtherCalls(const Upstream &it, double slots) const {
  // Other VMs also send fewer calls to an upstream that is slow or warming. With the unscaled mean,
  // such an upstream would seem busy and stay idle while the queues of the others grow.
  return MeanOtherCalls * slots / (Limits.Slots * it.Health.slowness());
}

double UpstreamTable::estimatedOtherCalls(const Upstream &it, double slots, TimePoint now) const {
  const double byMean = meanOtherCalls(it, slots);
  return byMean + TrustWeight * (it.Load.expectedOtherCalls(now, byMean, ReportDecay) - byMean);
}

double UpstreamTable::othersInFlight(UpstreamIndex n, TimePoint now) const {
  const Upstream &it = Upstreams[n.Value];
  return estimatedOtherCalls(it, usableSlots(it, now), now);
}

LatencyEstimate UpstreamTable::estimateLatency(UpstreamIndex n, TimePoint now) const {
  const Upstream &it = Upstreams[n.Value];
  const double slots = usableSlots(it, now);
  const auto estimate = [&](double others) {
    return std::max(1.0, (it.OwnInFlight + others + 1) / slots);
  };
  const double byMean = meanOtherCalls(it, slots);
  const double byReport = it.Load.expectedOtherCalls(now, byMean, ReportDecay);
  return {estimate(byMean + TrustWeight * (byReport - byMean)), estimate(byReport),
          estimate(byMean)};
}

void UpstreamTable::didAnswer(const LatencyEstimate &estimate, double observed) {
  Trust.didAnswer(estimate.WithReport, estimate.WithoutReport, observed);
  TrustWeight = Trust.weight();
}

void UpstreamTable::collectFromSubset(const CandidateQuery &query, bool withAvoided,
                                      bool withEjected, TimePoint now) {
  Candidates.clear();
  for (const UpstreamIndex it : Subset)
    addIfEligible(it, query, withAvoided, withEjected, now);
}

void UpstreamTable::collectFromSample(const CandidateQuery &query, Random &random, TimePoint now) {
  // One upstream from each stride of the subset gives distinct upstreams without recording those
  // already drawn.
  const std::size_t stride = Subset.size() / SampleSize;
  const std::size_t first = random.below(Subset.size());
  for (std::size_t n = 0; n < SampleSize; ++n) {
    const std::size_t offset = random.below(stride);
    addIfEligible(Subset[(first + n * stride + offset) % Subset.size()], query, false, false, now);
  }
}

void UpstreamTable::addIfEligible(UpstreamIndex n, const CandidateQuery &query, bool withAvoided,
                                  bool withEjected, TimePoint now) {
  const Upstream &it = Upstreams[n.Value];
  if (!it.mayReceive(now, Limits.PermissionLifetime) || !hasCapacityFor(it, query))
    return;
  if (!withAvoided && std::ranges::find(query.Avoided, n) != query.Avoided.end())
    return;
  if (query.LeavesOutEjected && !withEjected && it.Health.isEjected())
    return;
  const double slots = usableSlots(it, now);
  const double calls = it.OwnInFlight + estimatedOtherCalls(it, slots, now);
  if (query.NeedsIdleSlot && calls > slots)
    return;
  Candidates.push_back({n, it.OwnInFlight, (calls + 1) * it.Health.slowness() / slots});
}

double UpstreamTable::usableSlots(const Upstream &it, TimePoint now) const {
  if (!it.WarmingSince)
    return Limits.Slots;
  const double fraction = toSeconds(now - *it.WarmingSince) / toSeconds(WarmingRamp);
  return Limits.Slots * std::clamp(fraction, InitialWarmingFraction, 1.0);
}

bool UpstreamTable::hasCapacityFor(const Upstream &it, const CandidateQuery &query) const {
  if (it.OwnInFlight + (it.IsProbed ? 1 : 0) >= Limits.MaxOwnConnections)
    return false;
  // Exports occupy a slot for a long time, so one slot is left to short calls if there are several.
  return !query.IsExport || it.OwnExports < std::max(1, Limits.Slots - 1);
}

} // namespace wigeonlift
