#include <LibDispatch/DispatcherState.h>

#include <LibDispatch/DispatchTypes.h>
#include <LibRouting/LibRouting.h>

namespace wigeonlift {

UpstreamSnapshot snapshotOf(const UpstreamTable &table, UpstreamIndex n, const UpstreamSpec &spec,
                            TimePoint now) {
  const Upstream &it = table[n];
  UpstreamSnapshot snapshot;
  snapshot.Upstream = n;
  snapshot.Name = spec.Name;
  snapshot.Address = spec.Address;
  snapshot.IsListed = it.IsListed;
  snapshot.IsLeaving = it.IsLeaving;
  snapshot.IsDraining = it.Permission.drainingObservedAt().has_value();
  snapshot.IsInSubset = it.IsInSubset;
  snapshot.IsPermitted = table.mayReceive(n, now);
  if (snapshot.IsPermitted)
    snapshot.PermissionLeft =
        *it.Permission.acceptingObservedAt() + table.limits().PermissionLifetime - now;
  snapshot.IsEjected = it.Health.isEjected();
  snapshot.OwnInFlight = it.OwnInFlight;
  snapshot.OthersInFlight = table.othersInFlight(n, now);
  snapshot.LastReport = it.Load.lastReport();
  if (snapshot.LastReport)
    snapshot.ReportAge = now - it.Load.receivedAt();
  snapshot.LatencyRatio = it.Health.latencyRatio();
  snapshot.Attempts = it.Attempts;
  snapshot.Failures = it.Failures;
  return snapshot;
}

} // namespace wigeonlift
