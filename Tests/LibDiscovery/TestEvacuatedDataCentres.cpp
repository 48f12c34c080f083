#include <LibDiscovery/LibDiscovery.h>

#include <gtest/gtest.h>

namespace wigeonlift {

namespace {

using Names = std::vector<std::string>;

constexpr TimePoint Start{std::chrono::seconds{100}};
constexpr Duration Retention = std::chrono::milliseconds{5500};
constexpr Duration Moment = std::chrono::milliseconds{1};

} // namespace

// Guards against an order that is forgotten or doesn't end, and against one that ends with that of
// another data centre.
TEST(EvacuatedDataCentres, FollowTheOrdersInTheStore) {
  EvacuatedDataCentres it{Retention};
  EXPECT_TRUE(it.didOrder("a"));
  EXPECT_TRUE(it.didOrder("b"));
  EXPECT_FALSE(it.didOrder("a"));
  EXPECT_TRUE(it.didEnd("b", OrderRemoval::Removed, Start));
  EXPECT_FALSE(it.didEnd("b", OrderRemoval::Removed, Start));
  EXPECT_TRUE(it.contains("a"));
  EXPECT_FALSE(it.contains("b"));
  EXPECT_FALSE(it.nextEndDue());
  EXPECT_TRUE(it.applyDueEnds(TimePoint::max()).empty());
}

// Guards against requests to an evacuated data centre because the store was restored from a copy
// that lacks the order, and against an evacuation that lasts although nobody orders it again.
TEST(EvacuatedDataCentres, KeepOrdersThatARestoredStoreLacksForATime) {
  EvacuatedDataCentres it{Retention};
  it.didOrder("a");
  it.didOrder("b");
  EXPECT_FALSE(it.didEnd("a", OrderRemoval::LostByRestore, Start));
  EXPECT_FALSE(it.didEnd("b", OrderRemoval::LostByRestore, Start + Moment));
  EXPECT_FALSE(it.didEnd("c", OrderRemoval::LostByRestore, Start));
  // The same loss, reported once more, doesn't prolong the evacuation.
  EXPECT_FALSE(it.didEnd("a", OrderRemoval::LostByRestore, Start + Retention / 2));
  EXPECT_EQ(it.nextEndDue(), Start + Retention);
  EXPECT_TRUE(it.applyDueEnds(Start + Retention - Moment).empty());
  EXPECT_EQ(it.applyDueEnds(Start + Retention), Names{"a"});
  EXPECT_TRUE(it.contains("b"));
  EXPECT_EQ(it.nextEndDue(), Start + Moment + Retention);
}

// Guards against an evacuation that ends although its order was written again after a restore, and
// against one that outlasts its removal by the operator.
TEST(EvacuatedDataCentres, TheLatestAnswerOfARestoredStoreApplies) {
  EvacuatedDataCentres it{Retention};
  it.didOrder("a");
  it.didOrder("b");
  it.didEnd("a", OrderRemoval::LostByRestore, Start);
  it.didEnd("b", OrderRemoval::LostByRestore, Start);
  EXPECT_FALSE(it.didOrder("a"));
  EXPECT_TRUE(it.didEnd("b", OrderRemoval::Removed, Start + Moment));
  EXPECT_TRUE(it.applyDueEnds(Start + 2 * Retention).empty());
  EXPECT_TRUE(it.contains("a"));
  EXPECT_FALSE(it.contains("b"));
}

} // namespace wigeonlift
