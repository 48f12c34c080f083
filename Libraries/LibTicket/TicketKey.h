#pragma once

#include <array>
#include <cstdint>

namespace wigeonlift {

inline constexpr std::size_t TicketKeyBytes = 32;

using TicketKey = std::array<std::uint8_t, TicketKeyBytes>;

/// Generates a key with the operating system's random number generator. Each incarnation generates
/// its own key and never shares it, so that no other process can forge a ticket of this
/// incarnation.
TicketKey randomTicketKey();

} // namespace wigeonlift
