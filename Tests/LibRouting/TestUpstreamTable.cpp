#include <LibRouting/LibRouting.h>

#include <gtest/gtest.h>

#include <string>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now = TimePoint{} + 10s;
constexpr LoadReport IdleReport{0, 0, 3, UpstreamState::Ready};

UpstreamTable makeTable(int upstreams, std::uint64_t seed = 1) {
  UpstreamTable table(seed);
  table.setLimits({3, 20, 10, 2500ms});
  for (int n = 0; n < upstreams; ++n) {
    const UpstreamIndex index = table.add("up" + std::to_string(n));
    table[index].IsListed = true;
    table.didReport(index, IdleReport, Now, Now);
  }
  table.updateSubset();
  return table;
}

int subsetSize(const UpstreamTable &table) {
  int n = 0;
  for (std::uint32_t it = 0; it < table.size(); ++it)
    n += table[UpstreamIndex{it}].IsInSubset ? 1 : 0;
  return n;
}

void failRepeatedly(UpstreamTable &table, UpstreamIndex n) {
  for (int times = 0; times < 10; ++times) {
    table[n].Health.didFail();
    table.ejectIfUnhealthy(n, Now);
  }
}

} // namespace

// Guards against a fault common to all upstreams ejecting all of them.
TEST(UpstreamTable, EjectsAtMostHalf) {
  UpstreamTable table = makeTable(5);
  int ejected = 0;
  for (std::uint32_t n = 0; n < 5; ++n) {
    failRepeatedly(table, UpstreamIndex{n});
    ejected += table[UpstreamIndex{n}].Health.isEjected() ? 1 : 0;
  }
  EXPECT_EQ(ejected, 2);
  Random random(1);
  EXPECT_EQ(table.candidates({{}, false, false, true}, random, Now).size(), 3U);
}

// Guards against wrong trial calls to an ejected upstream: two at a time, the next one without a
// longer delay, one without a free connection, or none at all when no call is idempotent.
TEST(UpstreamTable, StartsTrialsAfterAGrowingDelay) {
  UpstreamTable table = makeTable(4);
  failRepeatedly(table, UpstreamIndex{0});
  UpstreamHealth &health = table[UpstreamIndex{0}].Health;
  EXPECT_FALSE(table.findDueTrial({}, true, Now));
  table[UpstreamIndex{0}].OwnInFlight = 10;
  EXPECT_FALSE(table.findDueTrial({}, true, Now + 500ms));
  table[UpstreamIndex{0}].OwnInFlight = 0;
  EXPECT_TRUE(table.findDueTrial({}, true, Now + 500ms));
  EXPECT_FALSE(table.findDueTrial({}, false, Now + 999ms));
  EXPECT_TRUE(table.findDueTrial({}, false, Now + 1s));
  health.didStartTrial();
  EXPECT_FALSE(table.findDueTrial({}, true, Now + 501ms));
  health.didFailTrial(Now + 501ms);
  EXPECT_FALSE(table.findDueTrial({}, true, Now + 1500ms));
  EXPECT_TRUE(table.findDueTrial({}, true, Now + 1501ms));
  health.didPassTrial(Now + 1501ms);
  EXPECT_FALSE(health.isEjected());
}

// Guards against the removal of one upstream changing much of a subset, and against all VMs having
// the same subset.
TEST(UpstreamTable, SubsetIsStableAndDiffersBetweenVms) {
  UpstreamTable table = makeTable(300);
  UpstreamTable other = makeTable(300, 2);
  EXPECT_EQ(subsetSize(table), 180);
  std::vector<bool> before;
  int inBothSubsets = 0;
  for (std::uint32_t n = 0; n < 300; ++n) {
    before.push_back(table[UpstreamIndex{n}].IsInSubset);
    inBothSubsets += before[n] && other[UpstreamIndex{n}].IsInSubset ? 1 : 0;
  }
  EXPECT_LT(inBothSubsets, 150);
  table[UpstreamIndex{7}].IsListed = false;
  table.updateSubset();
  int changedUpstreams = 0;
  for (std::uint32_t n = 0; n < 300; ++n)
    changedUpstreams += before[n] != table[UpstreamIndex{n}].IsInSubset ? 1 : 0;
  EXPECT_LE(changedUpstreams, 3);
}

// Guards against counting this VM's own calls twice, and against using old reports.
TEST(LoadEstimate, ExcludesOwnCallsAndDecays) {
  LoadEstimate load;
  load.didReport({3, 2, 3, UpstreamState::Ready}, 2, Now);
  EXPECT_DOUBLE_EQ(load.expectedOtherCalls(Now, 1, 10ms), 3);
  EXPECT_NEAR(load.expectedOtherCalls(Now + 1s, 1, 10ms), 1, 1e-6);
  load.didReport({0, 0, 3, UpstreamState::Ready}, 0, Now - 1ms);
  EXPECT_DOUBLE_EQ(load.expectedOtherCalls(Now, 1, 10ms), 3);
}

// Guards against a warming upstream getting as many calls as a warm one.
TEST(UpstreamTable, WarmingUpstreamCountsFewerSlots) {
  UpstreamTable table = makeTable(2);
  table.didReport(UpstreamIndex{0}, {0, 0, 3, UpstreamState::Warming}, Now, Now);
  Random random(1);
  const auto found = table.candidates({}, random, Now);
  ASSERT_EQ(found.size(), 2U);
  EXPECT_GT(found[0].Load, 3 * found[1].Load);
}

// Guards against a slow or warming upstream staying idle while the others have long queues, because
// it is assumed to have as many calls of other VMs as they have.
TEST(UpstreamTable, SlowUpstreamIsEstimatedToHaveFewerCalls) {
  UpstreamTable table = makeTable(3);
  for (int times = 0; times < 20; ++times)
    table[UpstreamIndex{1}].Health.didAnswer(10);
  table.didReport(UpstreamIndex{2}, {0, 0, 3, UpstreamState::Warming}, Now, Now);
  for (int times = 0; times < 50; ++times)
    table.didReport(UpstreamIndex{0}, {3, 57, 3, UpstreamState::Ready}, Now, Now);
  Random random(1);
  const auto found = table.candidates({}, random, Now + 100ms);
  ASSERT_EQ(found.size(), 3U);
  EXPECT_LT(found[1].Load, 2 * found[0].Load);
  EXPECT_LT(found[2].Load, 2 * found[0].Load);
}

// Guards against all VMs choosing the same upstreams by outdated reports, and against ignoring
// accurate reports.
TEST(ReportTrust, FollowsTheAccuracyOfReports) {
  ReportTrust trust;
  EXPECT_DOUBLE_EQ(trust.weight(), 1);
  for (int n = 0; n < 500; ++n)
    trust.didAnswer(n % 2 == 0 ? 2 : 8, 4, 4);
  EXPECT_LT(trust.weight(), 0.1);
  for (int n = 0; n < 1000; ++n)
    trust.didAnswer(n % 2 == 0 ? 2 : 8, 4, n % 2 == 0 ? 2 : 8);
  EXPECT_GT(trust.weight(), 0.9);
}

// Guards against an upstream that keeps reporting that it is warming staying idle at high load.
TEST(UpstreamTable, WarmingUpstreamCountsAllSlotsAfterTheRamp) {
  UpstreamTable table = makeTable(2);
  table.didReport(UpstreamIndex{0}, {0, 0, 3, UpstreamState::Warming}, Now, Now);
  Random random(1);
  const auto found = table.candidates({}, random, Now + 2s);
  ASSERT_EQ(found.size(), 2U);
  EXPECT_DOUBLE_EQ(found[0].Load, found[1].Load);
}

// Guards against more connections than this VM's share of the upstream's limit.
TEST(UpstreamTable, LeavesOutUpstreamsWithoutAFreeConnection) {
  UpstreamTable table = makeTable(1);
  table[UpstreamIndex{0}].OwnInFlight = 9;
  Random random(1);
  EXPECT_EQ(table.candidates({}, random, Now).size(), 1U);
  table[UpstreamIndex{0}].IsProbed = true;
  EXPECT_TRUE(table.candidates({}, random, Now).empty());
}
