#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// The rule that a key of a YAML document breaks.
enum class DocumentRule : std::uint8_t {
  Readable,         ///< The file can be read.
  ValidYaml,        ///< The document is well-formed YAML.
  WithinSize,       ///< The document is within the size limit.
  IsMap,            ///< The value is a map.
  IsList,           ///< The value is a list.
  IsPresent,        ///< The key is present.
  IsKnown,          ///< The key is one that the format defines.
  IsUnique,         ///< The key or name occurs once.
  IsNumber,         ///< The value is a number.
  IsInRange,        ///< The number is within the allowed range.
  IsText,           ///< The value is non-empty text of at most 256 bytes.
  IsOneOf,          ///< The value is one of the listed words.
  IsHeaderName,     ///< The value is a valid HTTP header name.
  IsPath,           ///< The value starts with a slash.
  IsAddress,        ///< The value is IP:PORT.
  IsKey,            ///< The value is a key of 40 Z85 characters.
  RefersToService,  ///< The value names a service of this catalogue.
  ExtraWithinDepth, ///< retry_percent plus hedge_percent, times call_depth, is at most 18.
  IsPartKey,        ///< The value is the key of a part of a catalogue.
  IsDigest,         ///< The value is a digest of 32 hexadecimal digits.
  IsPartCount,      ///< The list names 1 to 256 parts.
  IsSingleDocument, ///< No line begins with the marker of a further YAML document.
  HasPart,          ///< The part that the root names is there.
  MatchesDigest,    ///< The part has the digest that the root names.
};

/// What the rule demands, for people.
std::string_view toString(DocumentRule rule);

/// One broken rule of a YAML document.
struct DocumentError {
  /// Line of the document, counted from 1; 0 when the error belongs to no line.
  int Line = 0;
  /// Path of the key, such as `services[0].slots`.
  std::string Key;
  DocumentRule Rule{};
  /// Key of the part of a split catalogue that has the line; empty for the root and other
  /// documents.
  std::string Part{};

  bool operator==(const DocumentError &) const = default;
};

using DocumentErrors = std::vector<DocumentError>;

/// One error as `FILE:LINE: KEY: RULE`, with `part KEY of FILE` in place of the file in a part.
std::string describe(const DocumentError &error, std::string_view fileName);

} // namespace wigeonlift
