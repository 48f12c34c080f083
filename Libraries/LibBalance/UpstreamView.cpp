#include <LibBalance/UpstreamView.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

// Load changes within tens of milliseconds, as other VMs send a few requests in that time.
constexpr Duration MaxFreshAge = std::chrono::milliseconds{20};
// Time constant with which a reported slowness loses weight. The slowness of a machine with noisy
// neighbours persists for a few hundred milliseconds.
constexpr double SlownessDecaySeconds = 0.3;
// Upstreams slow down when a larger fraction of their slots is in use.
constexpr double SoftLimitFraction = 0.8;
constexpr double FailureHalfLifeSeconds = 3.0;
constexpr double SuccessScoreFactor = 0.6;
constexpr double MaxFailureScore = 6;

} // namespace

void UpstreamView::didReport(const LoadReport &report, TimePoint queriedAt, TimePoint now) {
  Report = report;
  HasReport = true;
  ReportedAt = now;
  for (OwnRequest &it : OwnRequests)
    it.IsInReport = it.SentAt < queriedAt;
}

void UpstreamView::didSend(AttemptId attempt, TimePoint now) {
  OwnRequests.push_back({attempt, now});
}

void UpstreamView::didEndAttempt(AttemptId attempt) {
  const auto it = std::ranges::find(OwnRequests, attempt, &OwnRequest::Attempt);
  if (it == OwnRequests.end())
    return;
  if (it->IsInReport) {
    if (Report.Queued > 0)
      --Report.Queued;
    else if (Report.InFlight > 0)
      --Report.InFlight;
  }
  OwnRequests.erase(it);
}

void UpstreamView::didFail(double penalty, TimePoint now) {
  FailureScore = std::min(MaxFailureScore, failureScore(now) + penalty);
  FailureScoreAt = now;
}

void UpstreamView::didSucceed(TimePoint now) {
  FailureScore = failureScore(now) * SuccessScoreFactor;
  FailureScoreAt = now;
}

bool UpstreamView::isFresh(TimePoint now) const {
  return HasReport && now - ReportedAt <= MaxFreshAge;
}

int UpstreamView::outstandingRequests() const {
  if (!HasReport)
    return ownRequests();
  const auto unreported =
      std::ranges::count_if(OwnRequests, [](const OwnRequest &it) { return !it.IsInReport; });
  return std::max(ownRequests(), Report.InFlight + Report.Queued + static_cast<int>(unreported));
}

int UpstreamView::softSlotLimit() const {
  return std::max(1, static_cast<int>(std::floor(SoftLimitFraction * slots())));
}

int UpstreamView::bestSlotLimit() const {
  const int soft = softSlotLimit();
  return slots() > OverSoftLimitFactor * soft ? slots() : soft;
}

double UpstreamView::slowness(TimePoint now, double typical) const {
  const double warmup = now < Info.WarmupEndsAt ? WarmupSlowness : 1.0;
  if (!HasReport)
    return typical * warmup;
  const double reported = std::max(1.0, Report.SlownessPercent / 100.0);
  const double reportWeight =
      isFresh(now) ? 1.0 : std::exp(-toSeconds(reportAge(now)) / SlownessDecaySeconds);
  return (reportWeight * reported + (1 - reportWeight) * typical) * warmup;
}

double UpstreamView::failureScore(TimePoint now) const {
  if (FailureScore == 0)
    return 0;
  return FailureScore * std::exp2(-toSeconds(now - FailureScoreAt) / FailureHalfLifeSeconds);
}

} // namespace wigeonlift
