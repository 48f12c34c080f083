#include <LibRouting/SendPermission.h>

#include <algorithm>

namespace wigeonlift {

void SendPermission::didReportAccepting(TimePoint observedAt) {
  if (observedAt <= Barrier)
    return;
  Draining.reset();
  TakesWork = std::max(TakesWork.value_or(observedAt), observedAt);
}

void SendPermission::didDrain(TimePoint observedAt, TimePoint now) {
  revoke(now);
  Draining = std::max(Draining.value_or(observedAt), observedAt);
}

bool SendPermission::didPeerReportDraining(TimePoint observedAt, TimePoint now) {
  if (TakesWork && *TakesWork > observedAt)
    return false;
  // A rumour from before the barrier is about a drain that is already known or over.
  if (observedAt <= Barrier && !Draining)
    return false;
  didDrain(observedAt, now);
  return true;
}

void SendPermission::revoke(TimePoint now) {
  Barrier = std::max(Barrier, now);
  TakesWork.reset();
}

bool SendPermission::isValid(TimePoint now, Duration life) const {
  return TakesWork && !Draining && now - *TakesWork < life;
}

} // namespace wigeonlift
