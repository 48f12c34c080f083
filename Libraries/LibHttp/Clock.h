#pragma once

#include <LibBase/Time.h>

namespace wigeonlift {

/// The present time on a clock that also counts while the machine is suspended. The steady clock
/// doesn't, so that after a suspension deadlines and ages of connections would be wrong by seconds.
TimePoint bootTimeNow();

} // namespace wigeonlift
