#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>
#include <map>
#include <string>

namespace wigeonlift {

/// Estimates how long callers have waited before their request arrives, as in an earlier attempt.
/// Requests don't say so, but for how long their callers go on waiting.
class CallerWait {
public:
  /// `timeLeft` is the time for which the caller of a request on this route goes on waiting.
  Duration waitedBefore(const std::string &route, Duration timeLeft) {
    Duration &longest = LongestTimeLeft[route];
    longest = std::max(longest, timeLeft);
    const bool isSimilar = toSeconds(timeLeft) >= SimilarTimeLeft * toSeconds(longest);
    return isSimilar ? Duration::zero() : longest - timeLeft;
  }

private:
  /// Callers of a route don't all wait equally long from the start. One that waits for less than
  /// this fraction of the longest time has probably waited already.
  static constexpr double SimilarTimeLeft = 0.8;

  std::map<std::string, Duration, std::less<>> LongestTimeLeft;
};

} // namespace wigeonlift
