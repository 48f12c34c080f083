#include <LibDispatch/DispatcherState.h>

#include <LibDispatch/DispatchTypes.h>
#include <LibRouting/LibRouting.h>

namespace wigeonlift {

UpstreamSnapshot figuresOf(const UpstreamTable &table, UpstreamIndex n, const UpstreamSpec &spec,
                           TimePoint now) {
  const Upstream &it = table[n];
  UpstreamSnapshot figures;
  figures.Upstream = n;
  figures.Name = spec.Name;
  figures.Address = spec.Address;
  figures.IsListed = it.IsListed;
  figures.IsLeaving = it.IsLeaving;
  figures.IsDraining = it.Right.drainingSince().has_value();
  figures.IsInSubset = it.IsInSubset;
  figures.IsPermitted = table.mayReceive(n, now);
  if (figures.IsPermitted)
    figures.PermissionLeft = *it.Right.takesWorkSince() + table.limits().PermissionLife - now;
  figures.IsEjected = it.Condition.isEjected();
  figures.OwnInFlight = it.OwnInFlight;
  figures.OthersInFlight = table.othersInFlight(n, now);
  figures.LastReport = it.Load.lastReport();
  if (figures.LastReport)
    figures.ReportAge = now - it.Load.observedAt();
  figures.LatencyRatio = it.Condition.latencyRatio();
  figures.Attempts = it.Attempts;
  figures.Failures = it.Failures;
  return figures;
}

} // namespace wigeonlift
