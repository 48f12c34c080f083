#pragma once

#include <LibBase/LibBase.h>

#include <deque>

namespace wigeonlift {

/// Limits the repeats of requests to a service in every sliding window to a ratio of the requests
/// in the window, plus this VM's part of an allowance that all VMs share.
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
  struct Bucket {
    TimePoint Begin;
    int Requests = 0;
    int Repeats = 0;
  };
  Bucket &bucketAt(TimePoint now);

  TimePoint StartedAt;
  double Ratio = 0;
  double Allowance = 0;
  Duration Window = std::chrono::seconds{10};
  std::deque<Bucket> Buckets;
};

} // namespace wigeonlift
