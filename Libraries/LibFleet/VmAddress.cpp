#include <LibFleet/VmAddress.h>

#include <LibBase/Text.h>

#include <fmt/format.h>

namespace wigeonlift {

std::optional<VmAddress> parseVmAddress(std::string_view text) {
  const auto parts = split(text.substr(0, text.find(':')), '.');
  constexpr std::size_t octets = 4;
  if (parts.size() != octets)
    return std::nullopt;
  VmAddress address = 0;
  for (const std::string_view it : parts) {
    const auto octet = parseNumber<std::uint8_t>(it);
    if (!octet)
      return std::nullopt;
    address = (address << 8) | *octet;
  }
  return address;
}

std::string toText(VmAddress address, int port) {
  return fmt::format("{}.{}.{}.{}:{}", address >> 24, (address >> 16) & 255, (address >> 8) & 255,
                     address & 255, port);
}

} // namespace wigeonlift
