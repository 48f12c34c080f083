#include <StandIns/Upstream/ServiceTimes.h>

#include <cmath>

namespace wigeonlift {

namespace {

constexpr double ColdFactor = 4;

} // namespace

ServiceTimes::ServiceTimes(double meanMs, double sigma, std::uint64_t seed)
    : MeanMs(meanMs), Distribution(std::log(meanMs) - sigma * sigma / 2, sigma), Source(seed) {}

Duration ServiceTimes::draw(TimePoint now) {
  double factor = Factor;
  if (isCold(now))
    factor *= 1 + (ColdFactor - 1) * toSeconds(WarmAt - now) / toSeconds(ColdSpan);
  return fromSeconds(Distribution(Source.engine()) * factor / 1000);
}

void ServiceTimes::startCold(TimePoint now, Duration span) {
  ColdSpan = span;
  WarmAt = now + span;
}

} // namespace wigeonlift
