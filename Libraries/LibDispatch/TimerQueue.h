#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace wigeonlift {

enum class TimerKind : std::uint8_t {
  Deadline,
  /// An attempt reaches the hedge delay without a response.
  Slow,
  /// A slow call that could not be hedged checks again.
  Hedge,
};

/// A timer of a call. The dispatcher ignores a due timer whose call has ended.
struct Timer {
  TimePoint Due{};
  TimerKind Kind{};
  CallId Call;
  /// Attempt of a `Slow` timer; unset for the other kinds.
  AttemptId Attempt;
};

/// Priority queue of timers by due time.
class TimerQueue {
public:
  void add(Timer timer);
  /// Removes and returns the earliest timer that is due; empty when none is due.
  std::optional<Timer> popDue(TimePoint now);
  std::optional<TimePoint> next() const;

private:
  std::vector<Timer> Heap;
};

} // namespace wigeonlift
