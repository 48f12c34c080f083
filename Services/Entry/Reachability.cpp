#include "Reachability.h"

#include <LibTelemetry/LibTelemetry.h>

#include <string>

namespace wigeonlift {

void logReachability(std::string_view part, const absl::Status &status, bool &isReachable) {
  if (status.ok() == isReachable)
    return;
  isReachable = status.ok();
  if (isReachable)
    log(LogLevel::Info, "platform can be read again", {{"part", std::string{part}}});
  else
    log(LogLevel::Warn, "platform can't be read",
        {{"part", std::string{part}}, {"cause", std::string{status.message()}}});
}

} // namespace wigeonlift
