#include <LibBase/Ids.h>

#include <fmt/format.h>

#include <charconv>

namespace wigeonlift {

namespace {

constexpr int HexBase = 16;

bool isLowerCaseHex(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

} // namespace

std::string BootId::toHex() const {
  std::string text;
  for (const std::uint8_t it : Bytes)
    text += fmt::format("{:02x}", it);
  return text;
}

std::optional<BootId> BootId::fromHex(std::string_view text) {
  BootId id;
  if (text.size() != 2 * id.Bytes.size())
    return std::nullopt;
  for (std::size_t n = 0; n < id.Bytes.size(); ++n) {
    const char *digits = text.data() + 2 * n;
    if (!isLowerCaseHex(digits[0]) || !isLowerCaseHex(digits[1]))
      return std::nullopt;
    std::from_chars(digits, digits + 2, id.Bytes[n], HexBase);
  }
  return id;
}

} // namespace wigeonlift
