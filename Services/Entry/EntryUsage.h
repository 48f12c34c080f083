#pragma once

#include "TaskMessages.h"

#include <LibBase/LibBase.h>

#include <map>
#include <string>
#include <vector>

namespace wigeonlift {

/// How much of each entry's limits this VM uses, for the control task.
class EntryUsage {
public:
  explicit EntryUsage(TimePoint startedAt) : Since(startedAt) {}

  void didArrive(const std::string &entry);
  void didEnd(const std::string &entry);
  /// The call was refused or failed; counts those that a limit refused.
  void didFail(const std::string &entry, FailureKind kind);
  /// Calls of the entry that wait for its rate at present.
  void setWaiting(const std::string &entry, int calls);
  /// Calls of the entry that are in progress.
  int inFlight(const std::string &entry) const;
  /// Calls that are in progress.
  int calls() const { return Calls; }
  /// Usage of all entries since the last call of this function.
  std::vector<LimitDemand> takeDemands(TimePoint now);

private:
  struct Counts {
    std::uint64_t Arrived = 0;
    std::uint64_t Refused = 0;
    int InFlight = 0;
    int Waiting = 0;
  };

  std::map<std::string, Counts> Entries;
  int Calls = 0;
  TimePoint Since;
};

} // namespace wigeonlift
