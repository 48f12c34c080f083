#include <LibTicket/Ticket.h>

#include <sodium.h>

#include <algorithm>
#include <array>

namespace wigeonlift {

namespace {

constexpr std::size_t BootIdBytes = 16;
constexpr std::size_t IntegerBytes = 8;
constexpr std::size_t PayloadBytes = BootIdBytes + 2 * IntegerBytes;
constexpr std::size_t MacBytes = crypto_generichash_BYTES_MIN;
// Base64 encodes a multiple of 3 bytes without unused bits, so each ticket has exactly one
// encoding.
constexpr std::size_t TicketBytes = PayloadBytes + MacBytes;
static_assert(TicketBytes % 3 == 0 && TicketBytes / 3 * 4 == Ticket::TextLength);

using BinaryTicket = std::array<std::uint8_t, TicketBytes>;

void storeLittleEndian(std::uint8_t *to, std::uint64_t value) {
  for (std::size_t n = 0; n < IntegerBytes; ++n)
    to[n] = static_cast<std::uint8_t>(value >> (8 * n));
}

std::uint64_t loadLittleEndian(const std::uint8_t *from) {
  std::uint64_t value = 0;
  for (std::size_t n = 0; n < IntegerBytes; ++n)
    value |= std::uint64_t{from[n]} << (8 * n);
  return value;
}

std::array<std::uint8_t, MacBytes> computeMac(const BinaryTicket &binary,
                                              std::span<const std::uint8_t, TicketKeyBytes> key) {
  std::array<std::uint8_t, MacBytes> mac;
  crypto_generichash(mac.data(), mac.size(), binary.data(), PayloadBytes, key.data(), key.size());
  return mac;
}

std::optional<BinaryTicket> decodeBase64(std::string_view text) {
  BinaryTicket binary;
  std::size_t length = 0;
  if (text.size() != Ticket::TextLength ||
      sodium_base642bin(binary.data(), binary.size(), text.data(), text.size(), nullptr, &length,
                        nullptr, sodium_base64_VARIANT_URLSAFE_NO_PADDING) != 0 ||
      length != binary.size())
    return std::nullopt;
  return binary;
}

BootId readBootId(const BinaryTicket &binary) {
  BootId bootId;
  std::copy_n(binary.begin(), BootIdBytes, bootId.Bytes.begin());
  return bootId;
}

} // namespace

std::string Ticket::toText(std::span<const std::uint8_t, TicketKeyBytes> key) const {
  BinaryTicket binary;
  std::ranges::copy(Boot.Bytes, binary.begin());
  storeLittleEndian(&binary[BootIdBytes], Id.Value);
  storeLittleEndian(&binary[BootIdBytes + IntegerBytes],
                    static_cast<std::uint64_t>(Expiry.time_since_epoch().count()));
  std::ranges::copy(computeMac(binary, key), binary.begin() + PayloadBytes);
  // sodium_bin2base64 also writes a terminating null character.
  std::string text(TextLength + 1, '\0');
  sodium_bin2base64(text.data(), text.size(), binary.data(), binary.size(),
                    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  text.resize(TextLength);
  return text;
}

std::optional<BootId> Ticket::bootIdOf(std::string_view text) {
  const std::optional<BinaryTicket> binary = decodeBase64(text);
  if (!binary)
    return std::nullopt;
  return readBootId(*binary);
}

std::optional<Ticket> Ticket::fromText(std::string_view text,
                                       std::span<const std::uint8_t, TicketKeyBytes> key) {
  const std::optional<BinaryTicket> binary = decodeBase64(text);
  if (!binary)
    return std::nullopt;
  const auto expectedMac = computeMac(*binary, key);
  if (sodium_memcmp(expectedMac.data(), &(*binary)[PayloadBytes], expectedMac.size()) != 0)
    return std::nullopt;
  const auto expiry =
      static_cast<std::int64_t>(loadLittleEndian(&(*binary)[BootIdBytes + IntegerBytes]));
  return Ticket{readBootId(*binary), TicketId{loadLittleEndian(&(*binary)[BootIdBytes])},
                TimePoint{Duration{expiry}}};
}

} // namespace wigeonlift
