#include <platform/Platform.h>

#include <Tests/Support/FakeUpstream.h>

#include <LibHttp/LibHttp.h>

#include <boost/asio/co_spawn.hpp>

#include <absl/strings/escaping.h>

#include <fmt/format.h>

#include <gtest/gtest.h>

#include <optional>

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
  asio::co_spawn(context, client.readAll(std::chrono::seconds{2}),
                 [&](const std::exception_ptr &, absl::StatusOr<StoreDelta> delta) {
                   result = std::move(delta);
                   context.stop();
                 });
  context.run_for(std::chrono::seconds{5});
  return result.value_or(absl::InternalError("no result"));
}

} // namespace

// Guards against one item whose value can't be decoded and that keeps a VM from reading all others.
TEST(StoreClient, AnItemWithAnUnreadableValueHidesNoOthers) {
  const auto delta = readAllFrom([](const std::string &) {
    return pageReply(R"({"items":[{"key":"a","value":"!!","revision":3},{"key":"b","revision":4},)"
                     R"({"key":"c","value":"eA==","revision":5}],"has-more":false,"as-of":7})");
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  ASSERT_EQ(delta->Items.size(), 3U);
  EXPECT_EQ(delta->Items[0].Value, "");
  EXPECT_EQ(delta->Items[1].Value, "");
  EXPECT_EQ(delta->Items[2].Value, "x");
}

// Guards against large entries of another writer that each VM keeps and passes on, although nobody
// reads them: the review's case 5 took VMs over their memory, again after each start.
TEST(StoreClient, LargeValuesThatNobodyReadsAreDropped) {
  const std::string large(100'000, 'x');
  const std::string record =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","capacity-slots":3,)"
      R"("state":"ready","warmup-remaining":"0ms","sequence":1,"born":1,"more":")" +
      large + "\"}";
  const auto item = [](std::string_view key, const std::string &value) {
    return fmt::format(R"({{"key":"{}","value":"{}","revision":3}})", key,
                       absl::Base64Escape(value));
  };
  const auto delta = readAllFrom([&](const std::string &) {
    return pageReply(fmt::format(R"({{"items":[{},{},{},{}],"has-more":false,"as-of":7}})",
                                 item("servers/other-writer", large), item("other/key", large),
                                 item("op/config", large), item("servers/i-1", record)));
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  ASSERT_EQ(delta->Items.size(), 4U);
  EXPECT_EQ(delta->Items[0].Value, "");
  EXPECT_EQ(delta->Items[1].Value, "");
  EXPECT_EQ(delta->Items[2].Value, large);
  EXPECT_EQ(delta->Items[3].Value, record);
}

// Guards against pages that are lost, and against a copy that claims a later revision than that at
// which its first page was read.
TEST(StoreClient, ReadsAllPages) {
  const auto delta = readAllFrom([](const std::string &request) {
    return request.find("after=a") == std::string::npos
               ? pageReply(
                     R"({"items":[{"key":"a","value":"","revision":3}],"has-more":true,"as-of":7})")
               : pageReply(
                     R"({"items":[{"key":"b","value":"","revision":8}],"has-more":false,"as-of":9})");
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  EXPECT_TRUE(delta->IsComplete);
  EXPECT_EQ(delta->AsOf, 7U);
  ASSERT_EQ(delta->Items.size(), 2U);
  EXPECT_EQ(delta->Items[1].Key, "b");
}

// Guards against a copy that lacks keys and counts as complete: upstreams and the configuration
// would be taken for removed.
TEST(StoreClient, PagesThatDoNotAdvanceAreNoCompleteCopy) {
  const std::string_view samePage =
      R"({"items":[{"key":"a","value":"","revision":3}],"has-more":true,"as-of":7})";
  EXPECT_FALSE(readAllFrom([&](const std::string &) { return pageReply(samePage); }).ok());
  const std::string_view emptyPage = R"({"items":[],"has-more":true,"as-of":7})";
  EXPECT_FALSE(readAllFrom([&](const std::string &) { return pageReply(emptyPage); }).ok());
  EXPECT_FALSE(readAllFrom([&](const std::string &request) {
                 return pageReply(request.find("after=a") == std::string::npos ? samePage
                                                                               : emptyPage);
               }).ok());
}

// Guards against a copy with pages of two eras, and against a read that never ends.
TEST(StoreClient, ACopyIsOfOneEra) {
  const auto page = [](const char *key, bool hasMore, int era) {
    const std::string body = fmt::format(
        R"({{"items":[{{"key":"{}","value":"","revision":3}}],"has-more":{},"as-of":7}})", key,
        hasMore);
    return FakeReply{fmt::format("HTTP/1.1 200 OK\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n{}",
                                 era, body.size(), body)};
  };
  int calls = 0;
  const auto delta = readAllFrom([&](const std::string &request) {
    const bool isFirst = request.find("after=") == std::string::npos;
    return page(isFirst ? "a" : "b", isFirst, ++calls == 1 ? 1 : 2);
  });
  ASSERT_TRUE(delta.ok()) << delta.status();
  EXPECT_EQ(delta->AsOf, StoreRevision(2, 7));
  ASSERT_EQ(delta->Items.size(), 2U);
  EXPECT_EQ(delta->Items[0].Revision, StoreRevision(2, 3));
  EXPECT_FALSE(readAllFrom([&](const std::string &) { return page("a", true, ++calls); }).ok());
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
