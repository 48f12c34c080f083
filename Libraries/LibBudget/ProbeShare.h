#pragma once

#include <LibBase/LibBase.h>

namespace wigeonlift {

/// This VM's static share of one probe budget: at most k probes are written in any half-open
/// window. The decision for a probe comes at least window/k after the completion of the write of
/// the one before, and only one permit is outstanding at a time, so neither a pause nor a late
/// wake-up lets probes bunch.
class ProbeShare {
public:
  /// The first probe is decided no earlier than one window after the start of the process.
  explicit ProbeShare(TimePoint startedAt) : IdleSince(startedAt), LastWrite(startedAt) {}

  /// Probes that one VM may write in a window; 0 when the budget is too small for the fleet.
  static int probesPerWindow(double probesPerSecond, Duration window, int maxEntryVms);

  /// Sets budget and window. A changed share starts after one window without probes.
  void setBudget(double probesPerSecond, Duration window, int maxEntryVms, TimePoint now);

  /// A probe may be decided now.
  bool hasPermit(TimePoint now) const;
  /// Earliest time of the next permit; TimePoint::max() when there is none.
  TimePoint nextPermit() const;
  void takePermit() { IsOutstanding = true; }
  /// The probe of the permit was written, or may have been.
  void didWrite(TimePoint now);
  /// The probe of the permit was not written and never will be.
  void returnPermit() { IsOutstanding = false; }

  /// Probes that this VM may write in a window.
  int probesPerWindow() const { return PerWindow; }

private:
  Duration spacing() const;

  int PerWindow = 0;
  Duration Window{};
  /// The present share holds from this time after this instant.
  TimePoint IdleSince;
  Duration IdleTime{};
  TimePoint LastWrite;
  bool HasWritten = false;
  bool IsOutstanding = false;
};

} // namespace wigeonlift
