#include <StandIns/Upstream/ByteRange.h>

#include <LibBase/Text.h>

#include <algorithm>

namespace wigeonlift {

std::optional<ByteRange> ByteRange::fromHeader(std::string_view text, std::uint64_t entitySize) {
  constexpr std::string_view unit = "bytes=";
  if (!text.starts_with(unit))
    return std::nullopt;
  const auto parts = split(text.substr(unit.size()), '-');
  if (parts.size() != 2)
    return std::nullopt;
  const auto begin = parseNumber<std::uint64_t>(parts[0]);
  const auto last = parts[1].empty() ? entitySize - 1 : parseNumber<std::uint64_t>(parts[1]);
  if (!begin || !last || *begin >= entitySize || *last < *begin)
    return std::nullopt;
  return ByteRange{*begin, std::min(*last + 1, entitySize)};
}

} // namespace wigeonlift
