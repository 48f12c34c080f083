#include <LibBudget/MeasuringBudget.h>

namespace wigeonlift {

void MeasuringBudget::setBudget(const ProbeBudgetSpec &spec, int maxEntryVms, TimePoint now) {
  Spec = spec;
  MaxEntryVms = maxEntryVms;
  Service.setBudget(spec.ProbesPerSecond, spec.Window, maxEntryVms, now);
  for (ProbeShare &it : Upstreams)
    it.setBudget(spec.ProbesPerSecondPerUpstream, spec.Window, maxEntryVms, now);
}

void MeasuringBudget::growTo(std::size_t upstreams, TimePoint now) {
  while (Upstreams.size() < upstreams) {
    // A predecessor of this process may have probed an upstream that this one hears of only now.
    ProbeShare &share = Upstreams.emplace_back(StartedAt);
    share.setBudget(Spec.ProbesPerSecondPerUpstream, Spec.Window, MaxEntryVms, now);
  }
}

bool MeasuringBudget::hasPermit(UpstreamIndex upstream, TimePoint now) const {
  return Service.hasPermit(now) && Upstreams[upstream.Value].hasPermit(now);
}

void MeasuringBudget::takePermit(UpstreamIndex upstream) {
  Service.takePermit();
  Upstreams[upstream.Value].takePermit();
}

void MeasuringBudget::didWrite(UpstreamIndex upstream, TimePoint now) {
  Service.didWrite(now);
  Upstreams[upstream.Value].didWrite(now);
}

void MeasuringBudget::returnPermit(UpstreamIndex upstream) {
  Service.returnPermit();
  Upstreams[upstream.Value].returnPermit();
}

} // namespace wigeonlift
