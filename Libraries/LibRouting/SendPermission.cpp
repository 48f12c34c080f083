#include <LibRouting/SendPermission.h>

#include <algorithm>

namespace wigeonlift {

void SendPermission::didReportAccepting(TimePoint observedAt) {
  if (observedAt <= EvidenceCutoff)
    return;
  DrainingObservedAt.reset();
  AcceptingObservedAt = std::max(AcceptingObservedAt.value_or(observedAt), observedAt);
}

void SendPermission::didReportDraining(TimePoint observedAt, TimePoint now) {
  revoke(now);
  DrainingObservedAt = std::max(DrainingObservedAt.value_or(observedAt), observedAt);
}

bool SendPermission::didPeerReportDraining(TimePoint observedAt, TimePoint now) {
  if (AcceptingObservedAt && *AcceptingObservedAt > observedAt)
    return false;
  // A drain observed by the cutoff adds nothing: the permission has already ended, and the evidence
  // that can renew it is newer than the drain.
  if (observedAt <= EvidenceCutoff && !DrainingObservedAt)
    return false;
  didReportDraining(observedAt, now);
  return true;
}

void SendPermission::revoke(TimePoint now) {
  EvidenceCutoff = std::max(EvidenceCutoff, now);
  AcceptingObservedAt.reset();
}

bool SendPermission::isValid(TimePoint now, Duration lifetime) const {
  return AcceptingObservedAt && !DrainingObservedAt && now - *AcceptingObservedAt < lifetime;
}

} // namespace wigeonlift
