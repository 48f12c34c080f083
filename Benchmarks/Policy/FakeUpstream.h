#pragma once

#include "EventQueue.h"
#include "Scenario.h"

#include <LibDispatch/LibDispatch.h>

#include <deque>
#include <functional>
#include <unordered_map>

namespace wigeonlift::bench {

/// A request as it arrives at an upstream.
struct Request {
  std::uint64_t Key = 0;
  TimePoint Deadline{};
  /// Service time of the call; zero when it is drawn per attempt.
  double ServiceSeconds = 0;
  /// Called when the upstream begins to run the request.
  std::function<void()> DidStart;
  /// Called when the upstream sends its response.
  std::function<void(const ResponseHead &)> Respond;
};

/// An upstream with a few slots and a queue, and with the faults of the scenarios.
class FakeUpstream {
public:
  FakeUpstream(EventQueue &events, const RunOptions &options, std::uint64_t seed);

  void arrive(Request request);
  void cancel(std::uint64_t key);
  /// Load as it is reported; refreshed only now and then.
  LoadReport report();

  /// Service times are multiplied by this.
  double Slowness = 1;
  bool FailsFast = false;
  bool IsWarming = false;
  void startDraining() { DrainingSince = Events.now(); }
  /// Requests that arrived 3 s or more after draining began.
  int LateArrivals = 0;

private:
  void start(Request request);
  void finish(std::uint64_t key);
  void startNext();
  void respondSoon(const Request &request, ResponseHead head);
  double drawService();

  EventQueue &Events;
  int Slots;
  Duration ReportAge;
  Random Rng;
  std::lognormal_distribution<double> Service;
  std::deque<Request> Queue;
  std::unordered_map<std::uint64_t, Request> Running;
  std::optional<TimePoint> DrainingSince;
  LoadReport Reported;
  TimePoint ReportedAt = TimePoint::min();
};

} // namespace wigeonlift::bench
