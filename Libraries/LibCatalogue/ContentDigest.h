#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// XXH128 hash (the 128-bit variant of XXH3) of a byte string.
struct ContentDigest {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const ContentDigest &) const = default;

  static ContentDigest of(std::string_view bytes);
  /// Parses the output of `toText`; empty for any other text.
  static std::optional<ContentDigest> fromText(std::string_view text);
  /// 32 lower-case hexadecimal digits.
  std::string toText() const;
};

} // namespace wigeonlift
