#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Describes a document as lines copied from a base and text inserted between them.
std::string makeDelta(std::string_view base, std::string_view document);

/// Rebuilds the document. Empty when the delta is malformed, refers to lines that the base doesn't
/// have, or yields more than `maxBytes`.
std::optional<std::string> applyDelta(std::string_view base, std::string_view delta,
                                      std::size_t maxBytes);

} // namespace wigeonlift
