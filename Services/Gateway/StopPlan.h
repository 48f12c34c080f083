#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>
#include <optional>

namespace wigeonlift {

/// The times of a graceful stop. Callers that remember an old directory answer are served for half
/// of the grace time; later ones are refused, since their work might not end before the process is
/// killed.
class StopPlan {
public:
  /// The process is killed after the grace time.
  void begin(TimePoint now, Duration grace) {
    RefuseFrom = now + grace / 2;
    End = now + grace - EndMargin;
  }
  bool isStopping() const { return End.has_value(); }
  bool refusesNew(TimePoint now) const { return End && now >= RefuseFrom; }
  /// When new callers are refused.
  TimePoint refuseFrom() const { return RefuseFrom; }
  /// When all answers must have left; never, while the process is not stopping.
  TimePoint end() const { return End.value_or(TimePoint::max()); }
  /// The latest time for the answer to a request with a deadline of its own.
  TimePoint deadline(TimePoint own) const { return std::min(own, end() - AnswerMargin); }

private:
  static constexpr Duration EndMargin = std::chrono::milliseconds{300};
  static constexpr Duration AnswerMargin = std::chrono::milliseconds{100};

  TimePoint RefuseFrom{};
  std::optional<TimePoint> End;
};

} // namespace wigeonlift
