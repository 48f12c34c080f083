#pragma once

#include <LibHistory/History.h>
#include <LibHistory/Intervals.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace wigeonlift {

/// One incarnation of an entry daemon.
struct EntryLife {
  std::string Process;
  TimePoint Incarnation{};
  /// From its first event to the kill or the beginning of its stop.
  Interval Alive;
};

/// When processes lived, were paused, killed or could not reach each other.
class FaultTimeline {
public:
  explicit FaultTimeline(const History &history);

  const std::vector<EntryLife> &entryLives() const { return EntryLives; }
  /// Process that has the address; the address itself when none has said so.
  std::string processAt(const std::string &address) const;
  const std::vector<Interval> &pausesOf(const std::string &process) const;
  /// Spans in which the two could not reach each other; they may overlap.
  std::vector<Interval> cutsBetween(const std::string &one, const std::string &other) const;
  bool areCut(const std::string &one, const std::string &other, TimePoint time) const;
  bool wasKilledIn(const std::string &process, const Interval &span) const;
  /// Begin and end of every partition.
  const std::set<TimePoint> &cutChanges() const { return CutChanges; }

private:
  void addLife(const HistoryEvent &event);
  void endLives(const std::string &process, TimePoint time);
  void addPartition(const HistoryEvent &event, const PartitionEvent &partition);

  std::vector<EntryLife> EntryLives;
  std::map<std::string, std::string> ProcessByAddress;
  std::map<std::string, std::vector<TimePoint>> Kills;
  Intervals Pauses;
  Intervals Cuts;
  std::set<TimePoint> CutChanges;
};

} // namespace wigeonlift
