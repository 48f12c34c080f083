#include <LibBudget/RepeatBudget.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace wigeonlift {

namespace {

constexpr Duration BucketDuration = std::chrono::milliseconds{100};
// Upstreams count a repeat when it arrives, which may be later than it was taken from this budget.
// Repeats therefore count for this much longer than the window.
constexpr int ArrivalSlackBuckets = 5;
constexpr int MinWindowBuckets = ArrivalSlackBuckets + 1;
constexpr double SafetyFactor = 0.95;

std::int64_t bucketNumber(TimePoint time) { return time.time_since_epoch() / BucketDuration; }

} // namespace

void RepeatBudget::setBounds(double ratio, double allowance, Duration window) {
  Ratio = ratio;
  Allowance = allowance;
  Window = window;
}

int RepeatBudget::windowBuckets() const {
  return std::max(MinWindowBuckets, static_cast<int>(Window / BucketDuration));
}

void RepeatBudget::didRequest(TimePoint now) { ++bucketAt(now).Requests; }

double RepeatBudget::requestsOfWindow(int age, std::span<const int> recentRequests) const {
  const auto recent = [&](int buckets) {
    return recentRequests[static_cast<std::size_t>(std::max(0, buckets))];
  };
  const int window = windowBuckets();
  const int half = window / 2;
  const double own = recent(age);
  const double halfEarlier = recent(age + half) - recent(age - half);
  const double oneEarlier = recent(age + window) - recent(age);
  if (age <= half) {
    const double part = static_cast<double>(age) / half;
    return part * halfEarlier + (1 - part) * oneEarlier;
  }
  const double part = static_cast<double>(age - half) / (window - half);
  return part * own + (1 - part) * halfEarlier;
}

RepeatBudget::Bucket RepeatBudget::countsOf(std::int64_t bucket) const {
  const std::int64_t ago = LastBucket - bucket;
  if (ago < 0 || ago >= std::ssize(Buckets))
    return {};
  return Buckets[Buckets.size() - 1 - static_cast<std::size_t>(ago)];
}

double RepeatBudget::remaining(TimePoint now) const {
  const std::int64_t current = bucketNumber(now);
  const int window = windowBuckets();
  // Element n is the count of the last n buckets.
  std::vector<int> recentRequests{0};
  std::vector<int> recentRepeats{0};
  for (int n = 0; n < 2 * window; ++n) {
    const Bucket counts = countsOf(current - n);
    recentRequests.push_back(recentRequests.back() + counts.Requests);
    recentRepeats.push_back(recentRepeats.back() + counts.Repeats);
  }
  const double allowance = now >= StartedAt + Window ? Allowance : 0;
  double least = std::numeric_limits<double>::max();
  for (int age = 0; age <= window; ++age) {
    // The bucket in which the window begins counts for the repeats, but not for the requests.
    const int buckets = age + 1 + ArrivalSlackBuckets;
    const int repeats = recentRepeats[static_cast<std::size_t>(buckets)];
    const double requests = requestsOfWindow(age, recentRequests);
    least = std::min(least, SafetyFactor * (Ratio * requests + allowance) - repeats);
  }
  return least;
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
  const std::int64_t number = bucketNumber(now);
  const int kept = 2 * windowBuckets();
  // After a long time without events, all counts are out of date.
  if (Buckets.empty() || number - LastBucket >= kept) {
    Buckets.assign(1, {});
    LastBucket = number;
  }
  for (; LastBucket < number; ++LastBucket)
    Buckets.emplace_back();
  while (std::ssize(Buckets) > kept)
    Buckets.pop_front();
  return Buckets.back();
}

} // namespace wigeonlift
