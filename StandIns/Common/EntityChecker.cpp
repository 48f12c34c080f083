#include <StandIns/Common/EntityChecker.h>

#include <algorithm>

namespace wigeonlift {

void EntityChecker::feed(std::span<const char> part) {
  Scratch.resize(part.size());
  Expected.fill(Offset, Scratch);
  Offset += part.size();
  IsRight = IsRight && Offset <= Expected.size() && std::ranges::equal(part, Scratch);
}

} // namespace wigeonlift
