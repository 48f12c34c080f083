#include <LibHttp/Clock.h>

#include <ctime>

namespace wigeonlift {

TimePoint bootTimeNow() {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return TimePoint{std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec}};
}

} // namespace wigeonlift
