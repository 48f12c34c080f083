#pragma once

#include <StandIns/Common/Entity.h>

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace wigeonlift {

/// Compares a body that arrives in parts with the content that it must have.
class EntityChecker {
public:
  explicit EntityChecker(Entity expected) : Expected(std::move(expected)) {}

  void feed(std::span<const char> part);
  /// All bytes so far are those of the expected entity.
  bool isRight() const { return IsRight; }
  /// The whole entity has arrived, and nothing more.
  bool isWhole() const { return IsRight && Offset == Expected.size(); }
  std::uint64_t received() const { return Offset; }

private:
  Entity Expected;
  std::uint64_t Offset = 0;
  bool IsRight = true;
  std::vector<char> Scratch;
};

} // namespace wigeonlift
