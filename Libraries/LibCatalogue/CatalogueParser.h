#pragma once

#include <LibCatalogue/Catalogue.h>
#include <LibYaml/DocumentError.h>

#include <memory>
#include <string_view>

namespace wigeonlift {

/// Largest value that the configuration service can store.
inline constexpr std::size_t MaxCatalogueBytes = 1024 * 1024;

/// A parsed catalogue, or the errors of an invalid document.
struct ParsedCatalogue {
  /// Null when the document is invalid.
  std::shared_ptr<const Catalogue> Value;
  DocumentErrors Errors;
};

/// Parses and validates a catalogue document: either a single YAML document or one composed of a
/// root and its parts. The result depends only on the bytes of the document, so that all VMs accept
/// and reject the same documents.
ParsedCatalogue parseCatalogue(std::string_view document);

} // namespace wigeonlift
