#include <LibBudget/ServiceProbeBudget.h>

namespace wigeonlift {

void ServiceProbeBudget::setBudget(const ProbeBudgetSpec &spec, int maxEntryVms, TimePoint now) {
  Spec = spec;
  MaxEntryVms = maxEntryVms;
  ServiceShare.setBudget(spec.ProbesPerSecond, spec.Window, maxEntryVms, now);
  for (ProbeShare &it : UpstreamShares)
    it.setBudget(spec.ProbesPerSecondPerUpstream, spec.Window, maxEntryVms, now);
}

void ServiceProbeBudget::growTo(std::size_t upstreams, TimePoint now) {
  while (UpstreamShares.size() < upstreams) {
    // An earlier process on this VM may have probed an upstream that this process has only just
    // learned of, so the share waits one window from the start of this process.
    ProbeShare &share = UpstreamShares.emplace_back(StartedAt);
    share.setBudget(Spec.ProbesPerSecondPerUpstream, Spec.Window, MaxEntryVms, now);
  }
}

bool ServiceProbeBudget::hasPermit(UpstreamIndex upstream, TimePoint now) const {
  return ServiceShare.hasPermit(now) && UpstreamShares[upstream.Value].hasPermit(now);
}

void ServiceProbeBudget::takePermit(UpstreamIndex upstream) {
  ServiceShare.takePermit();
  UpstreamShares[upstream.Value].takePermit();
}

void ServiceProbeBudget::didWrite(UpstreamIndex upstream, TimePoint now) {
  ServiceShare.didWrite(now);
  UpstreamShares[upstream.Value].didWrite(now);
}

void ServiceProbeBudget::returnPermit(UpstreamIndex upstream) {
  ServiceShare.returnPermit();
  UpstreamShares[upstream.Value].returnPermit();
}

} // namespace wigeonlift
