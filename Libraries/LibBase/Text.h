#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// Parses a number that makes up the whole text; empty when it doesn't or is out of range.
template <typename Number> std::optional<Number> parseNumber(std::string_view text) {
  Number value{};
  const char *end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc{} || rest != end || text.empty())
    return std::nullopt;
  return value;
}

/// Splits at each separator. The parts are views into the text; empty parts are kept.
std::vector<std::string_view> split(std::string_view text, char separator);

} // namespace wigeonlift
