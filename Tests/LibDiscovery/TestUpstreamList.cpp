#include <LibDiscovery/LibDiscovery.h>

#include <gtest/gtest.h>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
constexpr Duration DrainTimeout = std::chrono::seconds{2};
constexpr RemovalBounds Bounds{.DrainTimeout = DrainTimeout,
                               .StoreSettleTime = std::chrono::seconds{3}};

UpstreamRecord record(std::string id, std::uint64_t startedAtMs = 1) {
  return {.Id = std::move(id),
          .StartedAtMs = startedAtMs,
          .Service = "rankview",
          .Address = "10.0.0.1:80",
          .DataCentre = "a",
          .Slots = 3};
}

} // namespace

// Guards against new requests to an upstream that drains or whose entry was removed.
TEST(UpstreamList, LeavesOutDrainingAndRemovedUpstreams) {
  UpstreamList list{Bounds};
  list.didWrite(record("x"), Start);
  list.didWrite(record("y"), Start);
  UpstreamRecord draining = record("x");
  draining.IsDraining = true;
  EXPECT_TRUE(list.didWrite(draining, Start));
  EXPECT_TRUE(list.didRemove("y", {.Kind = RemovalKind::Final, .EarliestAt = Start}, Start));
  EXPECT_TRUE(list.usable("rankview").empty());
}

// Guards against the loss of all upstreams after an outage of the store. Their leases expire in the
// outage, and they need some seconds to register again.
TEST(UpstreamList, KeepsProbablyExpiredUpstreamsForAGracePeriod) {
  UpstreamList list{Bounds};
  list.didWrite(record("x"), Start);
  list.didWrite(record("y"), Start);
  const EntryRemoval removal{.Kind = RemovalKind::ProbableLeaseExpiry,
                             .EarliestAt = Start - std::chrono::seconds{5},
                             .StoreDownAt = Start - std::chrono::milliseconds{500}};
  EXPECT_FALSE(list.didRemove("x", removal, Start));
  EXPECT_FALSE(list.didRemove("y", removal, Start));
  list.didWrite(record("x"), Start + std::chrono::milliseconds{1900});
  EXPECT_FALSE(list.applyDueRemovals(Start + std::chrono::milliseconds{2000}));
  EXPECT_EQ(list.usable("rankview").size(), 2U);
  EXPECT_TRUE(list.applyDueRemovals(Start + std::chrono::milliseconds{2500}));
  ASSERT_EQ(list.usable("rankview").size(), 1U);
  EXPECT_EQ(list.usable("rankview")[0].Id, "x");
}

// Guards against new requests after the drain timeout of 2 s to an upstream that left while one VM
// could not reach the store. In the benchmark run kapokki scale-2, such requests came 2,031 to
// 2,287 ms after the removal was acknowledged.
TEST(UpstreamList, PossibleExpiriesEndWithinTheDrainTimeout) {
  UpstreamList list{Bounds};
  list.didWrite(record("x"), Start);
  list.didRemove("x", {.Kind = RemovalKind::PossibleLeaseExpiry, .EarliestAt = Start}, Start);
  // The drain timeout of 2 s begins when the removal is acknowledged. The removal arrives up to 1 s
  // later, and the grace period begins then. A request sent at its end still needs some of the 2 s.
  ASSERT_TRUE(list.nextRemovalDue());
  EXPECT_LE(*list.nextRemovalDue(), Start + std::chrono::milliseconds{700});
  EXPECT_TRUE(list.applyDueRemovals(Start + std::chrono::milliseconds{700}));
  EXPECT_TRUE(list.usable("rankview").empty());
}

// Guards against new requests after the drain timeout to an upstream that left, if the VM learns
// this late because other VMs fell silent.
TEST(UpstreamList, PossibleExpiriesThatAreLearntLateEndWithinTheDrainTimeout) {
  UpstreamList list{Bounds};
  list.didWrite(record("x"), Start);
  list.didWrite(record("y"), Start);
  const TimePoint learntAt = Start + std::chrono::milliseconds{1650};
  list.didRemove("x", {.Kind = RemovalKind::PossibleLeaseExpiry, .EarliestAt = Start}, learntAt);
  ASSERT_TRUE(list.nextRemovalDue());
  EXPECT_LT(*list.nextRemovalDue(), Start + DrainTimeout);
  const TimePoint tooLate = Start + DrainTimeout;
  EXPECT_TRUE(list.didRemove("y", {.Kind = RemovalKind::PossibleLeaseExpiry, .EarliestAt = Start},
                             tooLate));
}

// Guards against new requests after the drain timeout to an upstream that left when the store had
// just come back. The review's case 2 had such requests 2.2 s after the removal. However late the
// removal is learnt, the upstream must be out of the list in time, also if it left before the
// outage and the drain timeout holds again.
TEST(UpstreamList, ProbableExpiriesEndWithinTheDrainTimeout) {
  constexpr auto step = std::chrono::milliseconds{100};
  const TimePoint confirmedAt = Start - std::chrono::seconds{1};
  for (const Duration settleTime : {Duration{std::chrono::seconds{1}}, Bounds.StoreSettleTime})
    for (Duration drainTimeout = 5 * step; drainTimeout <= 2 * DrainTimeout; drainTimeout += step)
      for (Duration learntAfter{}; learntAfter <= 2 * DrainTimeout; learntAfter += step) {
        UpstreamList list{{.DrainTimeout = drainTimeout, .StoreSettleTime = settleTime}};
        list.didWrite(record("x"), Start);
        // The store may have returned as soon as it was last known to be down.
        const TimePoint learntAt = Start + learntAfter;
        list.didRemove("x",
                       {.Kind = RemovalKind::ProbableLeaseExpiry,
                        .EarliestAt = confirmedAt,
                        .StoreDownAt = Start},
                       learntAt);
        const TimePoint due = list.nextRemovalDue().value_or(learntAt);
        EXPECT_LT(due, std::max({learntAt + step, confirmedAt + drainTimeout, Start + settleTime}));
      }
}

// Guards against a draining upstream that stays listed because its removal is mistaken for an
// expired lease.
TEST(UpstreamList, DrainingUpstreamsGetNoGracePeriod) {
  UpstreamList list{Bounds};
  UpstreamRecord draining = record("x");
  draining.IsDraining = true;
  list.didWrite(draining, Start);
  EXPECT_TRUE(
      list.didRemove("x", {.Kind = RemovalKind::ProbableLeaseExpiry, .EarliestAt = Start}, Start));
}

// Guards against a late entry of an earlier process that replaces the entry of the running one.
TEST(UpstreamList, EarlierIncarnationsAreIgnored) {
  UpstreamList list{Bounds};
  list.didWrite(record("x", 20), Start);
  EXPECT_FALSE(list.didWrite(record("x", 10), Start));
  EXPECT_EQ(list.usable("rankview")[0].StartedAtMs, 20U);
}

/// An entry of a process that seems to have started before another one.
UpstreamRecord earlier(std::uint64_t writeCount, bool isDraining = false) {
  UpstreamRecord result = record("x", 10);
  result.WriteCount = writeCount;
  result.IsDraining = isDraining;
  return result;
}

// Guards against a running upstream whose entries are ignored for good, because it started again
// after its clock was set back: it got requests until its end although it reported that it drains.
TEST(UpstreamList, AProcessThatGoesOnWritingIsTheRunningOne) {
  using namespace std::chrono_literals;
  UpstreamList list{Bounds};
  list.didWrite(record("x", 20), Start);
  EXPECT_FALSE(list.didWrite(earlier(1), Start));
  EXPECT_TRUE(list.didWrite(earlier(2), Start + 1500ms));
  EXPECT_EQ(list.usable("rankview")[0].StartedAtMs, 10U);
  EXPECT_TRUE(list.didWrite(earlier(3, true), Start + 3s));
  EXPECT_TRUE(list.usable("rankview").empty());
}

// Guards against two late entries of a process that has ended, which replace the running one, and
// against a late one from before the running process wrote again.
TEST(UpstreamList, LateEntriesAreNoSignOfARunningProcess) {
  using namespace std::chrono_literals;
  UpstreamList list{Bounds};
  list.didWrite(record("x", 20), Start);
  EXPECT_FALSE(list.didWrite(earlier(7), Start));
  EXPECT_FALSE(list.didWrite(earlier(8), Start + 10ms));
  EXPECT_FALSE(list.didWrite(earlier(8), Start + 20ms));
  list.didWrite(record("x", 20), Start + 1s);
  EXPECT_FALSE(list.didWrite(earlier(9), Start + 1500ms));
  EXPECT_EQ(list.usable("rankview")[0].StartedAtMs, 20U);
}

// Guards against requests to an upstream that drains, in the time in which it isn't clear which
// process runs, and against an upstream that stays out of use by a late entry.
TEST(UpstreamList, DrainingCountsOfEitherProcess) {
  UpstreamList list{Bounds};
  list.didWrite(record("x", 20), Start);
  EXPECT_TRUE(list.didWrite(earlier(1, true), Start));
  EXPECT_TRUE(list.usable("rankview").empty());
  EXPECT_TRUE(list.didWrite(record("x", 20), Start));
  EXPECT_EQ(list.usable("rankview").size(), 1U);
}

// Guards against an upstream that stays in use for good, because a late entry of its earlier
// process ended the grace period of its removal.
TEST(UpstreamList, EarlierIncarnationsDoNotEndAGracePeriod) {
  UpstreamList list{Bounds};
  list.didWrite(record("x", 20), Start);
  list.didRemove("x", {.Kind = RemovalKind::PossibleLeaseExpiry, .EarliestAt = Start}, Start);
  EXPECT_FALSE(list.didWrite(record("x", 10), Start));
  EXPECT_TRUE(list.applyDueRemovals(Start + DrainTimeout));
  EXPECT_TRUE(list.usable("rankview").empty());
}

// Guards against an update on all VMs each time an upstream publishes its remaining warm-up time.
TEST(UpstreamList, RemainingWarmUpIsNoChange) {
  UpstreamList list{Bounds};
  UpstreamRecord warmingUp = record("x");
  warmingUp.Warmup = std::chrono::seconds{3};
  EXPECT_TRUE(list.didWrite(warmingUp, Start));
  EXPECT_FALSE(list.didWrite(record("x"), Start));
}

/// An upstream's entry that was written as the `writeCount`th one of its process.
UpstreamRecord written(std::uint64_t writeCount, bool isDraining = false) {
  UpstreamRecord result = record("x", 20);
  result.WriteCount = writeCount;
  result.IsDraining = isDraining;
  return result;
}

constexpr EntryRemoval Lost{.Kind = RemovalKind::StoreRestored, .EarliestAt = Start};

// Guards against upstreams that left and get requests again because the store lost their removal,
// and against upstreams that stay out of use after they have registered again.
TEST(UpstreamList, ARestoredStoreBringsBackNoRemovedUpstreams) {
  UpstreamList list{Bounds};
  list.didWrite(written(5), Start);
  list.didRemove("x", {.Kind = RemovalKind::Final, .EarliestAt = Start}, Start);
  EXPECT_FALSE(list.didRestore(written(4), Start));
  EXPECT_FALSE(list.didRestore(written(5), Start));
  EXPECT_FALSE(list.didRestore(record("x", 10), Start));
  EXPECT_TRUE(list.usable("rankview").empty());
  UpstreamList other = list;
  EXPECT_TRUE(list.didRestore(written(6), Start));
  EXPECT_EQ(list.usable("rankview").size(), 1U);
  EXPECT_TRUE(other.didRestore(record("x", 21), Start));
  EXPECT_EQ(other.usable("rankview").size(), 1U);
}

// Guards against draining upstreams that get requests again because the store lost that state.
TEST(UpstreamList, ARestoredStoreKeepsUpstreamsDraining) {
  UpstreamList list{Bounds};
  list.didWrite(written(5, true), Start);
  EXPECT_FALSE(list.didRestore(written(4), Start));
  EXPECT_TRUE(list.usable("rankview").empty());
  UpstreamList other = list;
  EXPECT_TRUE(list.didRestore(written(6), Start));
  EXPECT_EQ(list.usable("rankview").size(), 1U);
  EXPECT_TRUE(other.didRemove("x", Lost, Start));
  EXPECT_FALSE(other.didRestore(written(4), Start));
}

// Guards against the loss of upstreams that the copy lacks, and against their use for good if they
// are really gone.
TEST(UpstreamList, UpstreamsThatARestoredStoreLacksGetTimeToRegister) {
  UpstreamList list{Bounds};
  list.didWrite(written(5), Start);
  EXPECT_FALSE(list.didRemove("x", Lost, Start));
  UpstreamList other = list;
  EXPECT_FALSE(list.applyDueRemovals(Start + LeaseRenewalTime - std::chrono::milliseconds{1}));
  EXPECT_TRUE(list.applyDueRemovals(Start + LeaseRenewalTime));
  // A second restore, from a copy that has the entry, doesn't show that it is back.
  EXPECT_FALSE(list.didRestore(written(5), Start + LeaseRenewalTime));
  other.didWrite(written(6), Start);
  EXPECT_FALSE(other.applyDueRemovals(Start + LeaseRenewalTime));
  EXPECT_EQ(other.usable("rankview").size(), 1U);
}

// Guards against the loss of upstreams that registered again just before a second restore, which
// lost that again, and against one whose entry a second restore brought back.
TEST(UpstreamList, ASecondRestoreExtendsTheTimeToRegister) {
  constexpr auto second = std::chrono::seconds{1};
  UpstreamList list{Bounds};
  list.didWrite(written(5), Start);
  list.didRemove("x", Lost, Start);
  list.didRestoreStore(Start + second);
  EXPECT_FALSE(list.applyDueRemovals(Start + LeaseRenewalTime));
  EXPECT_FALSE(list.didRestore(written(5), Start + second));
  EXPECT_FALSE(list.nextRemovalDue());
}

// Guards against an upstream that stays in use although only its predecessor is listed, and against
// the predecessor in its place.
TEST(UpstreamList, AnEarlierIncarnationOfARestoredStoreCountsAsNothing) {
  UpstreamList list{Bounds};
  list.didWrite(written(5), Start);
  EXPECT_FALSE(list.didRestore(record("x", 10), Start));
  EXPECT_EQ(list.usable("rankview")[0].StartedAtMs, 20U);
  EXPECT_TRUE(list.applyDueRemovals(Start + LeaseRenewalTime));
}

// Guards against a removal that is in doubt and that a restored store without it ends.
TEST(UpstreamList, ARestoredStoreEndsNoGracePeriod) {
  UpstreamList list{Bounds};
  list.didWrite(written(5), Start);
  list.didRemove("x", {.Kind = RemovalKind::PossibleLeaseExpiry, .EarliestAt = Start}, Start);
  EXPECT_FALSE(list.didRestore(written(5), Start));
  EXPECT_TRUE(list.applyDueRemovals(Start + DrainTimeout));
}

} // namespace wigeonlift
