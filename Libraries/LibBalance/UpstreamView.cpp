#include <LibBalance/UpstreamView.h>

#include <algorithm>
#include <cmath>

namespace wigeonlift {

namespace {

// Load shifts within tens of milliseconds; other VMs send a few requests in that time.
constexpr Duration FreshSpan = std::chrono::milliseconds{20};
// The state of a machine that is shared with others lasts some hundred milliseconds.
constexpr double SlownessMemorySeconds = 0.3;
// Upstreams slow down when more of their slots are taken.
constexpr double EasyShareOfSlots = 0.8;
constexpr double WarmupFactor = 2.0;
constexpr double TroubleHalfLifeSeconds = 3.0;
constexpr double SuccessForgives = 0.6;
constexpr double MaxTrouble = 6;

} // namespace

void UpstreamView::didReport(const LoadReport &report, TimePoint askedAt, TimePoint now) {
  Report = report;
  HasReport = true;
  ReportedAt = now;
  for (OwnRequest &it : Own)
    it.IsInReport = it.SentAt < askedAt;
}

void UpstreamView::didSend(AttemptId attempt, TimePoint now) { Own.push_back({attempt, now}); }

void UpstreamView::didEnd(AttemptId attempt) {
  const auto it = std::ranges::find(Own, attempt, &OwnRequest::Attempt);
  if (it == Own.end())
    return;
  if (it->IsInReport) {
    if (Report.Queued > 0)
      --Report.Queued;
    else if (Report.InFlight > 0)
      --Report.InFlight;
  }
  Own.erase(it);
}

void UpstreamView::didFail(double weight, TimePoint now) {
  Trouble = std::min(MaxTrouble, trouble(now) + weight);
  TroubleAt = now;
}

void UpstreamView::didSucceed(TimePoint now) {
  Trouble = trouble(now) * SuccessForgives;
  TroubleAt = now;
}

bool UpstreamView::isFresh(TimePoint now) const {
  return HasReport && now - ReportedAt <= FreshSpan;
}

int UpstreamView::occupied() const {
  if (!HasReport)
    return ownRequests();
  const auto unseen =
      std::ranges::count_if(Own, [](const OwnRequest &it) { return !it.IsInReport; });
  return std::max(ownRequests(), Report.InFlight + Report.Queued + static_cast<int>(unseen));
}

int UpstreamView::easySlots() const {
  return std::max(1, static_cast<int>(std::floor(EasyShareOfSlots * slots())));
}

double UpstreamView::slowness(TimePoint now, double typical) const {
  const double warmup = now < Facts.WarmupEndsAt ? WarmupFactor : 1.0;
  if (!HasReport)
    return typical * warmup;
  const double known = std::max(1.0, Report.SlownessPercent / 100.0);
  const double trust =
      isFresh(now) ? 1.0 : std::exp(-toSeconds(reportAge(now)) / SlownessMemorySeconds);
  return (trust * known + (1 - trust) * typical) * warmup;
}

double UpstreamView::trouble(TimePoint now) const {
  if (Trouble == 0)
    return 0;
  return Trouble * std::exp2(-toSeconds(now - TroubleAt) / TroubleHalfLifeSeconds);
}

} // namespace wigeonlift
