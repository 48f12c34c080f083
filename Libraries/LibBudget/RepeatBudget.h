#pragma once

#include <LibBase/LibBase.h>

#include <cstdint>
#include <deque>
#include <span>

namespace wigeonlift {

/// Limits the repeats of requests to a service in every sliding window to a ratio of its requests,
/// plus this VM's part of an allowance that all VMs share.
///
/// A window that has begun may contain few requests in the end, because the traffic may fall. Its
/// requests are therefore counted as those of the window one or one half window earlier until most
/// of it has passed. How much of each counts depends on the time since its begin only, so that the
/// budgets of all VMs together stay within the limit for the requests of the fleet.
class RepeatBudget {
public:
  explicit RepeatBudget(TimePoint startedAt) : StartedAt(startedAt) {}

  /// The allowance applies from one window after the start of the process, because an earlier
  /// process on this VM may have used it up.
  void setBounds(double ratio, double allowance, Duration window);
  void didRequest(TimePoint now);
  bool hasRoom(TimePoint now) const;
  /// Takes one repeat. Returns false if the budget is used up.
  bool take(TimePoint now);
  /// Gives back a repeat that was taken but did not reach its upstream. Has no effect if no repeat
  /// is counted in the current bucket of 100 ms.
  void refund(TimePoint now);
  /// Repeats that may still be taken. May be fractional or negative.
  double remaining(TimePoint now) const;

private:
  /// Counts of 100 ms.
  struct Bucket {
    int Requests = 0;
    int Repeats = 0;
  };
  Bucket &bucketAt(TimePoint now);
  /// The number that counts as the requests of the window that began `age` buckets ago. Element n
  /// of `recentRequests` is the number of requests in the last n buckets.
  double requestsOfWindow(int age, std::span<const int> recentRequests) const;
  Bucket countsOf(std::int64_t bucket) const;
  int windowBuckets() const;

  TimePoint StartedAt;
  double Ratio = 0;
  double Allowance = 0;
  Duration Window = std::chrono::seconds{10};
  /// Number of the last bucket, counted from the epoch of the clock. The buckets before it have no
  /// gaps.
  std::int64_t LastBucket = 0;
  std::deque<Bucket> Buckets;
};

} // namespace wigeonlift
