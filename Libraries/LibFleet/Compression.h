#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Compresses bytes, with a preference for speed.
std::string compress(std::string_view bytes);
/// Empty for bytes that are not compressed, or that would take more than the limit.
std::optional<std::string> decompress(std::string_view bytes, std::size_t limit);

} // namespace wigeonlift
