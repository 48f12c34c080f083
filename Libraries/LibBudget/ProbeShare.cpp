#include <LibBudget/ProbeShare.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

int ProbeShare::probesPerWindow(double probesPerSecond, Duration window, int maxEntryVms) {
  const double probesPerVm = probesPerSecond * toSeconds(window) / std::max(1, maxEntryVms);
  return std::max(0, static_cast<int>(std::floor(probesPerVm)));
}

void ProbeShare::setBudget(double probesPerSecond, Duration window, int maxEntryVms,
                           TimePoint now) {
  const int newProbesPerWindow = probesPerWindow(probesPerSecond, window, maxEntryVms);
  if (newProbesPerWindow == ProbesPerWindow && window == Window)
    return;
  if (Window != Duration::zero()) {
    // Probes sent under the old share still count in windows of the old length. If an earlier
    // change is still in its idle time, the remaining idle time covers the share before that
    // change.
    const Duration remainingIdle = std::max(Duration{0}, IdleSince + IdleDuration - now);
    IdleSince = now;
    IdleDuration = std::max({Window, window, remainingIdle});
  } else {
    IdleDuration = window;
  }
  Window = std::max(window, Duration{1});
  ProbesPerWindow = newProbesPerWindow;
}

bool ProbeShare::hasPermit(TimePoint now) const {
  return ProbesPerWindow > 0 && !HasOutstandingPermit && now >= nextPermit();
}

TimePoint ProbeShare::nextPermit() const {
  if (ProbesPerWindow == 0 || HasOutstandingPermit)
    return TimePoint::max();
  const TimePoint idleEnd = IdleSince + IdleDuration;
  return HasWritten ? std::max(idleEnd, LastWriteAt + minSpacing()) : idleEnd;
}

void ProbeShare::didWrite(TimePoint now) {
  HasOutstandingPermit = false;
  HasWritten = true;
  LastWriteAt = std::max(LastWriteAt, now);
  // A probe that got its permit under the old share but was written after the change restarts the
  // idle time.
  if (now < IdleSince + IdleDuration)
    IdleSince = std::max(IdleSince, now);
}

Duration ProbeShare::minSpacing() const {
  // Rounded up, because ProbesPerWindow spacings must not be shorter than the window.
  return (Window + Duration{ProbesPerWindow - 1}) / ProbesPerWindow;
}

} // namespace wigeonlift
