#pragma once

#include <LibHistory/HistoryEvent.h>

#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Longest line that the parser reads, without the line end.
inline constexpr std::size_t MaxEventLineBytes = 8192;
/// Longest text field; the writer cuts longer ones.
inline constexpr std::size_t MaxEventTextBytes = 512;

/// The event as one line of JSON, without the line end.
std::string toLine(const HistoryEvent &event);

/// Parses a line; empty when it is too long, is not JSON, lacks a field, or has an unknown field or
/// a value out of range.
std::optional<HistoryEvent> eventFromLine(std::string_view line);

} // namespace wigeonlift
