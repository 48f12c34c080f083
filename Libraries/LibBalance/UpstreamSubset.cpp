#include <LibBalance/UpstreamSubset.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

// Enough that some are idle and well while many are busy, slow or gone.
constexpr std::size_t LeastUpstreams = 24;
// A VM with a share s of the requests may choose among this multiple of s times all upstreams.
constexpr double ChoiceFactor = 10;
// Bytes between data centres are dear, but a data centre must not depend on its own upstreams.
constexpr double NearPart = 2.0 / 3;

struct Ranked {
  std::uint64_t Rank;
  const UpstreamInfo *Facts;
};

} // namespace

std::vector<UpstreamInfo> chooseSubset(std::span<const UpstreamInfo> upstreams, std::uint64_t vmKey,
                                       double share) {
  const auto byShare = static_cast<std::size_t>(
      std::ceil(ChoiceFactor * share * static_cast<double>(upstreams.size())));
  const std::size_t wanted = std::max(LeastUpstreams, byShare);
  if (wanted >= upstreams.size())
    return {upstreams.begin(), upstreams.end()};
  std::vector<Ranked> near;
  std::vector<Ranked> far;
  for (const UpstreamInfo &it : upstreams)
    (it.IsInLocalDataCentre ? near : far)
        .push_back({XXH3_64bits_withSeed(&it.Index.Value, sizeof(it.Index.Value), vmKey), &it});
  std::ranges::sort(near, {}, &Ranked::Rank);
  std::ranges::sort(far, {}, &Ranked::Rank);
  const auto nearWanted = static_cast<std::size_t>(NearPart * static_cast<double>(wanted));
  const std::size_t fromFar = std::min(far.size(), wanted - std::min(near.size(), nearWanted));
  const std::size_t fromNear = wanted - fromFar;
  std::vector<UpstreamInfo> result;
  result.reserve(wanted);
  for (const Ranked &it : std::span{near}.first(fromNear))
    result.push_back(*it.Facts);
  for (const Ranked &it : std::span{far}.first(fromFar))
    result.push_back(*it.Facts);
  return result;
}

} // namespace wigeonlift
