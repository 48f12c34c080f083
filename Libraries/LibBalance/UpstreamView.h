#pragma once

#include <LibBalance/BalanceTypes.h>

#include <optional>
#include <vector>

namespace wigeonlift {

/// What this VM believes about the load and the health of one upstream.
class UpstreamView {
public:
  explicit UpstreamView(const UpstreamInfo &facts) : Facts(facts) {}

  void setFacts(const UpstreamInfo &facts) { Facts = facts; }
  const UpstreamInfo &facts() const { return Facts; }

  /// A report that describes the upstream no earlier than `askedAt`.
  void didReport(const LoadReport &report, TimePoint askedAt, TimePoint now);
  void didSend(AttemptId attempt, TimePoint now);
  /// An attempt no longer occupies the upstream.
  void didEnd(AttemptId attempt);
  /// The upstream failed a request or a probe; the weight tells how much that says.
  void didFail(double weight, TimePoint now);
  void didSucceed(TimePoint now);
  /// Reports from before a pause of this process say nothing.
  void forgetReport() { HasReport = false; }

  bool isFresh(TimePoint now) const;
  Duration reportAge(TimePoint now) const { return now - ReportedAt; }
  bool hasReport() const { return HasReport; }
  /// Requests at the upstream, those of this VM since the report included.
  int occupied() const;
  int slots() const { return HasReport && Report.Slots > 0 ? Report.Slots : Facts.Slots; }
  /// Slots that may be used without slowing the upstream down.
  int easySlots() const;
  /// Factor by which work takes longer than usual at present, as far as it is known.
  double slowness(TimePoint now, double typical) const;
  /// Recent failures, each halved within a few seconds.
  double trouble(TimePoint now) const;
  int ownRequests() const { return static_cast<int>(Own.size()); }

  std::optional<ProbeId> Probe;
  TimePoint ProbedAt{};

private:
  struct OwnRequest {
    AttemptId Attempt;
    TimePoint SentAt;
    bool IsInReport = false;
  };

  UpstreamInfo Facts;
  LoadReport Report;
  bool HasReport = false;
  TimePoint ReportedAt{};
  std::vector<OwnRequest> Own;
  double Trouble = 0;
  TimePoint TroubleAt{};
};

} // namespace wigeonlift
