#pragma once

#include <LibBudget/LibBudget.h>
#include <LibRouting/LibRouting.h>

#include <optional>

namespace wigeonlift {

/// Decides when a call gets a second attempt while its first one runs.
class Hedging {
public:
  void setPercent(double percent);
  void didStartCall() { Budget.didStartCall(); }
  /// Time to the response of a first attempt. For one that was cancelled, its age is a lower bound.
  void didTake(Duration latency);
  /// Age at which a first attempt counts as slow; empty while too little is known.
  std::optional<Duration> delay() const { return Delay; }
  /// Median time to the response; empty while too little is known.
  std::optional<Duration> median() const { return Median; }
  /// The lowest median of late: what a call takes where it hardly waits; empty as above.
  std::optional<Duration> unloadedMedian() const { return Unloaded; }
  bool take() { return Budget.take(); }
  bool hasRoom() const { return Budget.hasRoom(); }

private:
  double Percent = 0;
  ExtraAttemptBudget Budget;
  LatencyQuantiles Latencies;
  std::optional<Duration> Delay;
  std::optional<Duration> Median;
  std::optional<Duration> Unloaded;
};

} // namespace wigeonlift
