#pragma once

#include <LibFleet/FleetMessage.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

std::string encodeFleetMessage(const FleetMessage &message);
/// Encodes a message for a datagram of at most `maxBytes`. One that is longer leaves out its
/// changes of the store, which receivers then read over a connection, and as many states of other
/// VMs as needed, from the last.
std::string encodeDatagram(const FleetMessage &message, std::size_t maxBytes);
/// Returns nothing if the bytes aren't a valid message or the sender is missing.
std::optional<FleetMessage> decodeFleetMessage(std::string_view bytes);

/// `deltaAfter` is the revision whose later changes the delta holds.
std::string encodeStoreDelta(const StoreDelta &delta, StoreRevision deltaAfter);
/// Returns nothing if the bytes aren't a valid delta.
std::optional<StoreDelta> decodeStoreDelta(std::string_view bytes);

} // namespace wigeonlift
