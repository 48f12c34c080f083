#include <LibBalance/LibBalance.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
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
    upstreamInfos.push_back(
        {.Index = UpstreamIndex{n + 1}, .IsInLocalDataCentre = n % 4 == dataCentre, .Slots = 3});
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

} // namespace wigeonlift
