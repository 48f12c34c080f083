#include <LibBudget/ProbeShare.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

int ProbeShare::probesPerWindow(double probesPerSecond, Duration window, int maxEntryVms) {
  const double perVm = probesPerSecond * toSeconds(window) / std::max(1, maxEntryVms);
  return std::max(0, static_cast<int>(std::floor(perVm)));
}

void ProbeShare::setBudget(double probesPerSecond, Duration window, int maxEntryVms,
                           TimePoint now) {
  const int newPerWindow = probesPerWindow(probesPerSecond, window, maxEntryVms);
  if (newPerWindow == PerWindow && window == Window)
    return;
  if (Window != Duration::zero()) {
    // Probes under the old share count in windows of the old length too, and so do those under the
    // share before it when the last change has only just been made.
    const Duration left = std::max(Duration{0}, IdleSince + IdleTime - now);
    IdleSince = now;
    IdleTime = std::max({Window, window, left});
  } else {
    IdleTime = window;
  }
  Window = std::max(window, Duration{1});
  PerWindow = newPerWindow;
}

bool ProbeShare::hasPermit(TimePoint now) const {
  return PerWindow > 0 && !IsOutstanding && now >= nextPermit();
}

TimePoint ProbeShare::nextPermit() const {
  if (PerWindow == 0 || IsOutstanding)
    return TimePoint::max();
  const TimePoint afterIdle = IdleSince + IdleTime;
  return HasWritten ? std::max(afterIdle, LastWrite + spacing()) : afterIdle;
}

void ProbeShare::didWrite(TimePoint now) {
  IsOutstanding = false;
  HasWritten = true;
  LastWrite = std::max(LastWrite, now);
  // A probe that was decided under the old share and written later restarts the idle time.
  if (now < IdleSince + IdleTime)
    IdleSince = std::max(IdleSince, now);
}

Duration ProbeShare::spacing() const {
  // Rounded up: k spacings must not be shorter than the window.
  return (Window + Duration{PerWindow - 1}) / PerWindow;
}

} // namespace wigeonlift
