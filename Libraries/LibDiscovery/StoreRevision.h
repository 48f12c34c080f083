#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Version number of the configuration store. Each change increases it. When the store is restored
/// from an older copy, its era rises by one and the numbers after that copy are assigned again, so
/// revisions are ordered by era and then number.
struct StoreRevision {
  std::uint64_t Era = 0;
  std::uint64_t Number = 0;

  constexpr StoreRevision() = default;
  /// A revision of a store that has no eras. Implicit, since it is then no more than this number.
  constexpr StoreRevision(std::uint64_t number) : Number(number) {}
  constexpr StoreRevision(std::uint64_t era, std::uint64_t number) : Era(era), Number(number) {}

  auto operator<=>(const StoreRevision &) const = default;

  /// `ERA.NUMBER`, or only the number in era 0.
  std::string text() const;
  /// Reads both forms. Empty for any other text.
  static std::optional<StoreRevision> parse(std::string_view text);
};

} // namespace wigeonlift
