#pragma once

#include <LibCatalogue/ContentDigest.h>
#include <LibYaml/DocumentError.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

class MapReader;

/// Maximum number of parts of one catalogue.
inline constexpr std::size_t MaxCatalogueParts = 256;

/// An item of the part list in the root of a split catalogue.
struct CataloguePart {
  /// Key of the value in the configuration service.
  std::string Key;
  ContentDigest Digest;
  /// Line of the item's `digest` in the root, counted from 1.
  int Line = 0;
};

/// The part list of a root. Without items and errors, the catalogue isn't split.
struct PartList {
  /// Version number of a root with parts; 0 when it is missing or invalid or there are no parts.
  std::uint64_t Version = 0;
  std::vector<CataloguePart> Items;
  DocumentErrors Errors;
};

/// A section of a composed document: the root, which has no key, or one part.
struct CatalogueSection {
  std::string_view Key;
  std::string_view Text;
};

/// Reads the part list from the value of the key `catalogue` in the configuration service.
PartList readPartList(std::string_view root);
/// Reads the part list of a root that is already parsed.
std::vector<CataloguePart> readPartList(MapReader &root);

/// Joins the root and its parts, which must be in the order of the part list. The result depends
/// only on the bytes of the root and the parts, so that all VMs compose the same document. The line
/// `--- # part KEY` precedes each part, which makes the result a stream of YAML documents.
std::string composeCatalogue(std::string_view root, std::span<const CatalogueSection> parts);
/// Splits a document that `composeCatalogue` returned; the first section is the root. A section
/// that contains the line `--- # part KEY` itself is split at it, which `verifyParts` rejects. The
/// sections are views into the document.
std::vector<CatalogueSection> splitCatalogue(std::string_view document);

/// Checks that no line of a section begins with the YAML document marker `---` and that the
/// sections after the root match the part list in order, key and digest. Appends each mismatch to
/// the errors.
bool verifyParts(std::span<const CatalogueSection> sections, std::span<const CataloguePart> parts,
                 DocumentErrors &errors);

/// Whether the text is a valid key of a part.
bool isPartKey(std::string_view text);

} // namespace wigeonlift
