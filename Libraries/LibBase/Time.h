#pragma once

#include <chrono>

namespace wigeonlift {

/// A span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// An instant on the monotonic clock of the process. Instants of two processes can't be compared.
/// Core classes never read the clock: they take the present time as an argument.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Converts a span of time to whole milliseconds, rounded towards zero.
constexpr long long toMilliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// Converts a span of time to seconds.
constexpr double toSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }

/// Converts seconds to a span of time.
constexpr Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace wigeonlift
