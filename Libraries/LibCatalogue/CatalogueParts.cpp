#include <LibCatalogue/CatalogueParts.h>

#include <LibYaml/MapReader.h>

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <set>

namespace wigeonlift {

namespace {

constexpr std::string_view RootKey = "catalogue";
constexpr std::string_view PartListKey = "parts";
constexpr std::string_view DocumentMarker = "---";
/// Precedes the key of each part in a composed document.
constexpr std::string_view SectionMarker = "\n--- # part ";
constexpr std::size_t MaxPartKeyBytes = 64;

bool isPartKeyCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

CataloguePart readPartListItem(MapReader &reader, std::set<std::string> &keys) {
  CataloguePart part;
  part.Key = reader.text("key");
  if (!isPartKey(part.Key))
    reader.reject("key", DocumentRule::IsPartKey);
  if (!keys.insert(part.Key).second)
    reader.reject("key", DocumentRule::IsUnique);
  const auto digest = ContentDigest::fromText(reader.text("digest"));
  if (!digest)
    reader.reject("digest", DocumentRule::IsDigest);
  part.Digest = digest.value_or(ContentDigest{});
  part.Line = reader.errorAt("digest", DocumentRule::IsDigest).Line;
  reader.rejectUnknownKeys();
  return part;
}

/// Number of the first line that begins with the YAML document marker `---`, counted from 1; 0 when
/// there is none. The text after such a marker could be taken for another part or be ignored by the
/// YAML parser.
int lineOfDocumentMarker(std::string_view text) {
  if (text.starts_with(DocumentMarker))
    return 1;
  const std::size_t lineEnd = text.find(fmt::format("\n{}", DocumentMarker));
  if (lineEnd == std::string_view::npos)
    return 0;
  return static_cast<int>(std::ranges::count(text.substr(0, lineEnd + 1), '\n')) + 1;
}

} // namespace

bool isPartKey(std::string_view text) {
  return !text.empty() && text.size() <= MaxPartKeyBytes &&
         std::ranges::all_of(text, isPartKeyCharacter) &&
         std::string_view{"._-"}.find(text.front()) == std::string_view::npos && text != RootKey;
}

PartList readPartList(std::string_view root) {
  PartList result;
  // Avoids parsing a catalogue without parts twice, because it may be large.
  if (root.find(PartListKey) == std::string_view::npos)
    return result;
  MapReader reader = MapReader::parse(root, result.Errors);
  if (!reader.has(PartListKey)) {
    result.Errors.clear();
    return result;
  }
  result.Items = readPartList(reader);
  const std::size_t errorCountBefore = result.Errors.size();
  const auto version = reader.integer("version", 0, std::numeric_limits<std::int64_t>::max());
  result.Version = static_cast<std::uint64_t>(version);
  // An invalid version is reported when the whole catalogue is parsed.
  result.Errors.resize(errorCountBefore);
  return result;
}

std::vector<CataloguePart> readPartList(MapReader &root) {
  std::vector<CataloguePart> parts;
  if (!root.has(PartListKey))
    return parts;
  std::vector<MapReader> items = root.list(PartListKey);
  if (items.empty() || items.size() > MaxCatalogueParts) {
    root.reject(PartListKey, DocumentRule::IsPartCount);
    return parts;
  }
  std::set<std::string> keys;
  for (MapReader &it : items)
    parts.push_back(readPartListItem(it, keys));
  return parts;
}

std::string composeCatalogue(std::string_view root, std::span<const CatalogueSection> parts) {
  std::size_t bytes = root.size();
  for (const CatalogueSection &it : parts)
    bytes += SectionMarker.size() + it.Key.size() + 1 + it.Text.size();
  std::string document;
  document.reserve(bytes);
  document = root;
  for (const CatalogueSection &it : parts)
    document.append(SectionMarker).append(it.Key).append("\n").append(it.Text);
  return document;
}

std::vector<CatalogueSection> splitCatalogue(std::string_view document) {
  std::vector<CatalogueSection> sections;
  CatalogueSection section;
  while (true) {
    const std::size_t end = document.find(SectionMarker);
    section.Text = document.substr(0, end);
    const std::size_t keyStart = section.Text.size() + SectionMarker.size();
    const std::size_t keyEnd = end == std::string_view::npos ? end : document.find('\n', keyStart);
    if (keyEnd == std::string_view::npos)
      break;
    sections.push_back(section);
    section.Key = document.substr(keyStart, keyEnd - keyStart);
    document.remove_prefix(keyEnd + 1);
  }
  // A section marker without a line end after it is part of the last section's text.
  section.Text = document;
  sections.push_back(section);
  return sections;
}

bool verifyParts(std::span<const CatalogueSection> sections, std::span<const CataloguePart> parts,
                 DocumentErrors &errors) {
  const std::size_t errorCountBefore = errors.size();
  for (const CatalogueSection &it : sections)
    if (const int line = lineOfDocumentMarker(it.Text); line > 0)
      errors.push_back({line, "", DocumentRule::IsSingleDocument, std::string{it.Key}});
  for (std::size_t n = 0; n < parts.size(); ++n) {
    if (n + 1 >= sections.size() || sections[n + 1].Key != parts[n].Key)
      errors.push_back({parts[n].Line, fmt::format("parts[{}].key", n), DocumentRule::HasPart});
    else if (ContentDigest::of(sections[n + 1].Text) != parts[n].Digest)
      errors.push_back(
          {parts[n].Line, fmt::format("parts[{}].digest", n), DocumentRule::MatchesDigest});
  }
  if (sections.size() > parts.size() + 1)
    errors.push_back({0, "parts", DocumentRule::IsKnown});
  return errors.size() == errorCountBefore;
}

} // namespace wigeonlift
