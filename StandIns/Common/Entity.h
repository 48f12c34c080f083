#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Content that upstream and caller can both compute from a key that only one call uses. A caller
/// that compares each byte notices an answer to another call, a gap and a missing end.
class Entity {
public:
  /// The revision tells apart two versions of the entity with one key.
  Entity(std::string_view key, std::uint64_t size, std::uint64_t revision = 0);

  /// The same entity in another revision.
  Entity revision(std::uint64_t number) const { return {Key, Size, number}; }
  std::uint64_t size() const { return Size; }
  /// Strong entity tag, in quotes.
  std::string etag() const;
  /// Writes the content from that offset on into the buffer.
  void fill(std::uint64_t offset, std::span<char> buf) const;
  /// The whole content.
  std::string content() const;

private:
  std::string Key;
  std::uint64_t Seed;
  std::uint64_t Size;
};

} // namespace wigeonlift
