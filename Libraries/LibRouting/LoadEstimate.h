#pragma once

#include <LibBase/LibBase.h>

#include <optional>

namespace wigeonlift {

/// Estimates the calls of other VMs at one upstream from its last load report.
class LoadEstimate {
public:
  /// Takes a report, unless it was received before the last one. `ownCalls` is the number of this
  /// VM's calls that the report may include.
  void didReport(const LoadReport &report, int ownCalls, TimePoint receivedAt);
  void forget();

  /// Expected calls of other VMs now. The estimate decays exponentially from the last report
  /// towards `meanOtherCalls`: after `decayTime`, the difference has fallen to 1/e.
  double expectedOtherCalls(TimePoint now, double meanOtherCalls, Duration decayTime) const;

  /// Calls of other VMs by the last report; empty without a report.
  std::optional<double> reportedOtherCalls() const { return OtherCalls; }
  const std::optional<LoadReport> &lastReport() const { return Report; }
  TimePoint receivedAt() const { return ReceivedAt; }

private:
  std::optional<LoadReport> Report;
  std::optional<double> OtherCalls;
  TimePoint ReceivedAt{};
};

} // namespace wigeonlift
