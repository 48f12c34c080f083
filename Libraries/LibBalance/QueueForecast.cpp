#include <LibBalance/QueueForecast.h>

#include <cmath>

namespace wigeonlift {

namespace {

// A small VM starts about four requests a second under overload, so a shorter time would hold too
// few starts to measure a rate.
constexpr double DecaySeconds = 2.0;
// Fewer starts, or a shorter backlog, are no evidence of a rate. After an outage of the upstreams
// there are no starts, and requests wait as long as they can.
constexpr double MinStarts = 4;
constexpr double MinBacklogSeconds = 0.25;
// The number of starts scatters about its mean with its square root. A forecast assumes a rate that
// is higher than the measured one by this many standard deviations, since a request that is wrongly
// rejected is lost, and one that is wrongly kept is rejected a little later.
constexpr double MarginDeviations = 3.0;

} // namespace

void QueueForecast::setBacklog(bool hasBacklog, TimePoint now) {
  advance(now);
  HasBacklog = hasBacklog;
}

void QueueForecast::didStart(TimePoint now) {
  advance(now);
  if (HasBacklog)
    ++Starts;
}

std::optional<double> QueueForecast::startsPerSecond(TimePoint now) const {
  const double seconds = weightedSeconds(now);
  if (!isMeasured(seconds))
    return std::nullopt;
  return Starts * std::exp(-toSeconds(now - UpdatedAt) / DecaySeconds) / seconds;
}

std::optional<TimePoint> QueueForecast::earliestStart(std::size_t requestsAhead,
                                                      TimePoint now) const {
  if (!HasBacklog)
    return std::nullopt;
  const double seconds = weightedSeconds(now);
  if (!isMeasured(seconds))
    return std::nullopt;
  const double starts = Starts * std::exp(-toSeconds(now - UpdatedAt) / DecaySeconds);
  const double highestRate = (starts + MarginDeviations * std::sqrt(starts) + 1) / seconds;
  return now + fromSeconds(static_cast<double>(requestsAhead) / highestRate);
}

void QueueForecast::advance(TimePoint now) {
  BacklogSeconds = weightedSeconds(now);
  Starts *= std::exp(-toSeconds(now - UpdatedAt) / DecaySeconds);
  UpdatedAt = now;
}

bool QueueForecast::isMeasured(double seconds) const {
  return Starts >= MinStarts && seconds >= MinBacklogSeconds;
}

double QueueForecast::weightedSeconds(TimePoint now) const {
  const double weight = std::exp(-toSeconds(now - UpdatedAt) / DecaySeconds);
  return BacklogSeconds * weight + (HasBacklog ? DecaySeconds * (1 - weight) : 0);
}

} // namespace wigeonlift
