#include <LibBalance/LibBalance.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ranges>
#include <set>

namespace wigeonlift {

namespace {

constexpr std::uint32_t UpstreamCount = 264;
constexpr std::uint64_t VmCount = 136;
constexpr double SmallShare = 0.005;

/// Creates upstreams that are spread over four data centres, as seen by a VM in `dataCentre`.
std::vector<UpstreamInfo> makeUpstreams(std::uint32_t count, std::uint64_t dataCentre = 0) {
  std::vector<UpstreamInfo> upstreamInfos;
  for (std::uint32_t n = 0; n < count; ++n)
    upstreamInfos.push_back({.Index = UpstreamIndex{n + 1},
                             .FleetKey = n + 1,
                             .IsInLocalDataCentre = n % 4 == dataCentre,
                             .Slots = 3});
  return upstreamInfos;
}

std::set<UpstreamIndex> indicesOf(const std::vector<UpstreamInfo> &upstreamInfos) {
  std::set<UpstreamIndex> result;
  for (const UpstreamInfo &it : upstreamInfos)
    result.insert(it.Index);
  return result;
}

} // namespace

// Guards against small services in which the only free upstream is outside of a VM's subset.
TEST(UpstreamSubset, SmallServicesAreUsedCompletely) {
  EXPECT_EQ(chooseSubset(makeUpstreams(18), 7, SmallShare).size(), 18U);
}

// Guards against 136 small VMs that each open connections to all 264 upstreams. In the scenario
// kapokki-gw-grown scale-2 this caused 84,000 new connections for 38,000 requests.
TEST(UpstreamSubset, SmallVmsUseFewUpstreamsOfALargeService) {
  std::map<UpstreamIndex, int> vmsPerUpstream;
  for (std::uint64_t vm = 0; vm < VmCount; ++vm) {
    const auto subset = chooseSubset(makeUpstreams(UpstreamCount, vm % 4), vm * 7919, SmallShare);
    EXPECT_LE(subset.size(), 40U);
    EXPECT_EQ(indicesOf(subset).size(), subset.size());
    EXPECT_GE(std::ranges::count(subset, true, &UpstreamInfo::IsInLocalDataCentre), 12);
    EXPECT_GE(std::ranges::count(subset, false, &UpstreamInfo::IsInLocalDataCentre), 6);
    for (const UpstreamInfo &it : subset)
      ++vmsPerUpstream[it.Index];
  }
  // Every upstream is in the subset of at least one VM.
  for (std::uint32_t n = 1; n <= UpstreamCount; ++n)
    EXPECT_GE(vmsPerUpstream[UpstreamIndex{n}], 1) << n;
}

// Guards against a VM with a large share of the requests that overloads a few upstreams.
TEST(UpstreamSubset, TheSubsetGrowsWithTheShareOfRequests) {
  EXPECT_GE(chooseSubset(makeUpstreams(UpstreamCount), 7, 0.05).size(), 120U);
  EXPECT_EQ(chooseSubset(makeUpstreams(UpstreamCount), 7, 1).size(), UpstreamCount);
}

// Guards against reopening all connections when one upstream is removed.
TEST(UpstreamSubset, ChangesLittleWhenAnUpstreamLeaves) {
  auto all = makeUpstreams(UpstreamCount);
  const auto before = indicesOf(chooseSubset(all, 7, SmallShare));
  std::erase_if(all, [&](const UpstreamInfo &it) { return it.Index == *before.begin(); });
  const auto after = indicesOf(chooseSubset(all, 7, SmallShare));
  int kept = 0;
  for (const UpstreamIndex it : before)
    kept += after.contains(it) ? 1 : 0;
  EXPECT_EQ(kept, static_cast<int>(before.size()) - 1);
}

// Guards against subsets that are too small for VMs in a data centre without upstreams.
TEST(UpstreamSubset, RemoteUpstreamsReplaceMissingLocalOnes) {
  auto all = makeUpstreams(UpstreamCount);
  for (UpstreamInfo &it : all)
    it.IsInLocalDataCentre = false;
  EXPECT_GE(chooseSubset(all, 7, SmallShare).size(), 24U);
}

// Guards against VMs that leave most of their shares of rate limits unused, because the upstreams
// are not in their subsets. In a grown fleet 30% of the limits were used: a VM that works with some
// upstreams only didn't learn that others have limits, and that it holds shares of them.
TEST(UpstreamSubset, ContainsTheUpstreamsThatThisVmHoldsSharesOf) {
  constexpr TimePoint now{std::chrono::seconds{1000}};
  const auto upstreams = makeUpstreams(UpstreamCount);
  std::vector<ShareAssignment::Vm> localVms;
  for (std::uint32_t n = 1; n <= VmCount; ++n)
    localVms.push_back({.Address = n});
  UpstreamLimits limits{7};
  limits.setAssignment({localVms.front(), "a", {{.Name = "a"}}, localVms}, now);
  const auto isLimited = [](const UpstreamInfo &it) { return it.Index.Value % 10 < 7; };
  const auto learn = [&](const UpstreamInfo &it) {
    limits.didReport(it.Index, it.FleetKey,
                     {.Kind = RateLimitReport::Content::Limited, .RequestsPerSecond = 2}, now);
  };
  // Each upstream that the VM works with tells it of its limit.
  learn(upstreams[1]);
  std::vector<UpstreamInfo> chosen;
  for (int n = 0; n < 30; ++n) {
    chosen = chooseSubset(upstreams, limits, 7, SmallShare, now);
    std::ranges::for_each(chosen | std::views::filter(isLimited), learn);
  }
  const auto indices = indicesOf(chosen);
  std::size_t held = 0;
  for (const UpstreamInfo &it : upstreams) {
    if (limits.heldShares(it.Index, now) == 0)
      EXPECT_FALSE(isLimited(it) && indices.contains(it.Index));
    else
      held += indices.contains(it.Index) ? 1 : 0;
  }
  // 185 limited upstreams with 4 shares each; some pairs of shares are held by one VM.
  EXPECT_GE(held, 3U);
  int expected = 0;
  for (const UpstreamInfo &it : upstreams)
    expected += isLimited(it) && limits.wouldHoldShares(it.FleetKey) ? 1 : 0;
  EXPECT_EQ(held, static_cast<std::size_t>(expected));
}

} // namespace wigeonlift
