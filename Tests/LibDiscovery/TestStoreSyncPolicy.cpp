#include <LibDiscovery/LibDiscovery.h>

#include <gtest/gtest.h>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
constexpr double Unit = 0.5;
constexpr StoreRevision Known = 497;

Duration ms(int n) { return std::chrono::milliseconds{n}; }

/// A plan of a VM that reads for its data centre and has seen everything.
StoreSyncPolicy watchingPlan() {
  StoreSyncPolicy plan;
  EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::ReadAll);
  plan.didReadAll(Start);
  EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::Watch);
  plan.didWatch(Start);
  return plan;
}

} // namespace

// Guards against a VM that takes over as reader while it is cut off from the store, and learns that
// only when its watch times out: on kapokki-gw-grown scale-2 three data centres used a
// configuration for 4 s too long.
TEST(StoreSyncPolicy, AReaderThatTakesOverChecksTheStoreFirst) {
  StoreSyncPolicy plan = watchingPlan();
  EXPECT_EQ(plan.nextStep(false, Start + ms(500)), StoreSyncStep::WaitForPeers);
  EXPECT_EQ(plan.nextStep(true, Start + ms(800)), StoreSyncStep::CheckRevision);
  plan.didFail(StoreFailure::Unreachable, Start + ms(1400));
  EXPECT_TRUE(plan.isDisconnected());
}

// Guards against a watch that hears nothing because the store has dropped its history: changes of
// that time were only found when the watch timed out.
TEST(StoreSyncPolicy, ReadsAllWhenACheckShowsThatSomethingWasMissed) {
  StoreSyncPolicy plan = watchingPlan();
  EXPECT_EQ(plan.nextStep(true, Start + ms(500)), StoreSyncStep::Watch);
  plan.didFail(StoreFailure::Unreachable, Start + ms(1500));
  EXPECT_EQ(plan.pause(Unit), Duration::zero());
  EXPECT_EQ(plan.nextStep(true, Start + ms(1500)), StoreSyncStep::CheckRevision);
  plan.didCheck(Known + 1, Known, Start + ms(1510));
  EXPECT_EQ(plan.pause(Unit), Duration::zero());
  EXPECT_EQ(plan.nextStep(true, Start + ms(1510)), StoreSyncStep::ReadAll);
  plan.didReadAll(Start + ms(1530));
  EXPECT_EQ(plan.nextStep(true, Start + ms(2030)), StoreSyncStep::Watch);
  EXPECT_FALSE(plan.isDisconnected());
}

// Guards against a reader that gives its role away, and makes another one read, because a single
// watch was cut while the store is well.
TEST(StoreSyncPolicy, ACutWatchAloneIsNoLoss) {
  StoreSyncPolicy plan = watchingPlan();
  EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::Watch);
  plan.didFail(StoreFailure::Unreachable, Start + ms(200));
  EXPECT_FALSE(plan.isDisconnected());
  EXPECT_EQ(plan.nextStep(true, Start + ms(200)), StoreSyncStep::CheckRevision);
  plan.didCheck(Known, Known, Start + ms(205));
  EXPECT_FALSE(plan.isDisconnected());
  EXPECT_EQ(plan.nextStep(true, Start + ms(205)), StoreSyncStep::Watch);
}

// Guards against a short outage that no call but a silent watch has seen: the entries that lapsed
// in it must not count as removed before they had time to return.
TEST(StoreSyncPolicy, ASilentWatchMayHideAnOutage) {
  StoreSyncPolicy plan = watchingPlan();
  EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::Watch);
  plan.didFail(StoreFailure::TimedOut, Start + ms(2500));
  EXPECT_TRUE(plan.isDisconnected());
  EXPECT_EQ(plan.nextStep(true, Start + ms(2500)), StoreSyncStep::CheckRevision);
  plan.didCheck(Known, Known, Start + ms(2510));
  EXPECT_TRUE(plan.isRecovering());
  EXPECT_EQ(plan.nextStep(true, Start + ms(2510)), StoreSyncStep::Watch);
  plan.didWatch(Start + ms(4500));
  EXPECT_TRUE(plan.isDisconnected());
  EXPECT_EQ(plan.nextStep(true, Start + ms(5000)), StoreSyncStep::Watch);
  plan.didWatch(Start + ms(5000));
  EXPECT_FALSE(plan.isDisconnected());
}

// Guards against calls without a pause to a store that cuts every watch but answers checks.
TEST(StoreSyncPolicy, WatchesThatAreCutAgainAndAgainGetAPause) {
  StoreSyncPolicy plan = watchingPlan();
  for (int n = 0; n < 2; ++n) {
    EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::Watch);
    plan.didFail(StoreFailure::Unreachable, Start);
    EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::CheckRevision);
    plan.didCheck(Known, Known, Start);
  }
  EXPECT_GE(plan.pause(Unit), ms(200));
}

// Guards against missing what happened in a gap of the history.
TEST(StoreSyncPolicy, ReadsAllWhenTheHistoryIsLost) {
  StoreSyncPolicy plan = watchingPlan();
  EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::Watch);
  plan.didFail(StoreFailure::HistoryUnavailable, Start + ms(10));
  EXPECT_EQ(plan.pause(Unit), Duration::zero());
  EXPECT_EQ(plan.nextStep(true, Start + ms(10)), StoreSyncStep::ReadAll);
  EXPECT_FALSE(plan.isDisconnected());
}

// Guards against calls that a store which is down must answer as fast as they fail, and against
// removals that are taken as final before lapsed entries had time to return.
TEST(StoreSyncPolicy, WaitsLongerAfterEachFailureAndStaysLostUntilLapsedEntriesAreBack) {
  StoreSyncPolicy plan = watchingPlan();
  EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::Watch);
  plan.didFail(StoreFailure::Unreachable, Start);
  Duration last{};
  for (int n = 0; n < 6; ++n) {
    EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::CheckRevision);
    plan.didFail(StoreFailure::Unreachable, Start);
    EXPECT_GE(plan.pause(Unit), last);
    last = plan.pause(Unit);
  }
  EXPECT_LE(last, std::chrono::seconds{1});
  EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::CheckRevision);
  plan.didCheck(Known, Known, Start);
  EXPECT_TRUE(plan.isDisconnected());
  EXPECT_TRUE(plan.isRecovering());
  EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::Watch);
  plan.didWatch(Start + ms(1000));
  EXPECT_TRUE(plan.isDisconnected());
  EXPECT_EQ(plan.nextStep(true, Start + ms(2500)), StoreSyncStep::Watch);
  plan.didWatch(Start + ms(2500));
  EXPECT_FALSE(plan.isDisconnected());
}

// Guards against a VM that the store refused and that is asked to read again at once, and against
// one that never reads again.
TEST(StoreSyncPolicy, AFollowerForgetsItsFailureAfterAWhile) {
  StoreSyncPolicy plan = watchingPlan();
  EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::Watch);
  plan.didFail(StoreFailure::Unreachable, Start);
  EXPECT_EQ(plan.nextStep(true, Start), StoreSyncStep::CheckRevision);
  plan.didFail(StoreFailure::Unreachable, Start);
  EXPECT_EQ(plan.nextStep(false, Start + ms(1000)), StoreSyncStep::WaitForPeers);
  EXPECT_TRUE(plan.isDisconnected());
  EXPECT_EQ(plan.nextStep(false, Start + ms(6500)), StoreSyncStep::WaitForPeers);
  EXPECT_FALSE(plan.isDisconnected());
}

} // namespace wigeonlift
