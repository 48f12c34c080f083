#include <LibDiscovery/LibDiscovery.h>

#include <gtest/gtest.h>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};

UpstreamRecord record(std::string id, std::uint64_t bornMs = 1) {
  return {.Id = std::move(id),
          .StartedAtMs = bornMs,
          .Service = "rankview",
          .Address = "10.0.0.1:80",
          .DataCentre = "a",
          .Slots = 3};
}

} // namespace

// Guards against new work for an upstream that drains or whose entry was removed.
TEST(UpstreamList, LeavesOutDrainingAndRemovedUpstreams) {
  UpstreamList list;
  list.didWrite(record("x"), Start);
  list.didWrite(record("y"), Start);
  UpstreamRecord draining = record("x");
  draining.IsDraining = true;
  EXPECT_TRUE(list.didWrite(draining, Start));
  EXPECT_TRUE(list.didRemove("y", RemovalKind::Final, Start));
  EXPECT_TRUE(list.usable("rankview").empty());
}

// Guards against an outage of the store after which all upstreams whose leases ran out are lost for
// the seconds that they need to register again.
TEST(UpstreamList, KeepsProbableLapsesForAWhile) {
  UpstreamList list;
  list.didWrite(record("x"), Start);
  list.didWrite(record("y"), Start);
  EXPECT_FALSE(list.didRemove("x", RemovalKind::ProbableLeaseExpiry, Start));
  EXPECT_FALSE(list.didRemove("y", RemovalKind::ProbableLeaseExpiry, Start));
  list.didWrite(record("x"), Start + std::chrono::milliseconds{1900});
  EXPECT_EQ(list.usable("rankview").size(), 2U);
  EXPECT_TRUE(list.applyDueRemovals(Start + std::chrono::milliseconds{2500}));
  ASSERT_EQ(list.usable("rankview").size(), 1U);
  EXPECT_EQ(list.usable("rankview")[0].Id, "x");
}

// Guards against new work, past the drain timeout of 2 s, for an upstream that has left while one
// VM did not reach the store: kapokki scale-2, 2,031 to 2,287 ms after the acknowledgement.
TEST(UpstreamList, DoubtfulRemovalsEndWithinTheDrainTimeout) {
  UpstreamList list;
  list.didWrite(record("x"), Start);
  list.didRemove("x", RemovalKind::PossibleLeaseExpiry, Start);
  // A removal comes up to a second after its acknowledgement; the rest is left for the request.
  ASSERT_TRUE(list.nextRemovalDue());
  EXPECT_LE(*list.nextRemovalDue(), Start + std::chrono::milliseconds{700});
  EXPECT_TRUE(list.applyDueRemovals(Start + std::chrono::milliseconds{700}));
  EXPECT_TRUE(list.usable("rankview").empty());
}

// Guards against a draining upstream that comes back because its removal was taken for a lapse.
TEST(UpstreamList, DrainingUpstreamsDoNotLapse) {
  UpstreamList list;
  UpstreamRecord draining = record("x");
  draining.IsDraining = true;
  list.didWrite(draining, Start);
  EXPECT_TRUE(list.didRemove("x", RemovalKind::ProbableLeaseExpiry, Start));
}

// Guards against a late entry of a former incarnation that replaces the present one.
TEST(UpstreamList, EarlierIncarnationsAreIgnored) {
  UpstreamList list;
  list.didWrite(record("x", 20), Start);
  EXPECT_FALSE(list.didWrite(record("x", 10), Start));
  EXPECT_EQ(list.usable("rankview")[0].StartedAtMs, 20U);
}

// Guards against work for all VMs each time an upstream counts its warm-up down.
TEST(UpstreamList, TheRemainingWarmUpIsNoChange) {
  UpstreamList list;
  UpstreamRecord warming = record("x");
  warming.Warmup = std::chrono::seconds{3};
  EXPECT_TRUE(list.didWrite(warming, Start));
  EXPECT_FALSE(list.didWrite(record("x"), Start));
}

} // namespace wigeonlift
