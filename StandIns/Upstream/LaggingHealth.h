#pragma once

#include <LibBase/LoadReport.h>
#include <LibBase/Time.h>

#include <deque>
#include <utility>

namespace wigeonlift {

/// Load that the health endpoint shows: true some time ago, and with the state `ready` throughout,
/// so that a balancer that trusts it is misled.
class LaggingHealth {
public:
  explicit LaggingHealth(Duration lag) : Lag(lag) {}

  void record(const LoadReport &load, TimePoint now);
  LoadReport shown(TimePoint now) const;

private:
  Duration Lag;
  std::deque<std::pair<TimePoint, LoadReport>> History;
};

} // namespace wigeonlift
