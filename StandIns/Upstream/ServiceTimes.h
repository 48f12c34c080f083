#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>

#include <cstdint>
#include <random>

namespace wigeonlift {

/// Log-normal service times, longer while the upstream is cold or a straggler.
class ServiceTimes {
public:
  /// The mean is that of the times, not of their logarithms. A zero sigma gives constant times.
  ServiceTimes(double meanMs, double sigma, std::uint64_t seed);

  Duration draw(TimePoint now);
  Duration mean() const { return fromSeconds(MeanMs / 1000); }

  /// Multiplies all times; 1 is normal.
  void setFactor(double factor) { Factor = factor; }
  /// Times shrink linearly from ColdFactor times the normal ones to normal during this span.
  void startCold(TimePoint now, Duration span);
  bool isCold(TimePoint now) const { return now < WarmAt; }

private:
  double MeanMs;
  std::lognormal_distribution<double> Distribution;
  Random Source;
  double Factor = 1;
  TimePoint WarmAt{};
  Duration ColdSpan{};
};

} // namespace wigeonlift
