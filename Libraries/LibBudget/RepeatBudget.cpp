#include <LibBudget/RepeatBudget.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr Duration StepSpan = std::chrono::milliseconds{100};
// Upstreams count a repeat when it arrives, which may be later than it was taken here.
constexpr Duration ArrivalSlack = std::chrono::milliseconds{500};
constexpr double SafeShare = 0.95;

} // namespace

void RepeatBudget::setBounds(double ratio, double allowance, Duration window) {
  Ratio = ratio;
  Allowance = allowance;
  Window = window;
}

void RepeatBudget::didRequest(TimePoint now) { ++stepAt(now).Requests; }

double RepeatBudget::remaining(TimePoint now) const {
  double requests = 0;
  double repeats = 0;
  for (const Step &it : Steps) {
    if (it.Begin + StepSpan > now - Window - ArrivalSlack)
      repeats += it.Repeats;
    if (it.Begin >= now - Window)
      requests += it.Requests;
  }
  const double allowance = now >= StartedAt + Window ? Allowance : 0;
  return SafeShare * (Ratio * requests + allowance) - repeats;
}

bool RepeatBudget::hasRoom(TimePoint now) const { return remaining(now) >= 1; }

bool RepeatBudget::take(TimePoint now) {
  if (!hasRoom(now))
    return false;
  ++stepAt(now).Repeats;
  return true;
}

void RepeatBudget::refund(TimePoint now) {
  Step &step = stepAt(now);
  step.Repeats = std::max(0, step.Repeats - 1);
}

RepeatBudget::Step &RepeatBudget::stepAt(TimePoint now) {
  while (!Steps.empty() && Steps.front().Begin + StepSpan < now - Window - ArrivalSlack)
    Steps.pop_front();
  if (Steps.empty() || now >= Steps.back().Begin + StepSpan)
    Steps.push_back({.Begin = now});
  return Steps.back();
}

} // namespace wigeonlift
