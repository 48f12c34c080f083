#include <StandIns/Platform/ReadMeter.h>

#include <algorithm>

namespace wigeonlift {

void ReadMeter::didRead(TimePoint now) {
  roll(now);
  ++Total;
  ++Current;
}

std::uint64_t ReadMeter::lastSecond(TimePoint now) {
  roll(now);
  return Last;
}

std::uint64_t ReadMeter::busiestSecond(TimePoint now) {
  roll(now);
  return Busiest;
}

void ReadMeter::roll(TimePoint now) {
  const std::int64_t second =
      std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count();
  if (second == Second)
    return;
  Last = second == Second + 1 ? Current : 0;
  Busiest = std::max(Busiest, Current);
  Current = 0;
  Second = second;
}

} // namespace wigeonlift
