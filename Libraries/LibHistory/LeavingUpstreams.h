#pragma once

#include <LibHistory/History.h>
#include <LibHistory/Intervals.h>

#include <map>
#include <string>
#include <utility>

namespace wigeonlift {

/// When upstreams were leaving, with the event that began it. It refers to the history.
class LeavingUpstreams {
public:
  explicit LeavingUpstreams(const History &history);

  /// Event with which the upstream began to leave, if at that time it was leaving for longer than
  /// the limit; null otherwise.
  const HistoryEvent *overdueAt(const std::string &upstream, TimePoint time, Duration limit) const;

private:
  void add(const std::string &upstream, Phase phase, const HistoryEvent &event);

  Intervals Spans;
  std::map<std::pair<std::string, TimePoint>, const HistoryEvent *> Begins;
};

} // namespace wigeonlift
