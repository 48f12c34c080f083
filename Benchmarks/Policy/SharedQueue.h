#pragma once

#include "Tally.h"

namespace wigeonlift::bench {

/// The limit: one queue in front of all slots, with perfect knowledge and the same delays.
RunResult runSharedQueue(const RunOptions &options);

} // namespace wigeonlift::bench
