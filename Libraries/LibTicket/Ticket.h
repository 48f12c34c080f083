#pragma once

#include <LibBase/LibBase.h>
#include <LibTicket/TicketKey.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Sequence number of a ticket among the tickets of the issuing incarnation (one run of a process).
using TicketId = StrongId<struct TicketIdTag, std::uint64_t>;

/// Decoded content of a ticket. Only the incarnation with this boot ID may run the call.
struct Ticket {
  /// Length of an encoded ticket. It consists of ASCII letters, digits, `-` and `_`.
  static constexpr std::size_t TextLength = 64;

  BootId Boot;
  TicketId Id;
  /// Time on the issuer's monotonic clock. It must not be compared with any other clock.
  TimePoint Expiry{};

  bool operator==(const Ticket &) const = default;

  /// Encodes the ticket as a header value that ends with a message authentication code (MAC) under
  /// `key`.
  std::string toText(std::span<const std::uint8_t, TicketKeyBytes> key) const;
  /// Returns the issuer's boot ID, or nullopt if the text is malformed. It doesn't check the MAC
  /// and needs no key, so that any VM can forward the request to the issuer.
  static std::optional<BootId> bootIdOf(std::string_view text);
  /// Decodes a ticket. Returns nullopt if the text is malformed or its MAC doesn't match `key`.
  static std::optional<Ticket> fromText(std::string_view text,
                                        std::span<const std::uint8_t, TicketKeyBytes> key);
};

} // namespace wigeonlift
