#include <LibCatalogue/LibCatalogue.h>
#include <Tests/Support/Replaced.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace wigeonlift;

namespace {

constexpr const char *Document = R"(format: 1
version: 7
fleet: {max_entry_vms: 16}
dialects:
  - {name: plain, owner: X-Owner, deadline: X-Deadline, deadline_unit: s, request_id: X-Id, class: X-Class}
services:
  - name: rankview
    slots: 3
    connections_per_upstream: 220
    call_depth: 1
    retry_percent: 0.7
    hedge_percent: 0.4
    measuring: {probes_per_second: 28, probes_per_second_per_upstream: 2}
entries:
  - name: history
    owner: dojo
    service: rankview
    path_prefix: /rank
    class: idempotent
    limits: {calls_per_second: 10, in_flight: 5, queue: 5, deadline_ms: 500}
)";

std::shared_ptr<const Catalogue> catalogueOfVersion(int versionNumber,
                                                    std::string_view comment = "") {
  std::string text = replaced(Document, "version: 7", "version: " + std::to_string(versionNumber));
  return parseCatalogue(text.append("# ").append(comment).append("\n")).Value;
}

bool hasError(const DocumentErrors &errors, int line, std::string_view key, DocumentRule rule) {
  return std::ranges::count(errors, DocumentError{line, std::string{key}, rule}) == 1;
}

} // namespace

TEST(CatalogueParser, ParsesValidDocument) {
  const ParsedCatalogue parsed = parseCatalogue(Document);
  ASSERT_TRUE(parsed.Value) << parsed.Errors.size();
  EXPECT_EQ(parsed.Value->Version.Number, 7U);
  EXPECT_EQ(parsed.Value->Dialects.at(0).DeadlineUnit, std::chrono::seconds{1});
  EXPECT_EQ(parsed.Value->Entries.at(0).Limits.Deadline, std::chrono::milliseconds{500});
}

// Guards against errors that report the wrong line, key or rule to the operator.
TEST(CatalogueParser, ReportsLineKeyAndRule) {
  std::string text = replaced(Document, "slots: 3", "slots: none");
  text = replaced(text, "service: rankview", "service: missing");
  text = replaced(text, "class: idempotent", "class: idempotent\n    colour: red");
  const ParsedCatalogue parsed = parseCatalogue(text);
  EXPECT_FALSE(parsed.Value);
  EXPECT_TRUE(hasError(parsed.Errors, 8, "services[0].slots", DocumentRule::IsNumber));
  EXPECT_TRUE(hasError(parsed.Errors, 17, "entries[0].service", DocumentRule::RefersToService));
  EXPECT_TRUE(hasError(parsed.Errors, 20, "entries[0].colour", DocumentRule::IsKnown));
}

// Guards against accepting a document that is empty, malformed, not a map, too large, has a
// repeated key or has an unsupported format.
TEST(CatalogueParser, RejectsInvalidDocuments) {
  EXPECT_FALSE(parseCatalogue("").Value);
  EXPECT_FALSE(parseCatalogue("a: [").Value);
  EXPECT_FALSE(parseCatalogue("- 1").Value);
  EXPECT_FALSE(parseCatalogue(std::string(MaxCatalogueBytes + 1, ' ')).Value);
  EXPECT_FALSE(parseCatalogue(std::string{Document} + "version: 8\n").Value);
  EXPECT_FALSE(parseCatalogue(replaced(Document, "format: 1", "format: 2")).Value);
}

// Guards against retry and hedge percentages that multiply over the levels of a deep call tree.
TEST(CatalogueParser, LimitsRetriesOverCallDepth) {
  const auto withDepth = [](const std::string &depth) {
    return parseCatalogue(replaced(Document, "call_depth: 1", "call_depth: " + depth));
  };
  EXPECT_TRUE(withDepth("16").Value);
  const std::string moreRetries = replaced(Document, "retry_percent: 0.7", "retry_percent: 0.8");
  EXPECT_TRUE(parseCatalogue(moreRetries).Value);
  EXPECT_FALSE(parseCatalogue(replaced(moreRetries, "call_depth: 1", "call_depth: 16")).Value);
}

// Guards against matching `/ranking` to the entry for `/rank`, or a call to another owner's entry.
TEST(Catalogue, MatchesPathSegmentsAndOwner) {
  const auto catalogue = catalogueOfVersion(7);
  EXPECT_TRUE(catalogue->match("/rank/7", "dojo"));
  EXPECT_TRUE(catalogue->match("/rank?page=2", ""));
  EXPECT_FALSE(catalogue->match("/ranking", "dojo"));
  EXPECT_FALSE(catalogue->match("/rank", "stranger"));
}

// Guards against a return to an older version after the configuration service was restored to an
// older state.
TEST(CatalogueStore, RejectsOlderVersions) {
  CatalogueStore store;
  const TimePoint now{};
  EXPECT_EQ(store.offer(catalogueOfVersion(7), now), OfferResult::Accepted);
  EXPECT_EQ(store.offer(catalogueOfVersion(6), now), OfferResult::Older);
  EXPECT_EQ(store.offer(catalogueOfVersion(7), now), OfferResult::Unchanged);
  EXPECT_EQ(store.version().Number, 7U);
  EXPECT_EQ(store.olderOffers(), 1U);
}

// Guards against VMs that keep different catalogues after they received two documents with the same
// version number in different orders.
TEST(CatalogueStore, ConvergesOnVersionConflicts) {
  CatalogueStore firstStore;
  CatalogueStore secondStore;
  const auto firstCatalogue = catalogueOfVersion(7, "one");
  const auto secondCatalogue = catalogueOfVersion(7, "two");
  firstStore.offer(firstCatalogue, {});
  firstStore.offer(secondCatalogue, {});
  secondStore.offer(secondCatalogue, {});
  secondStore.offer(firstCatalogue, {});
  EXPECT_EQ(firstStore.version(), secondStore.version());
  EXPECT_EQ(firstStore.conflicts(), 1U);
}
