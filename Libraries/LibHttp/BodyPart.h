#pragma once

#include <cstddef>

namespace wigeonlift {

/// Part of a streamed body.
struct BodyPart {
  std::size_t Size = 0;
  /// The body is complete with this part.
  bool IsLast = false;
  /// The connection broke, or the peer broke the protocol, before the body was complete.
  bool IsBroken = false;
};

} // namespace wigeonlift
