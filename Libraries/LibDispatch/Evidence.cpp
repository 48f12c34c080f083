#include <LibDispatch/Evidence.h>

#include <algorithm>

namespace wigeonlift {

namespace {

bool isDrainingEvidence(const UpstreamEvidence &evidence) {
  return evidence.Load.State == UpstreamState::Draining;
}

/// Draining is told first: a message to a peer has room for a few upstreams only.
bool isMoreUseful(const UpstreamEvidence &a, const UpstreamEvidence &b) {
  if (isDrainingEvidence(a) != isDrainingEvidence(b))
    return isDrainingEvidence(a);
  return a.ObservedAt > b.ObservedAt;
}

// Peers that have not heard of a drain lose their permission within this time anyway.
constexpr Duration DrainRelayTime = std::chrono::seconds(10);

} // namespace

bool didHear(UpstreamTable &table, const UpstreamEvidence &evidence, TimePoint now) {
  const SendPermission &right = table[evidence.Upstream].Permission;
  const bool wasDraining = right.drainingObservedAt().has_value();
  table.didReport(evidence.Upstream, evidence.Load, evidence.ObservedAt, now);
  return !wasDraining && right.drainingObservedAt();
}

bool didHearFromPeer(UpstreamTable &table, const UpstreamEvidence &evidence, TimePoint now) {
  // An instant in the future would lengthen the permission.
  if (!table.contains(evidence.Upstream) || evidence.ObservedAt > now)
    return false;
  SendPermission &right = table[evidence.Upstream].Permission;
  if (!isDrainingEvidence(evidence)) {
    right.didReportAccepting(evidence.ObservedAt);
    return false;
  }
  const bool wasDraining = right.drainingObservedAt().has_value();
  return right.didPeerReportDraining(evidence.ObservedAt, now) && !wasDraining;
}

std::vector<UpstreamEvidence> freshEvidence(const UpstreamTable &table, TimePoint now) {
  std::vector<UpstreamEvidence> all;
  for (std::uint32_t n = 0; n < table.size(); ++n) {
    const Upstream &it = table[UpstreamIndex{n}];
    const auto draining = it.Permission.drainingObservedAt();
    const auto takesWork = it.Permission.acceptingObservedAt();
    if (draining && now - *draining < DrainRelayTime)
      all.push_back({UpstreamIndex{n}, *draining, {0, 0, 0, UpstreamState::Draining}});
    else if (it.mayReceive(now, table.limits().PermissionLifetime))
      all.push_back({UpstreamIndex{n}, *takesWork, it.Load.lastReport().value_or(LoadReport{})});
  }
  std::ranges::sort(all, isMoreUseful);
  return all;
}

} // namespace wigeonlift
