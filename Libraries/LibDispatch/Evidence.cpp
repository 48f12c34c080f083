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
  const Permission &permission = table[evidence.Upstream].Right;
  const bool wasDraining = permission.drainingSince().has_value();
  table.didReport(evidence.Upstream, evidence.Load, evidence.ObservedAt, now);
  return !wasDraining && permission.drainingSince();
}

bool applyPeerEvidence(UpstreamTable &table, const UpstreamEvidence &evidence, TimePoint now) {
  // A time in the future would extend the permission.
  if (!table.contains(evidence.Upstream) || evidence.ObservedAt > now)
    return false;
  Permission &permission = table[evidence.Upstream].Right;
  if (!isDrainingEvidence(evidence)) {
    permission.didTakeWork(evidence.ObservedAt);
    return false;
  }
  const bool wasDraining = permission.drainingSince().has_value();
  return permission.didDrainByPeer(evidence.ObservedAt, now) && !wasDraining;
}

std::vector<UpstreamEvidence> freshEvidence(const UpstreamTable &table, TimePoint now) {
  std::vector<UpstreamEvidence> result;
  for (std::uint32_t n = 0; n < table.size(); ++n) {
    const Upstream &it = table[UpstreamIndex{n}];
    const auto draining = it.Right.drainingSince();
    const auto takesWork = it.Right.takesWorkSince();
    if (draining && now - *draining < DrainRelayTime)
      result.push_back({UpstreamIndex{n}, *draining, {0, 0, 0, UpstreamState::Draining}});
    else if (it.mayReceive(now, table.limits().PermissionLife))
      result.push_back({UpstreamIndex{n}, *takesWork, it.Load.lastReport().value_or(LoadReport{})});
  }
  std::ranges::sort(result, hasPriority);
  return result;
}

} // namespace wigeonlift
