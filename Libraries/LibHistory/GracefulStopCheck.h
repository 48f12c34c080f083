#pragma once

#include <LibHistory/History.h>
#include <LibHistory/Verdict.h>

namespace wigeonlift {

/// I6: no request that was in flight at an entry VM or an upstream during its graceful stop or
/// drain was interrupted, other than by a kill or a partition of a process that took part in it.
class GracefulStopCheck {
public:
  static Verdict check(const History &history);
};

} // namespace wigeonlift
