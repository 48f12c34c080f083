#pragma once

#include <absl/status/status.h>

#include <string_view>

namespace wigeonlift {

/// Logs when a part of the platform becomes unreachable or reachable again.
void logReachability(std::string_view part, const absl::Status &status, bool &isReachable);

} // namespace wigeonlift
