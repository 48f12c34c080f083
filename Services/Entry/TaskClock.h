#pragma once

#include <LibBase/Time.h>

#include <functional>

namespace wigeonlift {

/// The clock of a task, which notices when the process was stopped. It must be read at least twice
/// a second.
class TaskClock {
public:
  /// Spans between two readings that count as a pause. Permissions live for 2.5 s, so a shorter
  /// pause can't outlast one by much, and `mayWrite` compares them with the time anyway.
  static constexpr Duration PauseLimit = std::chrono::seconds{2};

  using Source = std::function<TimePoint()>;
  /// The callback runs within `now`, before any decision is based on the time after the pause.
  explicit TaskClock(
      std::function<void(TimePoint now, Duration pause)> onPause,
      Source source = [] { return std::chrono::steady_clock::now(); });

  TimePoint now();

private:
  std::function<void(TimePoint, Duration)> OnPause;
  Source Read;
  TimePoint Last;
};

} // namespace wigeonlift
