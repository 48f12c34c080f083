#include <LibCatalogue/LibCatalogue.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace wigeonlift;

namespace {

std::string part(const std::string &service) {
  return "services:\n  - {name: " + service +
         ", slots: 3, connections_per_upstream: 9, retry_percent: 8, hedge_percent: 5,\n"
         "     measuring: {probes_per_second: 28, probes_per_second_per_upstream: 2}}\n"
         "entries:\n  - {name: " +
         service + "-list, owner: o, service: " + service + ", path_prefix: /" + service +
         ", class: export,\n"
         "     limits: {calls_per_second: 4, in_flight: 4, queue: 4, deadline_ms: 500}}\n";
}

std::string root(const std::vector<CatalogueSection> &parts, int version = 7) {
  std::string text =
      "format: 1\nversion: " + std::to_string(version) + "\nfleet: {max_entry_vms: 4}\nparts:\n";
  for (const CatalogueSection &it : parts)
    text += "  - {key: " + std::string{it.Key} +
            ", digest: " + ContentDigest::of(it.Text).toText() + "}\n";
  return text;
}

ParsedCatalogue parseParts(const std::vector<CatalogueSection> &parts) {
  return parseCatalogue(composeCatalogue(root(parts), parts));
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
  const std::string first = part("rankview");
  const std::string second = part("gradebook");
  const std::vector<CatalogueSection> parts{{"rankview", first}, {"gradebook", second}};
  const std::string document = composeCatalogue(root(parts), parts);
  const ParsedCatalogue parsed = parseCatalogue(document);
  ASSERT_TRUE(parsed.Value);
  EXPECT_EQ(parsed.Value->Entries.at(1).Service, 1U);
  EXPECT_EQ(parsed.Value->Version, CatalogueVersion::of(7, document));
  EXPECT_EQ(splitCatalogue(document).at(2).Text, second);
}

// Guards against resolving the services of entries before all parts are read.
TEST(CatalogueParts, MayReferToServicesOfLaterParts) {
  const std::string first = replaced(part("rankview"), "service: rankview", "service: gradebook");
  const std::string second = part("gradebook");
  const ParsedCatalogue parsed = parseParts({{"a", first}, {"b", second}});
  ASSERT_TRUE(parsed.Value);
  EXPECT_EQ(parsed.Value->Entries.at(0).Service, 1U);
}

// Guards against errors that report a line of the composed document, which no operator has written,
// or the wrong part.
TEST(CatalogueParts, ErrorsReportPartAndLine) {
  const std::string first = part("rankview");
  std::string second = replaced(part("gradebook"), "service: gradebook", "service: missing");
  second = replaced(second, "/gradebook", "/rankview") + "version: 8\n";
  const ParsedCatalogue parsed = parseParts({{"a", first}, {"b", second}});
  EXPECT_FALSE(parsed.Value);
  EXPECT_TRUE(
      hasError(parsed.Errors, {5, "entries[0].service", DocumentRule::RefersToService, "b"}));
  EXPECT_TRUE(hasError(parsed.Errors, {5, "entries[0].path_prefix", DocumentRule::IsUnique, "b"}));
  EXPECT_TRUE(hasError(parsed.Errors, {7, "version", DocumentRule::IsKnown, "b"}));
}

// Guards against two different catalogues with the same version: a document is rejected if a part
// is missing, differs from its digest, is out of order or isn't in the part list.
TEST(CatalogueParts, MustMatchPartListOfRoot) {
  const std::string text = part("rankview");
  const std::string other = part("gradebook");
  const std::vector<CatalogueSection> parts{{"a", text}, {"b", other}};
  const auto errorsOf = [&](const std::vector<CatalogueSection> &given) {
    return parseCatalogue(composeCatalogue(root(parts), given)).Errors;
  };
  EXPECT_TRUE(errorsOf(parts).empty());
  EXPECT_TRUE(hasError(errorsOf({{"a", text}}), {6, "parts[1].key", DocumentRule::HasPart}));
  EXPECT_TRUE(hasError(errorsOf({{"a", text}, {"b", other + " "}}),
                       {6, "parts[1].digest", DocumentRule::MatchesDigest}));
  EXPECT_FALSE(errorsOf({{"b", other}, {"a", text}}).empty());
  EXPECT_FALSE(errorsOf({{"a", text}, {"b", other}, {"c", "services: []\n"}}).empty());
}

// Guards against a part that contains a document marker: the rest of the part would be split off or
// ignored.
TEST(CatalogueParts, MustNotContainSecondDocument) {
  const std::string text = part("rankview") + "--- # part b\n" + part("gradebook");
  const ParsedCatalogue parsed = parseParts({{"a", text}});
  EXPECT_FALSE(parsed.Value);
  const std::string marked = part("rankview") + "---\n";
  EXPECT_TRUE(
      hasError(parseParts({{"a", marked}}).Errors, {7, "", DocumentRule::IsSingleDocument, "a"}));
}

// Guards against part keys that refer to other values or files, and against unbounded part lists.
TEST(CatalogueParts, KeysAndCountAreLimited) {
  for (const char *it : {"catalogue", "", "a/b", "..", ".a", "-a", "A", "a?b", "a%2fb"})
    EXPECT_FALSE(isPartKey(it)) << it;
  EXPECT_FALSE(isPartKey(std::string(65, 'a')));
  EXPECT_TRUE(isPartKey("catalogue.rank-view_2"));
  const auto errors = [](std::size_t count) {
    std::vector<std::string> keys;
    for (std::size_t n = 0; n < count; ++n)
      keys.push_back("k" + std::to_string(n));
    std::vector<CatalogueSection> parts;
    for (const std::string &it : keys)
      parts.push_back({it, ""});
    return readPartList(root(parts)).Errors;
  };
  EXPECT_TRUE(errors(MaxCatalogueParts).empty());
  EXPECT_TRUE(hasError(errors(MaxCatalogueParts + 1), {5, "parts", DocumentRule::IsPartCount}));
  const std::string none = replaced(root({}), "parts:", "parts: []");
  EXPECT_TRUE(hasError(readPartList(none).Errors, {4, "parts", DocumentRule::IsPartCount}));
  const std::string bad = replaced(root({{"a", ""}}), "digest: ", "digest: 0x");
  EXPECT_TRUE(hasError(readPartList(bad).Errors, {5, "parts[0].digest", DocumentRule::IsDigest}));
}

// Guards against VMs that keep different catalogues after two roots were written with the same
// version number.
TEST(CatalogueParts, RootsWithSameVersionConverge) {
  const std::string text = part("rankview");
  const std::string other = part("gradebook");
  const auto one = parseParts({{"a", text}}).Value;
  const auto two = parseParts({{"a", other}}).Value;
  CatalogueStore first;
  CatalogueStore second;
  first.offer(one, {});
  first.offer(two, {});
  second.offer(two, {});
  second.offer(one, {});
  EXPECT_EQ(first.version(), second.version());
  EXPECT_EQ(first.conflicts(), 1U);
}

// Guards against treating a catalogue without parts as a split one because a name in it contains
// `parts`.
TEST(CatalogueParts, AreNotDetectedInUnsplitCatalogues) {
  const std::string text =
      "format: 1\nversion: 7\nfleet: {max_entry_vms: 4}\n" + part("spareparts");
  EXPECT_TRUE(readPartList(text).Items.empty());
  EXPECT_TRUE(readPartList(text).Errors.empty());
  EXPECT_TRUE(parseCatalogue(text).Value);
}
