#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>
#include <optional>

namespace wigeonlift {

/// The times of a graceful stop. Callers that remember an old directory answer are served for a
/// while; later ones are refused, since their work might not end before the process is killed. All
/// requests that were read must be answered when the answers are due, whatever time they have.
class StopPlan {
public:
  /// The process is killed after the grace time.
  void begin(TimePoint now, Duration grace) {
    RefuseFrom = now + std::min(grace / 2, MaxServingTime);
    KilledAt = now + grace;
    End = KilledAt - std::min(EndMargin, grace / EndMarginsPerGrace);
    AnswersDue = *End - std::min(AnswerMargin, grace / AnswerMarginsPerGrace);
  }
  bool isStopping() const { return End.has_value(); }
  bool refusesNew(TimePoint now) const { return End && now >= RefuseFrom; }
  /// When new callers are refused.
  TimePoint refuseFrom() const { return RefuseFrom; }
  /// The latest time for the answer to any request; never, while the process is not stopping.
  TimePoint answersDue() const { return AnswersDue; }
  /// When the process ends if all answers have left; never, while the process is not stopping.
  TimePoint end() const { return End.value_or(TimePoint::max()); }
  /// When the process ends in any case. What is left of the grace time is for its exit.
  TimePoint lastEnd() const { return End ? *End + (KilledAt - *End) / 2 : TimePoint::max(); }

private:
  /// Work for a later caller might not end with the process.
  static constexpr Duration MaxServingTime = std::chrono::seconds{3};
  static constexpr Duration EndMargin = std::chrono::milliseconds{300};
  static constexpr Duration AnswerMargin = std::chrono::milliseconds{100};
  /// A short grace time has smaller margins, since upstreams are at work until its end.
  static constexpr int EndMarginsPerGrace = 20;
  static constexpr int AnswerMarginsPerGrace = 60;

  TimePoint RefuseFrom{};
  TimePoint AnswersDue = TimePoint::max();
  TimePoint KilledAt = TimePoint::max();
  std::optional<TimePoint> End;
};

} // namespace wigeonlift
