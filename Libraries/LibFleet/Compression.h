#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Compresses bytes in zlib format, with the fastest setting.
std::string compress(std::string_view bytes);
/// Decompresses bytes in zlib format. Returns nothing if they are invalid or if the result would be
/// larger than `limit`.
std::optional<std::string> decompress(std::string_view bytes, std::size_t limit);

} // namespace wigeonlift
