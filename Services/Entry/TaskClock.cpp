#include "TaskClock.h"

#include <utility>

namespace wigeonlift {

TaskClock::TaskClock(std::function<void(TimePoint, Duration)> onPause, Source source)
    : OnPause(std::move(onPause)), Read(std::move(source)), Last(Read()) {}

TimePoint TaskClock::now() {
  const TimePoint now = Read();
  const Duration span = now - std::exchange(Last, now);
  if (span > PauseLimit)
    OnPause(now, span);
  return now;
}

} // namespace wigeonlift
