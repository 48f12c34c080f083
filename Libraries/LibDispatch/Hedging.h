#pragma once

#include <LibBudget/LibBudget.h>
#include <LibRouting/LibRouting.h>

#include <optional>

namespace wigeonlift {

/// Determines after which delay a call gets a second attempt while its first one runs, and keeps
/// the budget of such hedges.
class Hedging {
public:
  void setPercent(double hedgePercent);
  void didStartCall() { Budget.didStartCall(); }
  /// Adds the time to the response of a first attempt. For a cancelled attempt this is its age, a
  /// lower bound.
  void addLatency(Duration latency);
  /// Age at which a first attempt counts as slow; empty while too few latencies are known.
  std::optional<Duration> delay() const { return Delay; }
  /// Median time to the response; empty while too few latencies are known.
  std::optional<Duration> median() const { return Median; }
  /// Lowest recent median, an estimate of the latency with little queueing; empty while too few
  /// latencies are known.
  std::optional<Duration> unloadedMedian() const { return UnloadedMedian; }
  bool take() { return Budget.take(); }
  bool hasRoom() const { return Budget.hasRoom(); }

private:
  double HedgePercent = 0;
  ExtraAttemptBudget Budget;
  LatencyQuantiles Latencies;
  std::optional<Duration> Delay;
  std::optional<Duration> Median;
  std::optional<Duration> UnloadedMedian;
};

} // namespace wigeonlift
