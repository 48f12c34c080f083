#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Orders catalogues by the version number that the operators wrote, then by the digest of the
/// document. The digest decides between different documents with the same number, so that every VM
/// converges to the same one.
struct CatalogueVersion {
  std::uint64_t Number = 0;
  std::uint64_t DigestHigh = 0;
  std::uint64_t DigestLow = 0;

  auto operator<=>(const CatalogueVersion &) const = default;

  /// Version of a document with the given version number.
  static CatalogueVersion of(std::uint64_t number, std::string_view document);
  /// `NUMBER-DIGEST`, for logs and the state dump.
  std::string toText() const;
};

} // namespace wigeonlift
