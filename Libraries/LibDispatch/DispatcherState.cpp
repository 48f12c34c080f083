#include <LibDispatch/DispatcherState.h>

#include <LibDispatch/DispatchTypes.h>
#include <LibRouting/LibRouting.h>

namespace wigeonlift {

UpstreamFigures figuresOf(const UpstreamTable &table, UpstreamIndex n, const UpstreamSpec &spec,
                          TimePoint now) {
  const Upstream &it = table[n];
  UpstreamFigures figures;
  figures.Upstream = n;
  figures.Name = spec.Name;
  figures.Address = spec.Address;
  figures.IsListed = it.IsListed;
  figures.IsLeaving = it.IsLeaving;
  figures.IsDraining = it.Permission.drainingObservedAt().has_value();
  figures.IsInSubset = it.IsInSubset;
  figures.IsPermitted = table.mayReceive(n, now);
  if (figures.IsPermitted)
    figures.PermissionLeft =
        *it.Permission.acceptingObservedAt() + table.limits().PermissionLifetime - now;
  figures.IsEjected = it.Health.isEjected();
  figures.OwnInFlight = it.OwnInFlight;
  figures.OthersInFlight = table.othersInFlight(n, now);
  figures.LastReport = it.Load.lastReport();
  if (figures.LastReport)
    figures.ReportAge = now - it.Load.observedAt();
  figures.LatencyRatio = it.Health.latencyRatio();
  figures.Attempts = it.Attempts;
  figures.Failures = it.Failures;
  return figures;
}

} // namespace wigeonlift
