#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace wigeonlift {

/// Half-open range of bytes.
struct ByteRange {
  std::uint64_t Begin = 0;
  std::uint64_t End = 0;

  bool operator==(const ByteRange &) const = default;

  /// Parses a `Range` header with one range that has a first position (`bytes=5-` or `bytes=5-9`).
  /// Empty when it has another form or begins after the end of the entity.
  static std::optional<ByteRange> fromHeader(std::string_view text, std::uint64_t entitySize);
};

} // namespace wigeonlift
