#include <StandIns/Load/Latencies.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

Duration Latencies::quantile(double fraction) const {
  if (Values.empty())
    return {};
  const auto rank =
      static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(Values.size())));
  std::vector<Duration> sorted = Values;
  const auto it = sorted.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
  std::ranges::nth_element(sorted, it);
  return *it;
}

} // namespace wigeonlift
