#include <LibCatalogue/ContentDigest.h>

#include <fmt/format.h>

#include <xxhash.h>

#include <charconv>

namespace wigeonlift {

namespace {

constexpr std::size_t HexDigitsPerHalf = 16;

std::uint64_t parseHex(std::string_view digits) {
  std::uint64_t n = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), n, 16);
  return n;
}

} // namespace

ContentDigest ContentDigest::of(std::string_view bytes) {
  const XXH128_hash_t digest = XXH3_128bits(bytes.data(), bytes.size());
  return {digest.high64, digest.low64};
}

std::optional<ContentDigest> ContentDigest::fromText(std::string_view text) {
  if (text.size() != 2 * HexDigitsPerHalf)
    return std::nullopt;
  const ContentDigest digest{parseHex(text.substr(0, HexDigitsPerHalf)),
                             parseHex(text.substr(HexDigitsPerHalf))};
  if (digest.toText() != text)
    return std::nullopt;
  return digest;
}

std::string ContentDigest::toText() const { return fmt::format("{:016x}{:016x}", High, Low); }

} // namespace wigeonlift
