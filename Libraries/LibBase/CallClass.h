#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace wigeonlift {

/// How a call may be treated.
enum class CallClass : std::uint8_t {
  /// May be repeated and hedged.
  Idempotent,
  /// Must have at most one effect.
  NonIdempotent,
  /// Large streamed answer; may be resumed when the entity is provably the same.
  Export,
};

/// Name of the class as the catalogue writes it.
std::string_view toString(CallClass callClass);
/// Parses the name that the catalogue uses; empty for any other text.
std::optional<CallClass> callClassFromString(std::string_view text);

} // namespace wigeonlift
