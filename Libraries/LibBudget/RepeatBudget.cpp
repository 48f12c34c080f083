#include <LibBudget/RepeatBudget.h>

#include <algorithm>

namespace wigeonlift {

namespace {

constexpr Duration BucketDuration = std::chrono::milliseconds{100};
// Upstreams count a repeat when it arrives, which may be later than it was taken from this budget.
// Repeats therefore count for this much longer than the window.
constexpr Duration ArrivalSlack = std::chrono::milliseconds{500};
constexpr double SafetyFactor = 0.95;

} // namespace

void RepeatBudget::setBounds(double ratio, double allowance, Duration window) {
  Ratio = ratio;
  Allowance = allowance;
  Window = window;
}

void RepeatBudget::didRequest(TimePoint now) { ++bucketAt(now).Requests; }

double RepeatBudget::remaining(TimePoint now) const {
  double requests = 0;
  double repeats = 0;
  for (const Bucket &it : Buckets) {
    if (it.Begin + BucketDuration > now - Window - ArrivalSlack)
      repeats += it.Repeats;
    if (it.Begin >= now - Window)
      requests += it.Requests;
  }
  const double allowance = now >= StartedAt + Window ? Allowance : 0;
  return SafetyFactor * (Ratio * requests + allowance) - repeats;
}

bool RepeatBudget::hasRoom(TimePoint now) const { return remaining(now) >= 1; }

bool RepeatBudget::take(TimePoint now) {
  if (!hasRoom(now))
    return false;
  ++bucketAt(now).Repeats;
  return true;
}

void RepeatBudget::refund(TimePoint now) {
  Bucket &bucket = bucketAt(now);
  bucket.Repeats = std::max(0, bucket.Repeats - 1);
}

RepeatBudget::Bucket &RepeatBudget::bucketAt(TimePoint now) {
  while (!Buckets.empty() && Buckets.front().Begin + BucketDuration < now - Window - ArrivalSlack)
    Buckets.pop_front();
  if (Buckets.empty() || now >= Buckets.back().Begin + BucketDuration)
    Buckets.push_back({.Begin = now});
  return Buckets.back();
}

} // namespace wigeonlift
