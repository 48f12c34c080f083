#pragma once

#include <LibFleet/FleetMessage.h>

#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

std::string encodeFleetMessage(const FleetMessage &message);
/// Empty for bytes that are no message or lack the sender.
std::optional<FleetMessage> decodeFleetMessage(std::string_view bytes);

std::string encodeStoreDelta(const StoreDelta &delta, StoreRevision after);
/// Empty for bytes that are no delta.
std::optional<StoreDelta> decodeStoreDelta(std::string_view bytes);

} // namespace wigeonlift
