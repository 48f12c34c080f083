#include <LibCatalogue/CatalogueVersion.h>

#include <LibCatalogue/ContentDigest.h>

#include <fmt/format.h>

namespace wigeonlift {

CatalogueVersion CatalogueVersion::of(std::uint64_t number, std::string_view document) {
  const ContentDigest digest = ContentDigest::of(document);
  return {number, digest.High, digest.Low};
}

std::string CatalogueVersion::toText() const {
  return fmt::format("{}-{:016x}{:016x}", Number, DigestHigh, DigestLow);
}

} // namespace wigeonlift
