#pragma once

#include <LibBudget/ProbeShare.h>
#include <LibCatalogue/LibCatalogue.h>

#include <cstdint>
#include <vector>

namespace wigeonlift {

/// This VM's share of the measuring budget of one service: the budget of the fleet and that of
/// each upstream. A probe needs a permit of both.
class MeasuringBudget {
public:
  explicit MeasuringBudget(TimePoint startedAt) : StartedAt(startedAt), Service(startedAt) {}

  void setBudget(const ProbeBudgetSpec &spec, int maxEntryVms, TimePoint now);
  /// Makes room for upstreams up to the given count. Positions are never reused.
  void growTo(std::size_t upstreams, TimePoint now);

  bool hasPermit(UpstreamIndex upstream, TimePoint now) const;
  /// Whether the service's own share has a permit; each upstream's share may still refuse.
  bool hasServicePermit(TimePoint now) const { return Service.hasPermit(now); }
  /// Earliest permit of the service's share; TimePoint::max() when there is none.
  TimePoint nextPermit() const { return Service.nextPermit(); }
  void takePermit(UpstreamIndex upstream);
  void didWrite(UpstreamIndex upstream, TimePoint now);
  void returnPermit(UpstreamIndex upstream);

  int perWindow() const { return Service.perWindow(); }

private:
  TimePoint StartedAt;
  ProbeBudgetSpec Spec;
  int MaxEntryVms = 1;
  ProbeShare Service;
  std::vector<ProbeShare> Upstreams;
};

} // namespace wigeonlift
