#include <LibBalance/UpstreamSubset.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

// Large enough that some upstreams are idle and healthy while many are busy, slow or gone.
constexpr std::size_t MinSubsetSize = 24;
// About how many VMs have each upstream in their subset. The size of a subset is this number times
// the VM's share of the requests times the number of upstreams, but at least `MinSubsetSize`.
constexpr double TargetVmsPerUpstream = 10;
// Traffic between data centres is expensive, but a VM must not depend on the upstreams of its own
// data centre alone.
constexpr double LocalFraction = 2.0 / 3;

struct RankedUpstream {
  std::uint64_t Rank;
  const UpstreamInfo *Info;
};

} // namespace

std::vector<UpstreamInfo> chooseSubset(std::span<const UpstreamInfo> upstreams, std::uint64_t vmKey,
                                       double requestShare) {
  const auto sizeByShare = static_cast<std::size_t>(
      std::ceil(TargetVmsPerUpstream * requestShare * static_cast<double>(upstreams.size())));
  const std::size_t subsetSize = std::max(MinSubsetSize, sizeByShare);
  if (subsetSize >= upstreams.size())
    return {upstreams.begin(), upstreams.end()};
  std::vector<RankedUpstream> local;
  std::vector<RankedUpstream> remote;
  for (const UpstreamInfo &it : upstreams)
    (it.IsInLocalDataCentre ? local : remote)
        .push_back({XXH3_64bits_withSeed(&it.Index.Value, sizeof(it.Index.Value), vmKey), &it});
  std::ranges::sort(local, {}, &RankedUpstream::Rank);
  std::ranges::sort(remote, {}, &RankedUpstream::Rank);
  const auto wantedLocal =
      static_cast<std::size_t>(LocalFraction * static_cast<double>(subsetSize));
  const std::size_t remoteCount =
      std::min(remote.size(), subsetSize - std::min(local.size(), wantedLocal));
  const std::size_t localCount = subsetSize - remoteCount;
  std::vector<UpstreamInfo> result;
  result.reserve(subsetSize);
  for (const RankedUpstream &it : std::span{local}.first(localCount))
    result.push_back(*it.Info);
  for (const RankedUpstream &it : std::span{remote}.first(remoteCount))
    result.push_back(*it.Info);
  return result;
}

std::vector<UpstreamInfo> chooseSubset(std::span<const UpstreamInfo> upstreams,
                                       const UpstreamLimits &limits, std::uint64_t vmKey,
                                       double requestShare, TimePoint now) {
  if (limits.isEmpty())
    return chooseSubset(upstreams, vmKey, requestShare);
  std::vector<UpstreamInfo> held;
  std::vector<UpstreamInfo> others;
  for (const UpstreamInfo &it : upstreams) {
    if (limits.isWithheld(it.Index, now))
      continue;
    const bool hasKnownLimit =
        limits.requestsPerSecond(it.Index).has_value() || limits.isCold(it.Index, now);
    const bool isHeld = hasKnownLimit ? limits.heldShares(it.Index, now) > 0
                                      : limits.size() > 0 && limits.wouldHoldShares(it.FleetKey);
    (isHeld ? held : others).push_back(it);
  }
  // The balancer refuses requests with a better reason than that there is no upstream.
  if (held.empty() && others.empty())
    return chooseSubset(upstreams, vmKey, requestShare);
  std::vector<UpstreamInfo> result = chooseSubset(others, vmKey, requestShare);
  result.insert(result.end(), held.begin(), held.end());
  return result;
}

} // namespace wigeonlift
