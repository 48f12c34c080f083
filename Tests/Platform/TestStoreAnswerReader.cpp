#include <platform/Base64Reader.h>
#include <platform/Platform.h>

#include <absl/strings/escaping.h>

#include <fmt/format.h>

#include <gtest/gtest.h>

#include <string>

namespace wigeonlift {

namespace {

constexpr std::string_view Record =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a\"z","capacity-slots":3,"state":"ready",)"
    R"("warmup-remaining":"1.5s","sequence":12345678901,"born":1780000000000,"deep":[{"zone":"x"}]})";

/// Reads an answer in parts of a size.
absl::StatusOr<StoreDelta> read(std::string_view body, std::size_t partBytes) {
  StoreIntake intake{IntakeKind::Changes, &platform::platformStoreFormat()};
  platform::StoreAnswerReader reader{"events", 2, intake};
  for (std::size_t at = 0; at < body.size(); at += partBytes)
    if (absl::Status status = reader.write(body.substr(at, partBytes)); !status.ok())
      return status;
  if (absl::Status status = reader.finish(); !status.ok())
    return status;
  return intake.take(false, reader.asOf());
}

std::optional<std::string> decodeInParts(std::string_view text, std::size_t partBytes) {
  platform::Base64Reader reader;
  std::string result;
  const auto sink = [&](std::string_view bytes) { result += bytes; };
  for (std::size_t at = 0; at < text.size(); at += partBytes)
    reader.write(text.substr(at, partBytes), sink);
  return reader.finish(sink) ? std::optional{result} : std::nullopt;
}

std::string textOf(std::string_view bytes) {
  return absl::Base64Escape(absl::string_view{bytes.data(), bytes.size()});
}

} // namespace

// Guards against answers that are understood or not depending on how they are cut on the way.
TEST(StoreAnswerReader, TheCutsOfAnAnswerDoNotMatter) {
  const std::string configuration = R"({"version":1,"services":[{"name":"s"}]})";
  const std::string body = fmt::format(
      R"( {{"as-of":9,"events":[{{"value":"{}","lease":0,"key":"op/config","revision":7}},)"
      R"({{"key":"servers/\u0061","value":"{}","revision":8,"more":[{{"key":"x"}}]}},)"
      R"({{"revision":9,"deleted":true,"key":"servers/b"}}],"has-more":false}} )",
      textOf(configuration), textOf(Record));
  for (const std::size_t size : {1, 2, 3, 5, 7, 64, 4096}) {
    const auto delta = read(body, size);
    ASSERT_TRUE(delta.ok()) << delta.status() << size;
    ASSERT_EQ(delta->Items.size(), 3U);
    EXPECT_EQ(delta->Items[0].Value, configuration);
    EXPECT_EQ(delta->Items[1].Key, "servers/a");
    EXPECT_EQ(platform::decodeUpstreamRecord("a", delta->Items[1].Value),
              platform::decodeUpstreamRecord("a", Record));
    EXPECT_TRUE(delta->Items[2].IsRemoved);
    EXPECT_EQ(delta->AsOf, StoreRevision(2, 9));
    EXPECT_EQ(delta->Items[2].Revision, StoreRevision(2, 9));
  }
}

// Guards against malformed answers that count as news of the store.
TEST(StoreAnswerReader, RejectsMalformedAnswers) {
  for (const std::string_view body :
       {R"({"events":[)", R"({"events":[]})", R"({"as-of":1})", R"([])",
        R"({"events":{},"as-of":1})", R"({"events":[1],"as-of":1})",
        R"({"events":["a"],"as-of":1})", R"({"events":[{"revision":1}],"as-of":1})",
        R"({"events":[{"key":"a"}],"as-of":1})", R"({"events":[{"key":1,"revision":1}],"as-of":1})",
        R"({"events":[{"key":"a","revision":-1}],"as-of":1})",
        R"({"events":[{"key":"a","revision":1.5}],"as-of":1})", R"({"events":[],"as-of":1}x)", ""})
    for (const std::size_t size : {1U, 100U})
      EXPECT_FALSE(read(body, size).ok()) << body;
  EXPECT_FALSE(read(fmt::format(R"({{"events":[{{"key":"{}","revision":1}}],"as-of":1}})",
                                std::string(10'000, 'k')),
                    64)
                   .ok());
}

// Guards against values that are decoded another way when they come in parts.
TEST(Base64Reader, DecodesPartsLikeTheWhole) {
  std::string bytes;
  for (int n = 0; n < 40; ++n) {
    const std::string text = textOf(bytes);
    for (const std::size_t size : {1, 2, 3, 4, 5, 9, 100})
      EXPECT_EQ(decodeInParts(text, size), bytes) << text << " " << size;
    bytes += static_cast<char>(n * 37);
  }
  for (const std::string_view text : {"!!", "eA==eA==", "eA=", "e", "eA==x"})
    for (const std::size_t size : {1U, 3U, 100U})
      EXPECT_FALSE(decodeInParts(text, size)) << text << " " << size;
}

// Guards against an entry that counts as an upstream although a field is of another type, too long
// or hidden in another object, and against one that doesn't because of what VMs don't read.
TEST(UpstreamEntryReader, ReadsTheFieldsThatMatter) {
  const auto with = [](std::string_view field, std::string_view value) {
    std::string text{Record};
    return fmt::format(R"({},"{}":{}}})", text.substr(0, text.size() - 1), field, value);
  };
  const std::string longText = '"' + std::string(256, 'z') + '"';
  const auto reads = [](const std::string &value) {
    return platform::decodeUpstreamRecord("a", value).has_value();
  };
  EXPECT_TRUE(reads(std::string{Record}));
  EXPECT_TRUE(reads(with("notes", '"' + std::string(100'000, 'n') + '"')));
  EXPECT_TRUE(reads(with(std::string(1000, 'k'), R"({"state":"unknown"})")));
  EXPECT_TRUE(reads(with("sequence", "[1,2]")));
  EXPECT_TRUE(reads(with("warmup-remaining", "3")));
  for (const auto &[field, value] : std::initializer_list<std::pair<std::string, std::string>>{
           {"service", longText},
           {"service", "{}"},
           {"service", R"("")"},
           {"zone", longText},
           {"zone", "null"},
           {"address",
            R"("10.0.0.1:0000000000000000000000000000000000000000000000000000000000080")"},
           {"address", R"("nowhere")"},
           {"state", R"("asleep")"},
           {"state", "true"},
           {"capacity-slots", "0"},
           {"capacity-slots", "-3"},
           {"capacity-slots", "3.5"},
           {"capacity-slots", R"("3")"},
           {"warmup-remaining", longText},
           {"warmup-remaining", R"("soon")"},
           {"born", "[]"},
           {"born", R"("")"}})
    EXPECT_FALSE(reads(with(field, value))) << field << value;
  EXPECT_FALSE(reads(fmt::format("[{}]", Record)));
  EXPECT_FALSE(reads(fmt::format(R"({{"entry":{}}})", Record)));
  EXPECT_FALSE(reads(std::string{Record} + "x"));
}

// Guards against a reduced entry that other VMs read as another upstream, or that another VM
// reduces to something else.
TEST(PlatformStoreFormat, ReducedEntriesMeanTheSame) {
  StoreItem once{.Key = "servers/a", .Value = std::string{Record}, .Revision = 1};
  ASSERT_TRUE(platform::platformStoreFormat().reduce(once));
  EXPECT_EQ(once.Service, "s");
  EXPECT_EQ(platform::decodeUpstreamRecord("a", once.Value),
            platform::decodeUpstreamRecord("a", Record));
  StoreItem twice = once;
  ASSERT_TRUE(platform::platformStoreFormat().reduce(twice));
  EXPECT_EQ(once, twice);
  StoreItem odd{.Key = "servers/a", .Value = "{", .Revision = 1};
  EXPECT_TRUE(platform::platformStoreFormat().reduce(odd));
  EXPECT_TRUE(odd.IsRemoved);
  StoreItem other{.Key = "notes/a", .Value = "{", .Revision = 1};
  EXPECT_FALSE(platform::platformStoreFormat().reduce(other));
}

// Guards against a service in use whose upstreams give way, as its name wasn't found.
TEST(PlatformStoreFormat, FindsAllServicesOfAConfiguration) {
  const auto names = platform::namedServicesOf(
      R"({"version":1,"routes":[{"name":"r","service":"a"},{"name":"q","traffic-split":)"
      R"([{"service":"b","weight":1},{"service":"c\u0063","weight":2}]}],)"
      R"("services":[{"name":"d","health-check-path":"/h"}],"limits":{"name":"e"}})");
  ASSERT_TRUE(names);
  EXPECT_EQ(*names, (std::vector<std::string>{"a", "b", "cc", "d"}));
  EXPECT_FALSE(platform::namedServicesOf("{"));
}

} // namespace wigeonlift
