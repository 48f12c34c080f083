#pragma once

#include <LibBase/LibBase.h>

#include <cstddef>
#include <optional>

namespace wigeonlift {

/// Gives each rejected request of a service a time to return at which there will be room: behind
/// the requests that wait now and those that were rejected before it, at the rate at which requests
/// have started lately.
class ReturnSchedule {
public:
  /// Returns how long the caller of a rejected request shall wait, at most `longest`. `waiting` is
  /// the number of requests in the queue. Without a measured rate, nothing is known of the room,
  /// and the result is `longest`.
  Duration didReject(std::size_t waiting, std::optional<double> startsPerSecond, Duration longest,
                     TimePoint now);

private:
  TimePoint LastReturnAt{};
};

} // namespace wigeonlift
