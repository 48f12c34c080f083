#pragma once

#include <LibBalance/BalanceTypes.h>

#include <optional>
#include <vector>

namespace wigeonlift {

/// This VM's estimate of the load and health of one upstream.
class UpstreamView {
public:
  explicit UpstreamView(const UpstreamInfo &info) : Info(info) {}

  void setInfo(const UpstreamInfo &info) { Info = info; }
  void setWarmupEndsAt(TimePoint end) { Info.WarmupEndsAt = end; }
  const UpstreamInfo &info() const { return Info; }

  /// Stores a load report. It includes all requests that this VM sent before `queriedAt`.
  void didReport(const LoadReport &report, TimePoint queriedAt, TimePoint now);
  void didSend(AttemptId attempt, TimePoint now);
  /// The attempt no longer counts as outstanding at the upstream.
  void didEndAttempt(AttemptId attempt);
  /// The upstream failed a request or a probe. `penalty` is added to the failure score.
  void didFail(double penalty, TimePoint now);
  void didSucceed(TimePoint now);
  /// Discards the last report, as after a pause of this process or a failure.
  void clearReport() { HasReport = false; }

  bool isFresh(TimePoint now) const;
  Duration reportAge(TimePoint now) const { return now - ReportedAt; }
  bool hasReport() const { return HasReport; }
  /// Running and queued requests at the upstream, including those that this VM sent after the
  /// report.
  int outstandingRequests() const;
  int slots() const { return HasReport && Report.Slots > 0 ? Report.Slots : Info.Slots; }
  /// Factor by which work takes longer while more slots than the soft limit are in use.
  static constexpr double OverSoftLimitFactor = 1.7;
  /// Factor by which work takes longer on a cold upstream.
  static constexpr double WarmupSlowness = 2.0;
  /// Number of slots that can be in use before the upstream slows down.
  int softSlotLimit() const;
  /// Number of slots with which the upstream does the most work per second. The slots above the
  /// soft limit count only if they add more than the slowdown takes away.
  int bestSlotLimit() const;
  /// Estimated factor by which work currently takes longer than usual. Moves from the reported
  /// value to `typical` as the report ages.
  double slowness(TimePoint now, double typical) const;
  /// Weighted sum of recent failures, which decays exponentially and drops with each success.
  double failureScore(TimePoint now) const;
  int ownRequests() const { return static_cast<int>(OwnRequests.size()); }

  /// The probe in flight, if any.
  std::optional<ProbeId> Probe;
  TimePoint ProbedAt{};

private:
  struct OwnRequest {
    AttemptId Attempt;
    TimePoint SentAt;
    bool IsInReport = false;
  };

  UpstreamInfo Info;
  LoadReport Report;
  bool HasReport = false;
  TimePoint ReportedAt{};
  std::vector<OwnRequest> OwnRequests;
  double FailureScore = 0;
  TimePoint FailureScoreAt{};
};

} // namespace wigeonlift
