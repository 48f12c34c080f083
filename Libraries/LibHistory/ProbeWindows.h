#pragma once

#include <LibHistory/Verdict.h>

#include <span>
#include <string>

namespace wigeonlift {

/// Counts the probes of every window of one length.
class ProbeWindows {
public:
  /// Violations are added to the verdict.
  ProbeWindows(Duration window, Verdict &verdict) : Window(window), Result(verdict) {}

  /// Counts probes, which are in order of time, against what one window allows. The name is for
  /// the verdict.
  void count(std::span<const HistoryEvent *const> probes, std::size_t allowed,
             const std::string &name);

  std::size_t windows() const { return Windows; }
  std::size_t mostInWindow() const { return MostInWindow; }

private:
  void report(std::span<const HistoryEvent *const> probes, std::size_t allowed,
              const std::string &name);

  Duration Window;
  Verdict &Result;
  std::size_t Windows = 0;
  std::size_t MostInWindow = 0;
};

} // namespace wigeonlift
