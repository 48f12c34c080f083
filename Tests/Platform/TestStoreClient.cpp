#include <platform/Platform.h>

#include <Tests/Support/FakeUpstream.h>

#include <LibHttp/LibHttp.h>

#include <boost/asio/co_spawn.hpp>

#include <absl/strings/escaping.h>

#include <fmt/format.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

FakeReply pageReply(std::string_view body) {
  return {fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "Content-Length: {}\r\n\r\n{}",
                      body.size(), body)};
}

/// Reads all keys from a store that answers by a script.
absl::StatusOr<StoreDelta> readAllFrom(const FakeUpstream::Script &script) {
  asio::io_context context{1};
  FakeUpstream store{context, script};
  platform::StoreClient client{*parseEndpoint(store.address())};
  std::optional<absl::StatusOr<StoreDelta>> result;
  StoreIntake intake{IntakeKind::Copy, &platform::platformStoreFormat()};
  asio::co_spawn(context, client.readAll(std::chrono::seconds{2}, intake),
                 [&](const std::exception_ptr &, absl::StatusOr<StoreDelta> delta) {
                   result = std::move(delta);
                   context.stop();
                 });
  context.run_for(std::chrono::seconds{5});
  return result.value_or(absl::InternalError("no result"));
}

std::string record(std::string_view service, const std::string &more = "") {
  return fmt::format(
      R"({{"service":"{}","address":"10.0.0.1:80","zone":"a","version":"v1","capacity-slots":3,)"
      R"("state":"ready","warmup-remaining":"0ms","sequence":1,"born":1{}}})",
      service, more.empty() ? "" : ",\"more\":\"" + more + '"');
}

std::string item(std::string_view key, const std::string &value, int revision = 3) {
  return fmt::format(R"({{"key":"{}","value":"{}","revision":{}}})", key, absl::Base64Escape(value),
                     revision);
}

std::string page(const std::string &items, bool hasMore = false, int asOf = 7) {
  return fmt::format(R"({{"items":[{}],"has-more":{},"as-of":{}}})", items, hasMore, asOf);
}

std::vector<std::string> keysOf(const StoreDelta &delta) {
  std::vector<std::string> keys;
  for (const StoreItem &it : delta.Items)
    keys.push_back(it.Key);
  return keys;
}

} // namespace

// Guards against one item whose value can't be decoded and that keeps a VM from reading all others,
// or that is kept although it names no upstream.
TEST(StoreClient, AnItemWithAnUnreadableValueHidesNoOthers) {
  const auto delta = readAllFrom([](const std::string &) {
    return pageReply(page(R"({"key":"servers/a","value":"!!","revision":3},)"
                          R"({"key":"servers/b","revision":4},)" +
                          item("servers/c", record("s")) + ',' + item("servers/d", "{")));
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  EXPECT_EQ(keysOf(*delta), std::vector<std::string>{"servers/c"});
  EXPECT_EQ(delta->Items[0].Service, "s");
}

// Guards against large entries of another writer that each VM keeps and passes on, although nobody
// reads them: the first review's case 5 took VMs over their memory with entries that can't be read,
// the third one's case 11 with upstreams that have one long field more.
TEST(StoreClient, LargeValuesThatNobodyReadsAreDropped) {
  const std::string large(100'000, 'x');
  const auto delta = readAllFrom([&](const std::string &) {
    return pageReply(page(item("op/config", large) + ',' + item("op/evacuate/a", large) + ',' +
                          item("other/key", large) + ',' + item("servers/other-writer", large) +
                          ',' + item("servers/i-1", record("s", large)) + ',' +
                          item("servers/i-2", record(large))));
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  EXPECT_EQ(keysOf(*delta),
            (std::vector<std::string>{"op/config", "op/evacuate/a", "servers/i-1"}));
  EXPECT_EQ(delta->Items[0].Value, large);
  EXPECT_EQ(delta->Items[1].Value, "");
  EXPECT_LT(delta->Items[2].Value.size(), 200U);
  EXPECT_EQ(platform::decodeUpstreamRecord("i-1", delta->Items[2].Value),
            platform::decodeUpstreamRecord("i-1", record("s")));
}

// Guards against an answer whose length sets the memory of a VM, and against entries in use that
// are lost among others.
TEST(StoreClient, ManyEntriesOfOtherServicesGiveWay) {
  int pages = 0;
  const auto delta = readAllFrom([&](const std::string &) {
    std::string items =
        pages == 0 ? item("op/config", R"({"services":[{"name":"used"}]})") + ',' : "";
    for (int n = 0; n < 500; ++n)
      items += item(fmt::format("servers/{:03}-{:03}", pages, n), record("other")) + ',';
    items += item(fmt::format("servers/{:03}-z", pages), record("used"));
    return pageReply(page(items, ++pages < 40));
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  EXPECT_TRUE(delta->HasLeftOut);
  EXPECT_EQ(std::ranges::count(delta->Items, "used", &StoreItem::Service), 40);
  EXPECT_LT(delta->Items.size(), 10'000U);
}

// Guards against a read that fails for good because others have written many large entries, of
// which a page holds only one.
TEST(StoreClient, AnyNumberOfPagesIsRead) {
  int pages = 0;
  const auto delta = readAllFrom([&](const std::string &) {
    ++pages;
    return pageReply(page(item(fmt::format("servers/{:05}", pages), record("s")), pages < 1500));
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  EXPECT_EQ(delta->Items.size(), 1500U);
}

// Guards against keys that nobody reads and that a VM reads page by page all the same.
TEST(StoreClient, PassesOverKeysThatNobodyReads) {
  std::vector<std::string> targets;
  const auto delta = readAllFrom([&](const std::string &request) {
    targets.push_back(request.substr(0, request.find(" HTTP")));
    switch (targets.size()) {
    case 1:
      return pageReply(page(item("notes/1", "x"), true));
    case 2:
      return pageReply(page(item("op/config", "{}") + ',' + item("op/other", "x"), true));
    default:
      return pageReply(page(item("servers/i-1", record("s")) + ',' + item("zones/1", "x"), true));
    }
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  EXPECT_EQ(keysOf(*delta), (std::vector<std::string>{"op/config", "servers/i-1"}));
  EXPECT_EQ(targets, (std::vector<std::string>{
                         "GET /v1/kv-range?prefix=", "GET /v1/kv-range?prefix=&after=op/confi",
                         "GET /v1/kv-range?prefix=&after=servers"}));
}

// Guards against pages that are lost, and against a copy that claims a later revision than that at
// which its first page was read.
TEST(StoreClient, ReadsAllPages) {
  const auto delta = readAllFrom([](const std::string &request) {
    return request.find("after=servers/a") == std::string::npos
               ? pageReply(page(item("servers/a", record("s"), 3), true, 7))
               : pageReply(page(item("servers/b", record("s"), 8), false, 9));
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  EXPECT_TRUE(delta->IsComplete);
  EXPECT_EQ(delta->AsOf, 7U);
  ASSERT_EQ(delta->Items.size(), 2U);
  EXPECT_EQ(delta->Items[1].Key, "servers/b");
}

// Guards against a copy that lacks keys and counts as complete: upstreams and the configuration
// would be taken for removed.
TEST(StoreClient, PagesThatDoNotAdvanceAreNoCompleteCopy) {
  const std::string samePage = page(item("servers/a", record("s")), true);
  EXPECT_FALSE(readAllFrom([&](const std::string &) { return pageReply(samePage); }).ok());
  const std::string emptyPage = page("", true);
  EXPECT_FALSE(readAllFrom([&](const std::string &) { return pageReply(emptyPage); }).ok());
  EXPECT_FALSE(readAllFrom([&](const std::string &request) {
                 return pageReply(request.find("after=servers/a") == std::string::npos ? samePage
                                                                                       : emptyPage);
               }).ok());
}

// Guards against a copy with pages of two eras, and against a read that never ends.
TEST(StoreClient, ACopyIsOfOneEra) {
  const auto pageOf = [](const char *key, bool hasMore, int era) {
    const std::string body = page(item(key, record("s")), hasMore);
    return FakeReply{fmt::format("HTTP/1.1 200 OK\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n{}",
                                 era, body.size(), body)};
  };
  int calls = 0;
  const auto delta = readAllFrom([&](const std::string &request) {
    const bool isFirst = request.find("after=") == std::string::npos;
    return pageOf(isFirst ? "servers/a" : "servers/b", isFirst, ++calls == 1 ? 1 : 2);
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  EXPECT_EQ(delta->AsOf, StoreRevision(2, 7));
  ASSERT_EQ(delta->Items.size(), 2U);
  EXPECT_EQ(delta->Items[0].Revision, StoreRevision(2, 3));
  EXPECT_FALSE(
      readAllFrom([&](const std::string &) { return pageOf("servers/a", true, ++calls); }).ok());
}

// Guards against an era that can't be read and counts as the first one.
TEST(StoreClient, AnUnreadableEraIsAnError) {
  EXPECT_FALSE(readAllFrom([](const std::string &) {
                 const std::string body = R"({"items":[],"as-of":7})";
                 return FakeReply{fmt::format("HTTP/1.1 200 OK\r\nStore-Era: -1\r\n"
                                              "Content-Length: {}\r\n\r\n{}",
                                              body.size(), body)};
               }).ok());
}

} // namespace wigeonlift
