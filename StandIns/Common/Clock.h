#pragma once

#include <LibBase/Time.h>

namespace wigeonlift {

/// Present time on the monotonic clock, as histories record it.
inline TimePoint currentTime() { return std::chrono::steady_clock::now(); }

} // namespace wigeonlift
