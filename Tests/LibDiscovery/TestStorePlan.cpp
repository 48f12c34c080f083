#include <LibDiscovery/LibDiscovery.h>

#include <gtest/gtest.h>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
constexpr double Unit = 0.5;
constexpr StoreRevision Known = 497;

Duration ms(int n) { return std::chrono::milliseconds{n}; }

/// A plan of a VM that reads for its data centre and has seen everything.
StorePlan watchingPlan() {
  StorePlan plan;
  EXPECT_EQ(plan.next(true, Start), StoreStep::ReadAll);
  plan.didReadAll(Start);
  EXPECT_EQ(plan.next(true, Start), StoreStep::Watch);
  plan.didWatch(Start);
  return plan;
}

} // namespace

// Guards against a VM that takes over as reader while it is cut off from the store, and learns that
// only when its watch times out: on kapokki-gw-grown scale-2 three data centres used a
// configuration for 4 s too long.
TEST(StorePlan, AReaderThatTakesOverChecksTheStoreFirst) {
  StorePlan plan = watchingPlan();
  EXPECT_EQ(plan.next(false, Start + ms(500)), StoreStep::Follow);
  EXPECT_EQ(plan.next(true, Start + ms(800)), StoreStep::Check);
  plan.didFail(StoreFailure::Unreachable, Start + ms(1400));
  EXPECT_TRUE(plan.isLost());
}

// Guards against a watch that hears nothing because the store has dropped its history: changes of
// that time were only found when the watch timed out.
TEST(StorePlan, ReadsAllWhenACheckShowsThatSomethingWasMissed) {
  StorePlan plan = watchingPlan();
  EXPECT_EQ(plan.next(true, Start + ms(500)), StoreStep::Watch);
  plan.didFail(StoreFailure::Unreachable, Start + ms(1500));
  EXPECT_EQ(plan.pause(Unit), Duration::zero());
  EXPECT_EQ(plan.next(true, Start + ms(1500)), StoreStep::Check);
  plan.didCheck(Known + 1, Known, Start + ms(1510));
  EXPECT_EQ(plan.pause(Unit), Duration::zero());
  EXPECT_EQ(plan.next(true, Start + ms(1510)), StoreStep::ReadAll);
  plan.didReadAll(Start + ms(1530));
  EXPECT_EQ(plan.next(true, Start + ms(2030)), StoreStep::Watch);
  EXPECT_FALSE(plan.isLost());
}

// Guards against a reader that gives its role away, and makes another one read, because a single
// watch was cut while the store is well.
TEST(StorePlan, ACutWatchAloneIsNoLoss) {
  StorePlan plan = watchingPlan();
  EXPECT_EQ(plan.next(true, Start), StoreStep::Watch);
  plan.didFail(StoreFailure::Unreachable, Start + ms(200));
  EXPECT_FALSE(plan.isLost());
  EXPECT_EQ(plan.next(true, Start + ms(200)), StoreStep::Check);
  plan.didCheck(Known, Known, Start + ms(205));
  EXPECT_FALSE(plan.isLost());
  EXPECT_EQ(plan.next(true, Start + ms(205)), StoreStep::Watch);
}

// Guards against a short outage that no call but a silent watch has seen: the entries that lapsed
// in it must not count as removed before they had time to return.
TEST(StorePlan, ASilentWatchMayHideAnOutage) {
  StorePlan plan = watchingPlan();
  EXPECT_EQ(plan.next(true, Start), StoreStep::Watch);
  plan.didFail(StoreFailure::Silent, Start + ms(2500));
  EXPECT_TRUE(plan.isLost());
  EXPECT_EQ(plan.next(true, Start + ms(2500)), StoreStep::Check);
  plan.didCheck(Known, Known, Start + ms(2510));
  EXPECT_TRUE(plan.isRecovering());
  EXPECT_EQ(plan.next(true, Start + ms(2510)), StoreStep::Watch);
  plan.didWatch(Start + ms(4500));
  EXPECT_TRUE(plan.isLost());
  EXPECT_EQ(plan.next(true, Start + ms(5000)), StoreStep::Watch);
  plan.didWatch(Start + ms(5000));
  EXPECT_FALSE(plan.isLost());
}

// Guards against calls without a pause to a store that cuts every watch but answers checks.
TEST(StorePlan, WatchesThatAreCutAgainAndAgainGetAPause) {
  StorePlan plan = watchingPlan();
  for (int n = 0; n < 2; ++n) {
    EXPECT_EQ(plan.next(true, Start), StoreStep::Watch);
    plan.didFail(StoreFailure::Unreachable, Start);
    EXPECT_EQ(plan.next(true, Start), StoreStep::Check);
    plan.didCheck(Known, Known, Start);
  }
  EXPECT_GE(plan.pause(Unit), ms(200));
}

// Guards against missing what happened in a gap of the history.
TEST(StorePlan, ReadsAllWhenTheHistoryIsLost) {
  StorePlan plan = watchingPlan();
  EXPECT_EQ(plan.next(true, Start), StoreStep::Watch);
  plan.didFail(StoreFailure::HistoryIsLost, Start + ms(10));
  EXPECT_EQ(plan.pause(Unit), Duration::zero());
  EXPECT_EQ(plan.next(true, Start + ms(10)), StoreStep::ReadAll);
  EXPECT_FALSE(plan.isLost());
}

// Guards against calls that a store which is down must answer as fast as they fail, and against
// removals that are taken as final before lapsed entries had time to return.
TEST(StorePlan, WaitsLongerAfterEachFailureAndStaysLostUntilLapsedEntriesAreBack) {
  StorePlan plan = watchingPlan();
  EXPECT_EQ(plan.next(true, Start), StoreStep::Watch);
  plan.didFail(StoreFailure::Unreachable, Start);
  Duration last{};
  for (int n = 0; n < 6; ++n) {
    EXPECT_EQ(plan.next(true, Start), StoreStep::Check);
    plan.didFail(StoreFailure::Unreachable, Start);
    EXPECT_GE(plan.pause(Unit), last);
    last = plan.pause(Unit);
  }
  EXPECT_LE(last, std::chrono::seconds{1});
  EXPECT_EQ(plan.next(true, Start), StoreStep::Check);
  plan.didCheck(Known, Known, Start);
  EXPECT_TRUE(plan.isLost());
  EXPECT_TRUE(plan.isRecovering());
  EXPECT_EQ(plan.next(true, Start), StoreStep::Watch);
  plan.didWatch(Start + ms(1000));
  EXPECT_TRUE(plan.isLost());
  EXPECT_EQ(plan.next(true, Start + ms(2500)), StoreStep::Watch);
  plan.didWatch(Start + ms(2500));
  EXPECT_FALSE(plan.isLost());
}

// Guards against a VM that the store refused and that is asked to read again at once, and against
// one that never reads again.
TEST(StorePlan, AFollowerForgetsItsFailureAfterAWhile) {
  StorePlan plan = watchingPlan();
  EXPECT_EQ(plan.next(true, Start), StoreStep::Watch);
  plan.didFail(StoreFailure::Unreachable, Start);
  EXPECT_EQ(plan.next(true, Start), StoreStep::Check);
  plan.didFail(StoreFailure::Unreachable, Start);
  EXPECT_EQ(plan.next(false, Start + ms(1000)), StoreStep::Follow);
  EXPECT_TRUE(plan.isLost());
  EXPECT_EQ(plan.next(false, Start + ms(6500)), StoreStep::Follow);
  EXPECT_FALSE(plan.isLost());
}

} // namespace wigeonlift
