#pragma once

#include <LibBudget/LibBudget.h>
#include <LibDispatch/DispatchTypes.h>
#include <LibRouting/LibRouting.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace wigeonlift {

/// A running probe.
struct Probe {
  UpstreamIndex Upstream;
  /// When the write was permitted. The load report in the answer is no older than this.
  std::optional<TimePoint> SentAt;
  TimePoint StartedAt{};
  bool IsWritten = false;
};

/// Starts probes within the measuring budget and tracks the running ones.
class Prober {
public:
  explicit Prober(TimePoint startedAt) : Budget(startedAt) {}

  void setBudget(const ProbeBudgetSpec &spec, int maxEntryVms, TimePoint now);
  void growTo(std::size_t upstreams, TimePoint now);
  /// Time of the earliest permit; TimePoint::max() when there is none.
  TimePoint nextPermit() const { return Budget.nextPermit(); }
  /// When to check again whether a probe can start or has timed out; TimePoint::max() without a
  /// budget.
  TimePoint nextCheck(TimePoint now) const;

  /// Starts a probe if the budget permits one and the permission of an upstream has expired or
  /// expires soon. Marks the upstream as having a running probe.
  std::optional<StartProbe> startDueProbe(UpstreamTable &table, Random &random, TimePoint now);
  bool mayWrite(ProbeId id, TimePoint now);
  void didWrite(ProbeId id, TimePoint now);
  /// Removes a probe that was answered or failed. Empty when the id is unknown.
  std::optional<Probe> finish(ProbeId id, TimePoint now);
  /// Removes probes that timed out. Returns their upstreams.
  std::vector<UpstreamIndex> expire(TimePoint now);

  std::uint64_t started() const { return NextProbeId - 1; }
  std::uint64_t started(UpstreamIndex upstream) const { return StartedByUpstream[upstream.Value]; }
  int probesPerWindow() const { return Budget.probesPerWindow(); }

private:
  std::optional<UpstreamIndex> chooseUpstream(const UpstreamTable &table, Random &random,
                                              TimePoint now) const;

  ServiceProbeBudget Budget;
  std::unordered_map<ProbeId, Probe> Running;
  std::vector<std::uint64_t> StartedByUpstream;
  std::uint64_t NextProbeId = 1;
};

} // namespace wigeonlift
