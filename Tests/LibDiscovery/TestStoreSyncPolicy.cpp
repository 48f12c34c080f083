#include <LibDiscovery/LibDiscovery.h>

#include <gtest/gtest.h>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
// The middle of the range, which leaves the delay unchanged.
constexpr double Jitter = 0.5;
constexpr StoreRevision ReplicaRevision = 497;
constexpr Duration MaxBatchingDelay = std::chrono::seconds{1};

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

/// The policy of a VM that watches the store for its data centre and has read all keys.
StoreSyncPolicy policyOfWatchingReader() {
  StoreSyncPolicy policy;
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::ReadAll);
  policy.didReadAll(Start);
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::Watch);
  policy.didWatch(Start);
  return policy;
}

} // namespace

// Guards against a VM that becomes the reader while it can't reach the store, and notices this only
// when its watch times out. In the benchmark run kapokki-gw-grown scale-2, three data centres used
// an old configuration for 4 s too long.
TEST(StoreSyncPolicy, NewReaderChecksTheRevisionFirst) {
  StoreSyncPolicy policy = policyOfWatchingReader();
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::None, Start + ms(500)), StoreSyncStep::WaitForPeers);
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(800)),
            StoreSyncStep::CheckRevision);
  policy.didFail(StoreFailure::Unreachable, Start + ms(1400));
  EXPECT_TRUE(policy.isDisconnected());
}

// Guards against changes that are found only when the watch times out, because the store has
// dropped its history and doesn't answer the watch.
TEST(StoreSyncPolicy, ReadsAllWhenTheReplicaIsBehind) {
  StoreSyncPolicy policy = policyOfWatchingReader();
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(500)), StoreSyncStep::Watch);
  policy.didFail(StoreFailure::Unreachable, Start + ms(1500));
  EXPECT_EQ(policy.pause(Jitter, MaxBatchingDelay), Duration::zero());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(1500)),
            StoreSyncStep::CheckRevision);
  policy.didCheck({ReplicaRevision.Number + 1}, ReplicaRevision, Start + ms(1510));
  EXPECT_EQ(policy.pause(Jitter, MaxBatchingDelay), Duration::zero());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(1510)), StoreSyncStep::ReadAll);
  policy.didReadAll(Start + ms(1530));
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(2030)), StoreSyncStep::Watch);
  EXPECT_FALSE(policy.isDisconnected());
}

// Guards against a reader that hands its role to another VM because a single watch was interrupted
// while the store works.
TEST(StoreSyncPolicy, OneInterruptedWatchIsNoDisconnection) {
  StoreSyncPolicy policy = policyOfWatchingReader();
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::Watch);
  policy.didFail(StoreFailure::Unreachable, Start + ms(200));
  EXPECT_FALSE(policy.isDisconnected());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(200)),
            StoreSyncStep::CheckRevision);
  policy.didCheck(ReplicaRevision, ReplicaRevision, Start + ms(205));
  EXPECT_FALSE(policy.isDisconnected());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(205)), StoreSyncStep::Watch);
}

// Guards against a short outage during which a watch that timed out was the only call. Upstreams
// whose leases expired in the outage must have time to register again before they count as removed.
TEST(StoreSyncPolicy, WatchTimeoutCountsAsPossibleOutage) {
  StoreSyncPolicy policy = policyOfWatchingReader();
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::Watch);
  policy.didFail(StoreFailure::TimedOut, Start + ms(2500));
  EXPECT_TRUE(policy.isDisconnected());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(2500)),
            StoreSyncStep::CheckRevision);
  policy.didCheck(ReplicaRevision, ReplicaRevision, Start + ms(2510));
  EXPECT_TRUE(policy.isRecovering());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(2510)), StoreSyncStep::Watch);
  policy.didWatch(Start + ms(4500));
  EXPECT_TRUE(policy.isDisconnected());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(5000)), StoreSyncStep::Watch);
  policy.didWatch(Start + ms(5000));
  EXPECT_FALSE(policy.isDisconnected());
}

// Guards against a flood of calls to a store that interrupts every watch but answers revision
// checks.
TEST(StoreSyncPolicy, RepeatedlyInterruptedWatchesAreDelayed) {
  StoreSyncPolicy policy = policyOfWatchingReader();
  for (int n = 0; n < 2; ++n) {
    EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::Watch);
    policy.didFail(StoreFailure::Unreachable, Start);
    EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::CheckRevision);
    policy.didCheck(ReplicaRevision, ReplicaRevision, Start);
  }
  EXPECT_GE(policy.pause(Jitter, MaxBatchingDelay), ms(200));
}

// Guards against missed changes when the store no longer keeps the history after the replica's
// revision.
TEST(StoreSyncPolicy, ReadsAllWhenTheHistoryIsUnavailable) {
  StoreSyncPolicy policy = policyOfWatchingReader();
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::Watch);
  policy.didFail(StoreFailure::HistoryUnavailable, Start + ms(10));
  EXPECT_EQ(policy.pause(Jitter, MaxBatchingDelay), Duration::zero());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(10)), StoreSyncStep::ReadAll);
  EXPECT_FALSE(policy.isDisconnected());
}

// Guards against retries without a delay while the store is down, and against removals that count
// as final before upstreams whose leases expired had time to register again.
TEST(StoreSyncPolicy, BacksOffAndStaysDisconnectedUntilLeasesAreRenewed) {
  StoreSyncPolicy policy = policyOfWatchingReader();
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::Watch);
  policy.didFail(StoreFailure::Unreachable, Start);
  Duration previousPause{};
  for (int n = 0; n < 6; ++n) {
    EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::CheckRevision);
    policy.didFail(StoreFailure::Unreachable, Start);
    EXPECT_GE(policy.pause(Jitter, MaxBatchingDelay), previousPause);
    previousPause = policy.pause(Jitter, MaxBatchingDelay);
  }
  EXPECT_LE(previousPause, std::chrono::seconds{1});
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::CheckRevision);
  policy.didCheck(ReplicaRevision, ReplicaRevision, Start);
  EXPECT_TRUE(policy.isDisconnected());
  EXPECT_TRUE(policy.isRecovering());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::Watch);
  policy.didWatch(Start + ms(1000));
  EXPECT_TRUE(policy.isDisconnected());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start + ms(2500)), StoreSyncStep::Watch);
  policy.didWatch(Start + ms(2500));
  EXPECT_FALSE(policy.isDisconnected());
}

// Guards against a VM that becomes the reader again right after its calls to the store failed, and
// against one that never becomes the reader again.
TEST(StoreSyncPolicy, WaitingVmIsEligibleAgainAfterAWhile) {
  StoreSyncPolicy policy = policyOfWatchingReader();
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::Watch);
  policy.didFail(StoreFailure::Unreachable, Start);
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::IsReader, Start), StoreSyncStep::CheckRevision);
  policy.didFail(StoreFailure::Unreachable, Start);
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::None, Start + ms(1000)), StoreSyncStep::WaitForPeers);
  EXPECT_TRUE(policy.isDisconnected());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::None, Start + ms(6500)), StoreSyncStep::WaitForPeers);
  EXPECT_FALSE(policy.isDisconnected());
}

// Guards against a VM that waits for a silent reader although its replica is too old.
TEST(StoreSyncPolicy, ExpiredReplicaIsCheckedByAnyVm) {
  StoreSyncPolicy policy = policyOfWatchingReader();
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::None, Start + ms(500)), StoreSyncStep::WaitForPeers);
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::ReplicaExpired, Start + ms(1500)),
            StoreSyncStep::CheckRevision);
  policy.didCheck({ReplicaRevision.Number + 1}, ReplicaRevision, Start + ms(1510));
  EXPECT_EQ(policy.pause(Jitter, MaxBatchingDelay), Duration::zero());
  EXPECT_EQ(policy.nextStep(StoreSyncNeed::ReplicaExpired, Start + ms(1510)),
            StoreSyncStep::ReadAll);
}

// Guards against VMs that flood a store which is down, and against VMs that try again too late
// after its return when the reader is silent.
TEST(StoreSyncPolicy, VmsThatAreNotReadersRetryLessOften) {
  StoreSyncPolicy policy = policyOfWatchingReader();
  for (int n = 0; n < 6; ++n) {
    EXPECT_EQ(policy.nextStep(StoreSyncNeed::ReplicaExpired, Start), StoreSyncStep::CheckRevision);
    policy.didFail(StoreFailure::Unreachable, Start);
  }
  EXPECT_EQ(policy.pause(Jitter, MaxBatchingDelay), ms(2000));
}

// Guards against a VM without a replica that can reach the store again, but waits for the end of a
// read that got no answer and for the longest retry delay, and so learns of a change too late.
TEST(StoreSyncPolicy, VmsWithoutAReplicaReadAgainWithinTheSettleTime) {
  constexpr Duration readTimeout = ms(1000);
  constexpr Duration readTime = ms(300);
  constexpr Duration settleTime = ms(3000);
  StoreSyncPolicy policy;
  for (int n = 0; n < 6; ++n) {
    EXPECT_EQ(policy.nextStep(StoreSyncNeed::ReplicaExpired, Start), StoreSyncStep::ReadAll);
    policy.didFail(StoreFailure::TimedOut, Start);
    EXPECT_LE(readTimeout + policy.pause(1.0, MaxBatchingDelay) + readTime, settleTime);
  }
}

} // namespace wigeonlift
