#pragma once

#include <LibBase/LibBase.h>

#include <deque>

namespace wigeonlift {

/// Bounds the repeats of a service in every sliding window: a share of the requests in it, plus
/// this VM's part of an allowance that all VMs have in common.
class RepeatBudget {
public:
  explicit RepeatBudget(TimePoint startedAt) : StartedAt(startedAt) {}

  /// The allowance counts from one window after the start, since a former process with the same
  /// part may have used it up.
  void setBounds(double ratio, double allowance, Duration window);
  void didRequest(TimePoint now);
  bool hasRoom(TimePoint now) const;
  /// Takes one repeat; false when the budget is used up.
  bool take(TimePoint now);
  /// Gives back a repeat that did not reach its upstream.
  void refund(TimePoint now);
  /// Repeats that may still be taken.
  double remaining(TimePoint now) const;

private:
  struct Step {
    TimePoint Begin;
    int Requests = 0;
    int Repeats = 0;
  };
  Step &stepAt(TimePoint now);

  TimePoint StartedAt;
  double Ratio = 0;
  double Allowance = 0;
  Duration Window = std::chrono::seconds{10};
  std::deque<Step> Steps;
};

} // namespace wigeonlift
