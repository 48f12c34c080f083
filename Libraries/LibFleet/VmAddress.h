#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// An IPv4 address in host byte order. All VMs use the same ports.
using VmAddress = std::uint32_t;

/// Parses `IP:PORT` or `IP`; the port is ignored. Returns nothing if the text isn't a valid IPv4
/// address.
std::optional<VmAddress> parseVmAddress(std::string_view text);
/// Formats the address with a port, as `IP:PORT`.
std::string toText(VmAddress address, int port);

} // namespace wigeonlift
