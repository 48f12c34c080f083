#pragma once

#include <LibBase/LibBase.h>

#include <cstddef>
#include <optional>

namespace wigeonlift {

/// Estimates when a queued request of a service starts, from the requests ahead of it and the rate
/// at which requests have started lately. Only starts during a backlog are measured: without one,
/// the rate of starts is that of arrivals and says nothing about the room.
class QueueForecast {
public:
  /// Sets whether requests wait for room.
  void setBacklog(bool hasBacklog, TimePoint now);
  /// A request left the queue for an upstream.
  void didStart(TimePoint now);
  /// Discards the measurements, as after a pause of this process.
  void clear() { *this = QueueForecast{}; }

  /// Requests that start per second while others wait; empty if too few have been seen.
  std::optional<double> startsPerSecond(TimePoint now) const;
  /// The earliest time at which a request behind `requestsAhead` others is likely to start. Empty
  /// if there is no backlog or its rate of starts isn't known.
  std::optional<TimePoint> earliestStart(std::size_t requestsAhead, TimePoint now) const;

private:
  void advance(TimePoint now);
  bool isMeasured(double seconds) const;
  /// Seconds with a backlog until `now`, weighted as the starts are.
  double weightedSeconds(TimePoint now) const;

  bool HasBacklog = false;
  /// Starts and seconds with a backlog, whose weight decays exponentially with their age.
  double Starts = 0;
  double BacklogSeconds = 0;
  TimePoint UpdatedAt{};
};

} // namespace wigeonlift
