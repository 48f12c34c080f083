#include <Tests/Support/FakeStoreFormat.h>

#include <fmt/format.h>

#include <gtest/gtest.h>

namespace wigeonlift {

namespace {

StoreItem entry(int n, const std::string &service) {
  return FakeStoreFormat::upstream(fmt::format("{}-{:06}", service, n), service, 1);
}

std::size_t count(const BoundedItems &items, const std::string &service) {
  return items.itemsOf(service).size();
}

} // namespace

// Guards against the memory of a VM that grows with what others write of services that nobody
// names, against an upstream in use that gives way to them, and against a bound that counts bytes
// of the containers' own overhead for nothing.
TEST(BoundedItems, OnlyUnusedServicesAreBounded) {
  BoundedItems items{{"used"}};
  for (int n = 0; n < 30'000; ++n) {
    items.insert(entry(n, "used"));
    items.insert(entry(n, "unused"));
    items.shed();
    ASSERT_LE(items.unusedBytes(), BoundedItems::MaxUnusedBytes);
  }
  EXPECT_EQ(count(items, "used"), 30'000U);
  EXPECT_GT(count(items, "unused"), 1000U);
  items.clear();
  EXPECT_EQ(items.unusedBytes(), 0U);
}

// Guards against a service that floods the store and displaces the upstreams of others, which a
// later configuration may name.
TEST(BoundedItems, TheServicesWithTheMostBytesGiveWay) {
  BoundedItems items;
  for (int n = 0; n < 100; ++n)
    items.insert(entry(n, "small"));
  for (int n = 0; n < 50'000; ++n) {
    items.insert(entry(n, n % 2 == 0 ? "flood" : "a-flood"));
    items.shed();
  }
  EXPECT_EQ(count(items, "small"), 100U);
  EXPECT_GT(count(items, "flood"), 500U);
  EXPECT_GT(count(items, "a-flood"), 500U);
}

// Guards against a bound that many services with an entry each evade, or that leaves none of them.
TEST(BoundedItems, ManySmallServicesShareTheBound) {
  BoundedItems items;
  for (int n = 0; n < 50'000; ++n) {
    items.insert(entry(n, fmt::format("s{}", n)));
    items.shed();
    ASSERT_LE(items.unusedBytes(), BoundedItems::MaxUnusedBytes);
  }
  EXPECT_GT(items.all().size(), 1000U);
}

// Guards against an account that drifts from what is kept when items are replaced or change their
// service, or when a service is taken into use: the bound would then be another one.
TEST(BoundedItems, TheAccountFollowsEachChange) {
  BoundedItems items;
  items.insert(entry(1, "a"));
  const std::size_t one = items.unusedBytes();
  items.insert(entry(1, "a"));
  EXPECT_EQ(items.unusedBytes(), one);
  StoreItem moved = entry(1, "a");
  moved.Service = "b";
  items.insert(moved);
  EXPECT_EQ(items.unusedBytes(), one);
  EXPECT_EQ(items.largestUnusedService(), "b");
  items.insert(entry(2, "a"));
  EXPECT_TRUE(items.use("a"));
  EXPECT_FALSE(items.use("a"));
  EXPECT_EQ(items.unusedBytes(), one);
  items.erase("u/a-000001");
  EXPECT_EQ(items.unusedBytes(), 0U);
  items.erase("u/a-000002");
  EXPECT_EQ(items.unusedBytes(), 0U);
  EXPECT_EQ(items.largestUnusedService(), "");
}

} // namespace wigeonlift
