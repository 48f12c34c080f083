#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Whether an upstream takes new work.
enum class UpstreamState : std::uint8_t { Ready, Warming, Draining };

/// Load that an upstream reports on a reply or a probe answer. It is stale on arrival.
struct LoadReport {
  int InFlight = 0;
  int Queued = 0;
  int Slots = 0;
  UpstreamState State = UpstreamState::Ready;
  /// How long work takes on the upstream's machine at present; 100 is usual.
  int SlownessPercent = 100;

  bool operator==(const LoadReport &) const = default;

  /// Value of the `Wigeonlift-Load` header, such as `in_flight=2;queued=0;slots=3;state=ready`.
  std::string toHeader() const;
  /// Parses the header; empty when a field is missing, repeated, unknown, negative or over 1e6.
  static std::optional<LoadReport> fromHeader(std::string_view text);
};

} // namespace wigeonlift
