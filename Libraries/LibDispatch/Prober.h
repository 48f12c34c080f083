#pragma once

#include <LibBudget/LibBudget.h>
#include <LibDispatch/DispatchTypes.h>
#include <LibRouting/LibRouting.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace wigeonlift {

/// A probe from the decision to its answer.
struct Probe {
  UpstreamIndex Upstream;
  /// When the write was permitted; the evidence of the answer is no older.
  std::optional<TimePoint> SentAt;
  TimePoint StartedAt{};
  bool IsWritten = false;
};

/// Starts probes within the measuring budget and keeps those that run.
class Prober {
public:
  explicit Prober(TimePoint startedAt) : Budget(startedAt) {}

  void setBudget(const ProbeBudgetSpec &spec, int maxEntryVms, TimePoint now);
  void growTo(std::size_t upstreams, TimePoint now);
  /// Earliest permit; TimePoint::max() when there is none.
  TimePoint nextPermit() const { return Budget.nextPermit(); }
  /// When to ask again whether a probe is due or overdue; TimePoint::max() without a budget.
  TimePoint nextCheck(TimePoint now) const;

  /// Starts a probe if one is permitted and changes a decision. Marks the upstream as probed.
  std::optional<StartProbe> startMostUseful(UpstreamTable &table, Random &random, TimePoint now);
  bool mayWrite(ProbeId id, TimePoint now);
  void didWrite(ProbeId id, TimePoint now);
  /// Forgets a probe that was answered or failed. Empty when it is unknown.
  std::optional<Probe> finish(ProbeId id, TimePoint now);
  /// Gives up on probes that were not answered in time; returns their upstreams.
  std::vector<UpstreamIndex> expire(TimePoint now);

  std::uint64_t started() const { return NextProbe - 1; }
  std::uint64_t started(UpstreamIndex upstream) const { return Started[upstream.Value]; }
  int perWindow() const { return Budget.perWindow(); }

private:
  std::optional<UpstreamIndex> mostUseful(const UpstreamTable &table, Random &random,
                                          TimePoint now) const;

  MeasuringBudget Budget;
  std::unordered_map<ProbeId, Probe> Running;
  std::vector<std::uint64_t> Started;
  std::uint64_t NextProbe = 1;
};

} // namespace wigeonlift
