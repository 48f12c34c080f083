#pragma once

#include <LibBudget/ProbeShare.h>
#include <LibCatalogue/LibCatalogue.h>

#include <cstdint>
#include <vector>

namespace wigeonlift {

/// This VM's share of the probe budgets of one service. One budget limits the probes of the fleet
/// to the whole service, another limits those to each upstream. A probe needs a permit from both.
class ServiceProbeBudget {
public:
  explicit ServiceProbeBudget(TimePoint startedAt)
      : StartedAt(startedAt), ServiceShare(startedAt) {}

  void setBudget(const ProbeBudgetSpec &spec, int maxEntryVms, TimePoint now);
  /// Adds shares until there are `upstreams` of them. Upstream indices are never reused.
  void growTo(std::size_t upstreams, TimePoint now);

  bool hasPermit(UpstreamIndex upstream, TimePoint now) const;
  /// Whether the share for the whole service has a permit. The share for an upstream may still have
  /// none.
  bool hasServicePermit(TimePoint now) const { return ServiceShare.hasPermit(now); }
  /// Earliest time of the next permit of the share for the whole service; TimePoint::max() while
  /// a permit is outstanding or the share is less than one probe per window.
  TimePoint nextPermit() const { return ServiceShare.nextPermit(); }
  void takePermit(UpstreamIndex upstream);
  void didWrite(UpstreamIndex upstream, TimePoint now);
  void returnPermit(UpstreamIndex upstream);

  int probesPerWindow() const { return ServiceShare.probesPerWindow(); }

private:
  TimePoint StartedAt;
  ProbeBudgetSpec Spec;
  int MaxEntryVms = 1;
  ProbeShare ServiceShare;
  std::vector<ProbeShare> UpstreamShares;
};

} // namespace wigeonlift
