#include <StandIns/Common/Entity.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace wigeonlift {

namespace {

constexpr std::uint64_t WordBytes = sizeof(std::uint64_t);
constexpr std::uint64_t BitsPerByte = 8;

/// The output function of SplitMix64.
std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31);
}

} // namespace

Entity::Entity(std::string_view key, std::uint64_t size, std::uint64_t revision)
    : Key(key), Seed(XXH3_64bits_withSeed(key.data(), key.size(), revision)), Size(size) {}

std::string Entity::etag() const { return fmt::format("\"{:016x}-{:x}\"", Seed, Size); }

void Entity::fill(std::uint64_t offset, std::span<char> buf) const {
  while (!buf.empty()) {
    const std::uint64_t skipped = offset % WordBytes;
    const std::size_t n = std::min<std::size_t>(WordBytes - skipped, buf.size());
    const std::uint64_t word = mix(Seed + offset / WordBytes) >> (skipped * BitsPerByte);
    if (n == WordBytes)
      std::memcpy(buf.data(), &word, WordBytes);
    else
      std::memcpy(buf.data(), &word, n);
    buf = buf.subspan(n);
    offset += n;
  }
}

std::string Entity::content() const {
  std::string text(Size, '\0');
  fill(0, text);
  return text;
}

} // namespace wigeonlift
