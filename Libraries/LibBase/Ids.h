#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// An integer identifier whose type keeps it apart from identifiers of other things.
template <typename Tag, typename Rep> struct StrongId {
  Rep Value{};
  auto operator<=>(const StrongId &) const = default;
};

/// A caller's request within one entry daemon.
using CallId = StrongId<struct CallIdTag, std::uint64_t>;
/// One dispatch of a call to an upstream within one entry daemon.
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;
/// One probe of an upstream within one entry daemon.
using ProbeId = StrongId<struct ProbeIdTag, std::uint64_t>;
/// Position of an upstream in the table of its service. Positions are never reused while a
/// process lives, so a late answer can't be credited to another upstream.
using UpstreamIndex = StrongId<struct UpstreamIndexTag, std::uint32_t>;

/// Random identifier of one incarnation of a process.
struct BootId {
  std::array<std::uint8_t, 16> Bytes{};
  auto operator<=>(const BootId &) const = default;

  /// 32 lower-case hexadecimal digits.
  std::string toHex() const;
  /// Parses 32 lower-case hexadecimal digits; empty when the text is anything else.
  static std::optional<BootId> fromHex(std::string_view text);
};

} // namespace wigeonlift

template <typename Tag, typename Rep> struct std::hash<wigeonlift::StrongId<Tag, Rep>> {
  std::size_t operator()(const wigeonlift::StrongId<Tag, Rep> &id) const noexcept {
    return std::hash<Rep>{}(id.Value);
  }
};

template <> struct std::hash<wigeonlift::BootId> {
  std::size_t operator()(const wigeonlift::BootId &id) const noexcept {
    return std::hash<std::string_view>{}(
        {reinterpret_cast<const char *>(id.Bytes.data()), id.Bytes.size()});
  }
};
