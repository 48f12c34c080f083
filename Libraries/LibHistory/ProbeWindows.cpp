#include <LibHistory/ProbeWindows.h>

#include <fmt/format.h>

#include <algorithm>

namespace wigeonlift {

void ProbeWindows::count(std::span<const HistoryEvent *const> probes, std::size_t allowed,
                         const std::string &name) {
  std::size_t end = 0;
  std::size_t reportedEnd = 0;
  // The fullest window can be moved to begin at a probe, so looking at those windows suffices.
  for (std::size_t begin = 0; begin < probes.size(); ++begin) {
    while (end < probes.size() && probes[end]->Time < probes[begin]->Time + Window)
      ++end;
    ++Windows;
    MostInWindow = std::max(MostInWindow, end - begin);
    // Overlapping windows show the same excess, so it is reported once.
    if (end - begin <= allowed || begin < reportedEnd)
      continue;
    reportedEnd = end;
    report(probes.subspan(begin, end - begin), allowed, name);
  }
}

void ProbeWindows::report(std::span<const HistoryEvent *const> probes, std::size_t allowed,
                          const std::string &name) {
  std::vector<HistoryEvent> events;
  for (const HistoryEvent *it : probes)
    events.push_back(*it);
  Result.addViolation(
      fmt::format("{} has {} probes in one window, {} are allowed", name, probes.size(), allowed),
      std::move(events));
}

} // namespace wigeonlift
