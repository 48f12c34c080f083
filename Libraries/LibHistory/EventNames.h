#pragma once

#include <LibHistory/HistoryEvent.h>

#include <array>
#include <optional>
#include <string_view>

namespace wigeonlift {

/// Names of the enumerators in a history, in the order of the enumerators.
template <typename Enum> struct EventNames;

template <> struct EventNames<ProcessRole> {
  static constexpr std::array<std::string_view, 3> Names{"entry", "upstream", "caller"};
};
template <> struct EventNames<Phase> {
  static constexpr std::array<std::string_view, 2> Names{"begun", "ended"};
};
template <> struct EventNames<CatalogueStep> {
  static constexpr std::array<std::string_view, 2> Names{"accepted", "in_effect"};
};
template <> struct EventNames<CallClass> {
  static constexpr std::array<std::string_view, 3> Names{"idempotent", "non_idempotent", "export"};
};
template <> struct EventNames<Execution> {
  static constexpr std::array<std::string_view, 3> Names{"run", "not-run", "unknown"};
};

template <typename Enum> std::string_view eventName(Enum value) {
  return EventNames<Enum>::Names[static_cast<std::size_t>(value)];
}

/// The enumerator of that name; empty when there is none.
template <typename Enum> std::optional<Enum> eventValue(std::string_view name) {
  const auto &names = EventNames<Enum>::Names;
  for (std::size_t n = 0; n < names.size(); ++n)
    if (names[n] == name)
      return static_cast<Enum>(n);
  return std::nullopt;
}

} // namespace wigeonlift
