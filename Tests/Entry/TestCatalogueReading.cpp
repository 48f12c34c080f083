#include <LibHttp/LibHttp.h>
#include <Services/Entry/CatalogueReading.h>

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

#include <exception>
#include <iostream>
#include <map>

using namespace wigeonlift;

namespace {

constexpr std::uint64_t Seed = 20261204;

using Parts = std::map<std::string, std::string>;

std::string part(const std::string &service) {
  return "services:\n  - {name: " + service +
         ", slots: 3, connections_per_upstream: 9, retry_percent: 8, hedge_percent: 5, measuring: "
         "{probes_per_second: 28, probes_per_second_per_upstream: 2}}\n";
}

std::string root(int version, const Parts &parts) {
  std::string text =
      "format: 1\nversion: " + std::to_string(version) + "\nfleet: {max_entry_vms: 4}\nparts:\n";
  for (const auto &[key, content] : parts)
    text += "  - {key: " + key + ", digest: " + ContentDigest::of(content).toText() + "}\n";
  return text;
}

/// Reads from a configuration service whose values a test sets. It answers a watch at once.
class CatalogueReadingTest : public testing::Test {
protected:
  CatalogueReadingTest()
      : Server(Context, [this](HttpRequest request) { return answer(std::move(request)); }) {
    std::cout << "seed " << Seed << '\n';
    EXPECT_TRUE(Server.start(*parseEndpoint("127.0.0.1:0")).ok());
    const auto endpoint = parseEndpoint("127.0.0.1:" + std::to_string(Server.port()));
    Reader.emplace(
        ConfigurationClient{*endpoint}, Platform, [this] { return Store.current(); }, Seed);
  }

  void writeRoot(std::string text) {
    Values["catalogue"] = std::move(text);
    ++Index;
  }
  /// Reads once, and offers the document to the store as a VM does.
  absl::StatusOr<std::string> read() {
    absl::StatusOr<std::string> result = absl::InternalError("the read did not finish");
    bool isDone = false;
    boost::asio::co_spawn(Context, Reader->next(),
                          [&](const std::exception_ptr &, absl::StatusOr<std::string> document) {
                            result = std::move(document);
                            isDone = true;
                          });
    while (!isDone)
      Context.run_one();
    if (result.ok() && !result->empty())
      if (const auto value = parseCatalogue(*result).Value)
        Store.offer(value, {});
    return result;
  }
  std::uint64_t version() const { return Store.version().Number; }
  int reads(const std::string &key) { return std::exchange(Reads[key], 0); }

  Parts Values;
  boost::beast::http::status PartStatus = boost::beast::http::status::ok;
  PlatformState Platform;
  CatalogueStore Store;

private:
  boost::asio::awaitable<HttpResponse> answer(HttpRequest request) {
    const std::string target{request.target().data(), request.target().size()};
    constexpr std::size_t keyAt = std::string_view{"/v1/keys/"}.size();
    const std::string key = target.substr(keyAt, target.find('?') - keyAt);
    ++Reads[key];
    const auto value = Values.find(key);
    HttpResponse response{boost::beast::http::status::ok, 11};
    if (key != "catalogue" && PartStatus != boost::beast::http::status::ok)
      response.result(PartStatus);
    else if (value == Values.end())
      response.result(boost::beast::http::status::not_found);
    else if (target.find("after=" + std::to_string(Index) + "&") != target.npos)
      response.result(boost::beast::http::status::not_modified);
    else
      response.body() = value->second;
    response.set("X-Index", std::to_string(Index));
    response.prepare_payload();
    co_return response;
  }

  boost::asio::io_context Context;
  HttpServer Server;
  std::optional<CatalogueReading> Reader;
  std::uint64_t Index = 1;
  std::map<std::string, int> Reads;
};

} // namespace

// Guards against a reader that receives the whole catalogue on each change.
TEST_F(CatalogueReadingTest, ReadsOnlyPartsThatChanged) {
  Parts parts{{"a", part("a")}, {"b", part("b")}};
  Values = parts;
  writeRoot(root(1, parts));
  EXPECT_TRUE(read().ok());
  EXPECT_EQ(version(), 1U);
  EXPECT_EQ(reads("a"), 1);
  EXPECT_EQ(reads("b"), 1);
  Values["b"] = parts["b"] = part("b") + "# edited\n";
  writeRoot(root(2, parts));
  EXPECT_TRUE(read().ok());
  EXPECT_EQ(version(), 2U);
  EXPECT_EQ(reads("a"), 0);
  EXPECT_EQ(reads("b"), 1);
  EXPECT_EQ(Store.current()->Services.size(), 2U);
}

// Guards against a reader that reads again what its peers have already brought it.
TEST_F(CatalogueReadingTest, TakesPartsFromTheCatalogueInForce) {
  const std::string text = part("a");
  const CatalogueSection section{"a", text};
  Store.offer(parseCatalogue(composeCatalogue(root(1, {{"a", text}}), {&section, 1})).Value, {});
  Values["a"] = text;
  writeRoot(root(2, {{"a", text}}));
  EXPECT_TRUE(read().ok());
  EXPECT_EQ(version(), 2U);
  EXPECT_EQ(reads("a"), 0);
}

// Guards against a root that comes into effect before its parts, or never, when an operator wrote
// it first.
TEST_F(CatalogueReadingTest, WaitsForAPartThatIsWrittenAfterTheRoot) {
  Parts parts{{"a", part("a")}};
  Values = parts;
  writeRoot(root(1, parts));
  EXPECT_TRUE(read().ok());
  parts["b"] = part("b");
  writeRoot(root(2, parts));
  EXPECT_EQ(*read(), "");
  EXPECT_EQ(Platform.MissingParts, 1U);
  EXPECT_EQ(version(), 1U);
  Values["b"] = part("b");
  EXPECT_NE(*read(), "");
  EXPECT_EQ(Platform.MissingParts, 0U);
  EXPECT_EQ(version(), 2U);
}

// Guards against a version that gets another content on a VM whose replica has an older part.
TEST_F(CatalogueReadingTest, RefusesAPartWithAnotherDigest) {
  Values["a"] = part("old");
  writeRoot(root(1, {{"a", part("a")}}));
  EXPECT_EQ(*read(), "");
  EXPECT_EQ(version(), 0U);
  Values["a"] = part("a");
  EXPECT_TRUE(read().ok());
  EXPECT_EQ(version(), 1U);
}

// Guards against a VM that sticks to a root without its parts when the operator has replaced it.
TEST_F(CatalogueReadingTest, GivesUpARootForANewerOne) {
  writeRoot(root(1, {{"a", part("a")}}));
  EXPECT_EQ(*read(), "");
  Values["b"] = part("b");
  writeRoot(root(2, {{"b", part("b")}}));
  EXPECT_TRUE(read().ok());
  EXPECT_EQ(version(), 2U);
  EXPECT_EQ(Platform.MissingParts, 0U);
}

// Guards against a return to an older version when the service goes back, with or without parts.
TEST_F(CatalogueReadingTest, NeverGoesBack) {
  Values["a"] = part("a");
  writeRoot(root(2, {{"a", part("a")}}));
  EXPECT_TRUE(read().ok());
  Values["a"] = part("old");
  writeRoot(root(1, {{"a", part("old")}}));
  EXPECT_NE(*read(), "");
  EXPECT_EQ(version(), 2U);
  EXPECT_EQ(Store.olderOffers(), 1U);
  writeRoot(root(1, {{"a", part("older")}}));
  EXPECT_EQ(*read(), "");
  EXPECT_EQ(version(), 2U);
  EXPECT_EQ(Platform.MissingParts, 0U);
  reads("a");
  EXPECT_EQ(*read(), "");
  EXPECT_EQ(reads("a"), 0);
}

// Guards against a service that is down being taken for one without the part.
TEST_F(CatalogueReadingTest, FailsWhenTheServiceFails) {
  Values["a"] = part("a");
  writeRoot(root(1, {{"a", part("a")}}));
  PartStatus = boost::beast::http::status::service_unavailable;
  EXPECT_FALSE(read().ok());
  EXPECT_EQ(Platform.ConfigurationFailures, 1U);
  PartStatus = boost::beast::http::status::ok;
  EXPECT_TRUE(read().ok());
  EXPECT_EQ(version(), 1U);
}

// Guards against parts that fill the memory of a VM: together they are at most as large as a
// catalogue.
TEST_F(CatalogueReadingTest, BoundsTheParts) {
  for (const char *key : {"a", "b", "c"})
    Values[key] = part(key) + "#" + std::string(MaxCatalogueBytes / 2, *key) + "\n";
  writeRoot(root(1, Values));
  EXPECT_EQ(*read(), "");
  EXPECT_EQ(reads("a") + reads("b"), 2);
  EXPECT_EQ(reads("c"), 0);
  EXPECT_EQ(Platform.MissingParts, 0U);
  EXPECT_EQ(version(), 0U);
}

// Guards against an ordinary catalogue that is no longer handed on as it is.
TEST_F(CatalogueReadingTest, HandsAnOrdinaryCatalogueOnUnchanged) {
  const std::string text =
      "format: 1\nversion: 3\nfleet: {max_entry_vms: 4}\n" + part("parts") + "entries: []\n";
  writeRoot(text);
  EXPECT_EQ(*read(), text);
  EXPECT_EQ(*read(), "");
  EXPECT_EQ(version(), 3U);
}
