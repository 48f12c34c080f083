#include <LibDispatch/Evidence.h>

#include <algorithm>

namespace wigeonlift {

namespace {

bool isDrainingEvidence(const UpstreamEvidence &evidence) {
  return evidence.Load.State == UpstreamState::Draining;
}

/// Draining upstreams come first, because a message to a peer has room for only a few upstreams.
bool hasPriority(const UpstreamEvidence &a, const UpstreamEvidence &b) {
  if (isDrainingEvidence(a) != isDrainingEvidence(b))
    return isDrainingEvidence(a);
  return a.ObservedAt > b.ObservedAt;
}

// How long a drain is reported to peers. The permissions of peers that did not receive the report
// expire within this time.
constexpr Duration DrainRelayTime = std::chrono::seconds(10);

} // namespace

bool applyDirectEvidence(UpstreamTable &table, const UpstreamEvidence &evidence, TimePoint now) {
  const SendPermission &permission = table[evidence.Upstream].Permission;
  const bool wasDraining = permission.drainingObservedAt().has_value();
  table.didReport(evidence.Upstream, evidence.Load, evidence.ObservedAt, now);
  return !wasDraining && permission.drainingObservedAt();
}

bool applyPeerEvidence(UpstreamTable &table, const UpstreamEvidence &evidence, TimePoint now) {
  // A time in the future would extend the permission.
  if (!table.contains(evidence.Upstream) || evidence.ObservedAt > now)
    return false;
  SendPermission &permission = table[evidence.Upstream].Permission;
  if (!isDrainingEvidence(evidence)) {
    permission.didReportAccepting(evidence.ObservedAt);
    return false;
  }
  const bool wasDraining = permission.drainingObservedAt().has_value();
  return permission.didPeerReportDraining(evidence.ObservedAt, now) && !wasDraining;
}

std::vector<UpstreamEvidence> freshEvidence(const UpstreamTable &table, TimePoint now) {
  std::vector<UpstreamEvidence> result;
  for (std::uint32_t n = 0; n < table.size(); ++n) {
    const Upstream &it = table[UpstreamIndex{n}];
    const auto draining = it.Permission.drainingObservedAt();
    const auto takesWork = it.Permission.acceptingObservedAt();
    if (draining && now - *draining < DrainRelayTime)
      result.push_back({UpstreamIndex{n}, *draining, {0, 0, 0, UpstreamState::Draining}});
    else if (it.mayReceive(now, table.limits().PermissionLifetime))
      result.push_back({UpstreamIndex{n}, *takesWork, it.Load.lastReport().value_or(LoadReport{})});
  }
  std::ranges::sort(result, hasPriority);
  return result;
}

} // namespace wigeonlift
