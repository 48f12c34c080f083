#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace wigeonlift {

/// Cryptographic hash of a request. It detects a ticket that is reused for a different request.
struct RequestDigest {
  std::array<std::uint8_t, 32> Bytes{};
  auto operator<=>(const RequestDigest &) const = default;

  /// Hashes the method, the request target and the body. Each part is prefixed with its length, so
  /// that moving a byte from one part to the next changes the digest.
  static RequestDigest of(std::string_view method, std::string_view target, std::string_view body);
};

} // namespace wigeonlift
