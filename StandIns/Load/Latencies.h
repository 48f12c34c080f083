#pragma once

#include <LibBase/Time.h>

#include <vector>

namespace wigeonlift {

/// All latencies of a group of calls, for exact quantiles.
class Latencies {
public:
  void record(Duration latency) { Values.push_back(latency); }
  /// Nearest-rank quantile; zero without values.
  Duration quantile(double fraction) const;

private:
  std::vector<Duration> Values;
};

} // namespace wigeonlift
