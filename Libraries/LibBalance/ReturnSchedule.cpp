#include <LibBalance/ReturnSchedule.h>

#include <algorithm>

namespace wigeonlift {

Duration ReturnSchedule::didReject(std::size_t waiting, std::optional<double> startsPerSecond,
                                   Duration longest, TimePoint now) {
  if (!startsPerSecond || *startsPerSecond <= 0)
    return longest;
  const double interval = 1 / *startsPerSecond;
  const TimePoint afterWaiting = now + fromSeconds(static_cast<double>(waiting + 1) * interval);
  const TimePoint afterReturning = LastReturnAt + fromSeconds(interval);
  const TimePoint returnAt = std::min(now + longest, std::max(afterWaiting, afterReturning));
  LastReturnAt = std::max(LastReturnAt, returnAt);
  return returnAt - now;
}

} // namespace wigeonlift
