#include "EntryUsage.h"

#include <utility>

namespace wigeonlift {

void EntryUsage::didArrive(const std::string &entry) {
  Counts &counts = Entries[entry];
  ++counts.Arrived;
  ++counts.InFlight;
  ++Calls;
}

void EntryUsage::didEnd(const std::string &entry) {
  --Entries[entry].InFlight;
  --Calls;
}

void EntryUsage::didFail(const std::string &entry, FailureKind kind) {
  if (kind == FailureKind::RateLimited || kind == FailureKind::InFlightLimited)
    ++Entries[entry].Refused;
}

void EntryUsage::setWaiting(const std::string &entry, int calls) {
  if (const auto it = Entries.find(entry); it != Entries.end())
    it->second.Waiting = calls;
}

int EntryUsage::inFlight(const std::string &entry) const {
  const auto it = Entries.find(entry);
  return it == Entries.end() ? 0 : it->second.InFlight;
}

std::vector<LimitDemand> EntryUsage::takeDemands(TimePoint now) {
  const double seconds = toSeconds(now - std::exchange(Since, now));
  std::vector<LimitDemand> demands;
  for (auto &[entry, counts] : Entries) {
    const auto arrived = static_cast<double>(std::exchange(counts.Arrived, 0));
    demands.push_back({.Entry = entry,
                       .CallsPerSecond = seconds > 0 ? arrived / seconds : 0,
                       .InFlight = counts.InFlight,
                       .Refused = std::exchange(counts.Refused, 0),
                       .Waiting = counts.Waiting});
  }
  std::erase_if(Entries, [](const auto &it) { return it.second.InFlight == 0; });
  return demands;
}

} // namespace wigeonlift
