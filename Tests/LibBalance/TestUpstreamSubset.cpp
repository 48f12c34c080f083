#include <LibBalance/LibBalance.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace wigeonlift {

namespace {

constexpr std::uint32_t Upstreams = 264;
constexpr std::uint64_t Vms = 136;
constexpr double SmallShare = 0.005;

/// Upstreams in four data centres, as a VM in one of them sees them.
std::vector<UpstreamInfo> service(std::uint32_t upstreams, std::uint64_t dataCentre = 0) {
  std::vector<UpstreamInfo> facts;
  for (std::uint32_t n = 0; n < upstreams; ++n)
    facts.push_back(
        {.Index = UpstreamIndex{n + 1}, .IsInLocalDataCentre = n % 4 == dataCentre, .Slots = 3});
  return facts;
}

std::set<UpstreamIndex> indexes(const std::vector<UpstreamInfo> &facts) {
  std::set<UpstreamIndex> result;
  for (const UpstreamInfo &it : facts)
    result.insert(it.Index);
  return result;
}

} // namespace

// Guards against small services in which a VM doesn't see the upstream that is free.
TEST(UpstreamSubset, SmallServicesAreUsedAsAWhole) {
  EXPECT_EQ(chooseSubset(service(18), 7, SmallShare).size(), 18U);
}

// Guards against 136 small VMs that each open connections to 264 upstreams: 84,000 new connections
// for 38,000 requests on kapokki-gw-grown scale-2.
TEST(UpstreamSubset, SmallVmsUseFewUpstreamsOfALargeService) {
  std::map<UpstreamIndex, int> users;
  for (std::uint64_t vm = 0; vm < Vms; ++vm) {
    const auto subset = chooseSubset(service(Upstreams, vm % 4), vm * 7919, SmallShare);
    EXPECT_LE(subset.size(), 40U);
    EXPECT_EQ(indexes(subset).size(), subset.size());
    EXPECT_GE(std::ranges::count(subset, true, &UpstreamInfo::IsInLocalDataCentre), 12);
    EXPECT_GE(std::ranges::count(subset, false, &UpstreamInfo::IsInLocalDataCentre), 6);
    for (const UpstreamInfo &it : subset)
      ++users[it.Index];
  }
  // No upstream is left out by all VMs.
  for (std::uint32_t n = 1; n <= Upstreams; ++n)
    EXPECT_GE(users[UpstreamIndex{n}], 1) << n;
}

// Guards against a large VM whose requests crowd a few upstreams.
TEST(UpstreamSubset, TheSubsetGrowsWithTheShareOfRequests) {
  EXPECT_GE(chooseSubset(service(Upstreams), 7, 0.05).size(), 120U);
  EXPECT_EQ(chooseSubset(service(Upstreams), 7, 1).size(), Upstreams);
}

// Guards against connections that are all opened anew when one upstream leaves or the share
// changes.
TEST(UpstreamSubset, ChangesLittleWhenAnUpstreamLeaves) {
  auto all = service(Upstreams);
  const auto before = indexes(chooseSubset(all, 7, SmallShare));
  std::erase_if(all, [&](const UpstreamInfo &it) { return it.Index == *before.begin(); });
  const auto after = indexes(chooseSubset(all, 7, SmallShare));
  int kept = 0;
  for (const UpstreamIndex it : before)
    kept += after.contains(it) ? 1 : 0;
  EXPECT_EQ(kept, static_cast<int>(before.size()) - 1);
}

// Guards against a data centre without upstreams of its own that gets too few.
TEST(UpstreamSubset, FarUpstreamsReplaceMissingNearOnes) {
  auto all = service(Upstreams);
  for (UpstreamInfo &it : all)
    it.IsInLocalDataCentre = false;
  EXPECT_GE(chooseSubset(all, 7, SmallShare).size(), 24U);
}

} // namespace wigeonlift
