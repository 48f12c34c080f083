#include <LibCatalogue/LibCatalogue.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace wigeonlift;

namespace {

std::string partText(const std::string &service) {
  return "services:\n  - {name: " + service +
         ", slots: 3, connections_per_upstream: 9, retry_percent: 8, hedge_percent: 5,\n"
         "     measuring: {probes_per_second: 28, probes_per_second_per_upstream: 2}}\n"
         "entries:\n  - {name: " +
         service + "-list, owner: o, service: " + service + ", path_prefix: /" + service +
         ", class: export,\n"
         "     limits: {calls_per_second: 4, in_flight: 4, queue: 4, deadline_ms: 500}}\n";
}

std::string rootText(const std::vector<CatalogueSection> &parts, int versionNumber = 7) {
  std::string text = "format: 1\nversion: " + std::to_string(versionNumber) +
                     "\nfleet: {max_entry_vms: 4}\nparts:\n";
  for (const CatalogueSection &it : parts)
    text += "  - {key: " + std::string{it.Key} +
            ", digest: " + ContentDigest::of(it.Text).toText() + "}\n";
  return text;
}

ParsedCatalogue parseParts(const std::vector<CatalogueSection> &parts) {
  return parseCatalogue(composeCatalogue(rootText(parts), parts));
}

bool hasError(const DocumentErrors &errors, const DocumentError &error) {
  return std::ranges::count(errors, error) == 1;
}

std::string replaced(std::string text, std::string_view from, std::string_view to) {
  return text.replace(text.find(from), from.size(), to);
}

} // namespace

// Guards against parts that are lost, and against VMs that compose or split a catalogue
// differently.
TEST(CatalogueParts, ComposeIntoOneCatalogue) {
  const std::string firstPart = partText("rankview");
  const std::string secondPart = partText("gradebook");
  const std::vector<CatalogueSection> parts{{"rankview", firstPart}, {"gradebook", secondPart}};
  const std::string document = composeCatalogue(rootText(parts), parts);
  const ParsedCatalogue parsed = parseCatalogue(document);
  ASSERT_TRUE(parsed.Value);
  EXPECT_EQ(parsed.Value->Entries.at(1).Service, 1U);
  EXPECT_EQ(parsed.Value->Version, CatalogueVersion::of(7, document));
  EXPECT_EQ(splitCatalogue(document).at(2).Text, secondPart);
}

// Guards against resolving the services of entries before all parts are read.
TEST(CatalogueParts, MayReferToServicesOfLaterParts) {
  const std::string firstPart =
      replaced(partText("rankview"), "service: rankview", "service: gradebook");
  const std::string secondPart = partText("gradebook");
  const ParsedCatalogue parsed = parseParts({{"a", firstPart}, {"b", secondPart}});
  ASSERT_TRUE(parsed.Value);
  EXPECT_EQ(parsed.Value->Entries.at(0).Service, 1U);
}

// Guards against errors that report a line of the composed document, which no operator has written,
// or the wrong part.
TEST(CatalogueParts, ErrorsReportPartAndLine) {
  const std::string firstPart = partText("rankview");
  std::string secondPart =
      replaced(partText("gradebook"), "service: gradebook", "service: missing");
  secondPart = replaced(secondPart, "/gradebook", "/rankview") + "version: 8\n";
  const ParsedCatalogue parsed = parseParts({{"a", firstPart}, {"b", secondPart}});
  EXPECT_FALSE(parsed.Value);
  EXPECT_TRUE(
      hasError(parsed.Errors, {5, "entries[0].service", DocumentRule::RefersToService, "b"}));
  EXPECT_TRUE(hasError(parsed.Errors, {5, "entries[0].path_prefix", DocumentRule::IsUnique, "b"}));
  EXPECT_TRUE(hasError(parsed.Errors, {7, "version", DocumentRule::IsKnown, "b"}));
}

// Guards against accepting different parts for the same root: a document is rejected if a part is
// missing, differs from its digest, is out of order or isn't in the part list.
TEST(CatalogueParts, MustMatchPartListOfRoot) {
  const std::string firstPart = partText("rankview");
  const std::string secondPart = partText("gradebook");
  const std::vector<CatalogueSection> parts{{"a", firstPart}, {"b", secondPart}};
  const auto errorsOf = [&](const std::vector<CatalogueSection> &composedParts) {
    return parseCatalogue(composeCatalogue(rootText(parts), composedParts)).Errors;
  };
  EXPECT_TRUE(errorsOf(parts).empty());
  EXPECT_TRUE(hasError(errorsOf({{"a", firstPart}}), {6, "parts[1].key", DocumentRule::HasPart}));
  EXPECT_TRUE(hasError(errorsOf({{"a", firstPart}, {"b", secondPart + " "}}),
                       {6, "parts[1].digest", DocumentRule::MatchesDigest}));
  EXPECT_FALSE(errorsOf({{"b", secondPart}, {"a", firstPart}}).empty());
  EXPECT_FALSE(errorsOf({{"a", firstPart}, {"b", secondPart}, {"c", "services: []\n"}}).empty());
}

// Guards against a part that contains a document marker: the rest of the part would be split off or
// ignored.
TEST(CatalogueParts, MustNotContainSecondDocument) {
  const std::string text = partText("rankview") + "--- # part b\n" + partText("gradebook");
  const ParsedCatalogue parsed = parseParts({{"a", text}});
  EXPECT_FALSE(parsed.Value);
  const std::string textEndingInMarker = partText("rankview") + "---\n";
  EXPECT_TRUE(hasError(parseParts({{"a", textEndingInMarker}}).Errors,
                       {7, "", DocumentRule::IsSingleDocument, "a"}));
}

// Guards against part keys that refer to other values or files, and against empty or unbounded part
// lists and malformed digests.
TEST(CatalogueParts, KeysAndCountAreLimited) {
  for (const char *it : {"catalogue", "", "a/b", "..", ".a", "-a", "A", "a?b", "a%2fb"})
    EXPECT_FALSE(isPartKey(it)) << it;
  EXPECT_FALSE(isPartKey(std::string(65, 'a')));
  EXPECT_TRUE(isPartKey("catalogue.rank-view_2"));
  const auto errorsOfPartCount = [](std::size_t partCount) {
    std::vector<std::string> keys;
    for (std::size_t n = 0; n < partCount; ++n)
      keys.push_back("k" + std::to_string(n));
    std::vector<CatalogueSection> parts;
    for (const std::string &it : keys)
      parts.push_back({it, ""});
    return readPartList(rootText(parts)).Errors;
  };
  EXPECT_TRUE(errorsOfPartCount(MaxCatalogueParts).empty());
  EXPECT_TRUE(
      hasError(errorsOfPartCount(MaxCatalogueParts + 1), {5, "parts", DocumentRule::IsPartCount}));
  const std::string rootWithEmptyPartList = replaced(rootText({}), "parts:", "parts: []");
  EXPECT_TRUE(hasError(readPartList(rootWithEmptyPartList).Errors,
                       {4, "parts", DocumentRule::IsPartCount}));
  const std::string rootWithInvalidDigest =
      replaced(rootText({{"a", ""}}), "digest: ", "digest: 0x");
  EXPECT_TRUE(hasError(readPartList(rootWithInvalidDigest).Errors,
                       {5, "parts[0].digest", DocumentRule::IsDigest}));
}

// Guards against VMs that keep different catalogues after two roots were written with the same
// version number.
TEST(CatalogueParts, RootsWithSameVersionConverge) {
  const std::string firstPart = partText("rankview");
  const std::string secondPart = partText("gradebook");
  const auto firstCatalogue = parseParts({{"a", firstPart}}).Value;
  const auto secondCatalogue = parseParts({{"a", secondPart}}).Value;
  CatalogueStore firstStore;
  CatalogueStore secondStore;
  firstStore.offer(firstCatalogue, {});
  firstStore.offer(secondCatalogue, {});
  secondStore.offer(secondCatalogue, {});
  secondStore.offer(firstCatalogue, {});
  EXPECT_EQ(firstStore.version(), secondStore.version());
  EXPECT_EQ(firstStore.conflicts(), 1U);
}

// Guards against treating a catalogue without parts as a split one because a name in it contains
// `parts`.
TEST(CatalogueParts, AreNotDetectedInUnsplitCatalogues) {
  const std::string text =
      "format: 1\nversion: 7\nfleet: {max_entry_vms: 4}\n" + partText("spareparts");
  EXPECT_TRUE(readPartList(text).Items.empty());
  EXPECT_TRUE(readPartList(text).Errors.empty());
  EXPECT_TRUE(parseCatalogue(text).Value);
}
