#pragma once

#include <LibHistory/History.h>
#include <LibHistory/Intervals.h>

#include <string>
#include <vector>

namespace wigeonlift {

/// Graceful stops and drains of processes, with the event that began each. It refers to the
/// history.
class GracefulStops {
public:
  explicit GracefulStops(const History &history);

  /// Begin of the stop that a request was in flight for, since the process took it before the end
  /// of the stop and it was answered after its begin; null when there is none.
  const HistoryEvent *stopDuring(const std::string &process, TimePoint taken,
                                 TimePoint answered) const;

private:
  struct Stop {
    std::string Process;
    Interval Span;
    const HistoryEvent *Begin;
  };

  void add(const std::string &process, Phase phase, const HistoryEvent &event);

  std::vector<Stop> Stops;
};

} // namespace wigeonlift
