#include <Tests/Support/FakeStoreFormat.h>

#include <fmt/format.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace wigeonlift {

namespace {

const FakeStoreFormat Format;

StoreItem written(std::string key, std::string value, std::uint64_t revision) {
  return {.Key = std::move(key), .Value = std::move(value), .Revision = revision};
}

bool has(const StoreDelta &delta, std::string_view key) {
  return std::ranges::find(delta.Items, key, &StoreItem::Key) != delta.Items.end();
}

} // namespace

// Guards against what nobody reads and is kept and passed on: other keys, fields, and entries that
// name no upstream.
TEST(StoreIntake, KeepsWhatIsRead) {
  StoreIntake intake{IntakeKind::Copy, &Format};
  intake.add(written("config", "s,", 1));
  intake.add(written("notes/1", "text", 2));
  intake.add(written("u/1", "s|a long text", 3));
  intake.add(written("u/2", "", 4));
  EXPECT_EQ(intake.ignored(), 1U);
  const StoreDelta delta = intake.take(true, 9);
  ASSERT_EQ(delta.Items.size(), 2U);
  EXPECT_EQ(delta.Items[1].Value, "s");
  EXPECT_FALSE(delta.HasLeftOut);
  EXPECT_EQ(delta.AsOf, 9U);
}

// Guards against a change that is lost because it makes an entry unreadable: its upstream would
// stay in use.
TEST(StoreIntake, AnEntryThatBecomesUnreadableIsRemoved) {
  StoreIntake intake{IntakeKind::Changes, &Format};
  intake.add(written("u/1", "", 4));
  const StoreDelta delta = intake.take(false, 4);
  ASSERT_EQ(delta.Items.size(), 1U);
  EXPECT_TRUE(delta.Items[0].IsRemoved);
  EXPECT_TRUE(delta.Items[0].IsUnreadable);
}

// Guards against a first read whose upstreams in use give way to entries of other services, as
// nothing was named before.
TEST(StoreIntake, ServicesThatTheAnswerNamesAreInUse) {
  StoreIntake intake{IntakeKind::Copy, &Format};
  intake.add(written("config", "used,", 1));
  for (int n = 0; n < 20'000; ++n) {
    intake.add(written(fmt::format("u/other-{:06}", n), "other", 2));
    intake.add(written(fmt::format("u/used-{:06}", n), "used", 2));
  }
  EXPECT_GT(intake.leftOut(), 0U);
  const StoreDelta delta = intake.take(true, 9);
  EXPECT_TRUE(delta.HasLeftOut);
  EXPECT_FALSE(delta.IsLacking);
  EXPECT_EQ(std::ranges::count(delta.Items, "used", &StoreItem::Service), 20'000);
}

// Guards against upstreams that are left out before the same answer names their service, and that
// nobody then asks for.
TEST(StoreIntake, AServiceThatIsNamedTooLateMayBeLacking) {
  StoreIntake intake{IntakeKind::Changes, &Format};
  for (int n = 0; n < 20'000; ++n)
    intake.add(written(fmt::format("u/{:06}", n), "late", 2));
  intake.add(written("config", "late,", 3));
  const StoreDelta delta = intake.take(false, 3);
  EXPECT_TRUE(delta.IsLacking);
  EXPECT_TRUE(delta.HasLeftOut);
}

// Guards against a watch that brings any number of removals, or of unreadable entries, and takes
// memory for each.
TEST(StoreIntake, AWatchIsBounded) {
  StoreIntake intake{IntakeKind::Changes, &Format};
  std::size_t n = 0;
  for (; n < 1'000'000 && !intake.isOverfull(); ++n)
    intake.add(written(fmt::format("u/{:06}", n), "", n + 1));
  EXPECT_TRUE(intake.isOverfull());
  EXPECT_LE(n * sizeof(StoreItem), StoreIntake::MaxChangeBytes);
  StoreIntake copy{IntakeKind::Copy, &Format};
  for (std::size_t i = 0; i < 100'000; ++i)
    copy.add(written(fmt::format("u/{:06}", i), "", i + 1));
  EXPECT_FALSE(copy.isOverfull());
  EXPECT_TRUE(copy.take(true, 1).Items.empty());
}

// Guards against many configurations in one answer that are all kept.
TEST(StoreIntake, OnlyTheLastConfigurationIsKept) {
  StoreIntake intake{IntakeKind::Changes, &Format};
  for (std::uint64_t n = 1; n <= 100; ++n)
    intake.add(written("config", fmt::format("s{},", n), n));
  const StoreDelta delta = intake.take(false, 100);
  ASSERT_EQ(delta.Items.size(), 1U);
  EXPECT_EQ(delta.Items[0].Value, "s100,");
}

// Guards against changes that arrive in another order than they were made in.
TEST(StoreIntake, ChangesAreInTheOrderOfRevisions) {
  StoreIntake intake{IntakeKind::Changes, &Format, {"used"}};
  intake.add(written("u/1", "other", 1));
  intake.add({.Key = "u/1", .Revision = 2, .IsRemoved = true});
  intake.add(written("u/1", "other", 3));
  intake.add(written("u/2", "used", 4));
  const StoreDelta delta = intake.take(false, 4);
  ASSERT_EQ(delta.Items.size(), 3U);
  EXPECT_TRUE(std::ranges::is_sorted(delta.Items, {}, &StoreItem::Revision));
  EXPECT_TRUE(has(delta, "u/2"));
}

} // namespace wigeonlift
