#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

namespace wigeonlift {

/// How long requests wait for the first configuration. A VM that has just started learns it within
/// a moment; callers who come meanwhile, as when all VMs return at once, are served sooner by
/// waiting than by coming back. A VM that still knows no configuration after that refuses at once.
class StartPlan {
public:
  explicit StartPlan(TimePoint startedAt) : StartedAt(startedAt) {}

  /// Until when a request waits whose caller has so much time left.
  TimePoint waitEnd(TimePoint now, Duration left) const {
    return std::min(StartedAt + MaxWaitAfterStart, now + left / PartsOfTimeLeft);
  }

private:
  static constexpr Duration MaxWaitAfterStart = std::chrono::seconds{1};
  /// A request that has to be refused after its wait leaves its caller time for another VM.
  static constexpr int PartsOfTimeLeft = 4;

  TimePoint StartedAt;
};

} // namespace wigeonlift
