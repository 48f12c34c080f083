#include <Tests/Support/FakeStoreFormat.h>

#include <LibFleet/LibFleet.h>

#include <fmt/format.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace wigeonlift {

namespace {

const FakeStoreFormat Format;

std::optional<StoreDelta> read(std::string_view compressed, std::size_t partBytes) {
  StoreIntake intake{IntakeKind::Changes, &Format};
  StoreDeltaReader reader{intake};
  for (std::size_t at = 0; at < compressed.size(); at += partBytes)
    if (!reader.write(compressed.substr(at, partBytes)))
      return std::nullopt;
  return reader.finish();
}

std::string compressed(const StoreDelta &delta) { return compress(encodeStoreDelta(delta, 0)); }

} // namespace

// Guards against copies that are understood or not depending on how they are cut on the way.
TEST(StoreDeltaReader, TheCutsOfACopyDoNotMatter) {
  StoreDelta sent{.Items = {FakeStoreFormat::configuration("s,", {3, 7}),
                            FakeStoreFormat::upstream("1", "s", {3, 8}),
                            {.Key = "u/2", .Revision = {3, 9}, .IsRemoved = true}},
                  .AsOf = {3, 9},
                  .HasLeftOut = true,
                  .IsLacking = true};
  for (const std::size_t size : {1U, 2U, 7U, 10'000U}) {
    const auto delta = read(compressed(sent), size);
    ASSERT_TRUE(delta);
    EXPECT_EQ(delta->Items, sent.Items);
    EXPECT_EQ(delta->AsOf, sent.AsOf);
    EXPECT_TRUE(delta->HasLeftOut);
    EXPECT_TRUE(delta->IsLacking);
    EXPECT_FALSE(delta->IsComplete);
  }
}

// Guards against another VM's copy that takes this one over its memory: long values, many entries,
// many removals. A VM of an older version sends what it has as it is.
TEST(StoreDeltaReader, ACopyOfAnyContentIsBounded) {
  StoreDelta sent{.IsComplete = true, .AsOf = 9};
  sent.Items.push_back(FakeStoreFormat::configuration("used,", 1));
  for (int n = 0; n < 20; ++n)
    sent.Items.push_back({.Key = fmt::format("u/long-{}", n),
                          .Value = "used|" + std::string(1'000'000, 'x'),
                          .Revision = 2});
  for (int n = 0; n < 50'000; ++n)
    sent.Items.push_back(FakeStoreFormat::upstream(fmt::format("{:06}", n), "other", 2));
  sent.Items.push_back({.Key = "notes/1", .Value = std::string(1'000'000, 'x'), .Revision = 2});
  const auto delta = read(compressed(sent), 10'000);
  ASSERT_TRUE(delta);
  EXPECT_TRUE(delta->HasLeftOut);
  EXPECT_EQ(std::ranges::count(delta->Items, "used", &StoreItem::Service), 20);
  EXPECT_LT(delta->Items.size(), 10'000U);
  for (const StoreItem &it : delta->Items)
    EXPECT_LT(it.Value.size(), 10U);
  StoreDelta removals{.AsOf = 9};
  for (int n = 0; n < 50'000; ++n)
    removals.Items.push_back({.Key = fmt::format("u/{}", n), .Revision = 2, .IsRemoved = true});
  EXPECT_FALSE(read(compressed(removals), 10'000));
}

// Guards against bytes that aren't a copy and count as one, or that take memory without end.
TEST(StoreDeltaReader, RejectsMalformedCopies) {
  const std::string whole =
      compressed({.Items = {FakeStoreFormat::upstream("1", "s", 8)}, .AsOf = 9});
  EXPECT_TRUE(read(whole, 5));
  for (std::size_t size = 0; size < whole.size(); ++size)
    EXPECT_FALSE(read(std::string_view{whole}.substr(0, size), 5)) << size;
  EXPECT_FALSE(read("not compressed", 5));
  // Fields: an item that isn't one, one without an end, an item that is longer than any may be, a
  // number of a fixed size.
  for (const std::string_view bytes :
       {std::string_view{"\x0a\x02\xff\xff"}, std::string_view{"\x0a\x7f"},
        std::string_view{"\x0a\xff\xff\xff\x7f"}, std::string_view{"\x21\1\2\3\4\5\6\7\10"},
        std::string_view{"\x10\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"
                         "\xff\xff\xff\xff"}})
    EXPECT_FALSE(read(compress(bytes), 100));
}

} // namespace wigeonlift
