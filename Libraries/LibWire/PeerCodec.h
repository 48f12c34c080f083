#pragma once

#include <LibMembership/PeerMessage.h>

#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Largest message of a peer: a whole catalogue and its frame.
inline constexpr std::size_t MaxPeerMessageBytes = 1024 * 1024 + 4096;

std::string encodePeerMessage(const PeerMessage &message);

/// Empty when the bytes are no message, when a field breaks a bound, or when a value is out of its
/// range.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace wigeonlift
