#pragma once

#include <LibBase/LibBase.h>

namespace wigeonlift {

/// This VM's static share of one probe budget: at most k = `probesPerWindow()` probes are written
/// in any half-open window. A permit is available at the earliest window/k after the write of the
/// previous probe completed, and only one permit is outstanding at a time. Neither a pause of the
/// process nor a late timer can therefore cause a burst of probes.
class ProbeShare {
public:
  /// The first permit is available one window after the start of the process, because an earlier
  /// process on this VM may have used up the share.
  explicit ProbeShare(TimePoint startedAt) : IdleSince(startedAt), LastWriteAt(startedAt) {}

  /// Probes that one VM may write in a window, rounded down.
  static int probesPerWindow(double probesPerSecond, Duration window, int maxEntryVms);

  /// Sets the budget and the window. A changed share takes effect after an idle time without
  /// probes, which is at least as long as the old and the new window, and at least as long as the
  /// remaining idle time of an earlier change.
  void setBudget(double probesPerSecond, Duration window, int maxEntryVms, TimePoint now);

  /// Whether a permit may be taken now.
  bool hasPermit(TimePoint now) const;
  /// Earliest time of the next permit; TimePoint::max() while a permit is outstanding or the share
  /// is less than one probe per window.
  TimePoint nextPermit() const;
  void takePermit() { HasOutstandingPermit = true; }
  /// Ends the outstanding permit after its probe was written or may have been written.
  void didWrite(TimePoint now);
  /// Returns the outstanding permit unused. Its probe was not written and never will be.
  void returnPermit() { HasOutstandingPermit = false; }

  /// Probes that this VM may write in a window.
  int probesPerWindow() const { return ProbesPerWindow; }

private:
  Duration minSpacing() const;

  int ProbesPerWindow = 0;
  Duration Window{};
  /// The current share takes effect IdleDuration after this time.
  TimePoint IdleSince;
  Duration IdleDuration{};
  TimePoint LastWriteAt;
  bool HasWritten = false;
  bool HasOutstandingPermit = false;
};

} // namespace wigeonlift
