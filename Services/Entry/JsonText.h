#pragma once

#include <string>
#include <string_view>

namespace wigeonlift {

/// The text as a JSON string, with quotes.
std::string jsonText(std::string_view text);

} // namespace wigeonlift
