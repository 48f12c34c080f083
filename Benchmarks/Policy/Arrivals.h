#pragma once

#include "EventQueue.h"
#include "Tally.h"

namespace wigeonlift::bench {

/// A call as a caller makes it.
struct ArrivingCall {
  std::uint64_t Number = 0;
  CallClass Class{};
  /// Drawn once per call; zero when each attempt draws its own.
  double ServiceSeconds = 0;
};

/// Poisson arrivals of a run. The same seed gives the same arrivals for every policy.
class Arrivals {
public:
  Arrivals(EventQueue &events, const RunOptions &options, Tally &tally,
           std::function<void(const ArrivingCall &)> didArrive);
  void start();

private:
  void scheduleNext();

  EventQueue &Events;
  const RunOptions &Options;
  Tally &Outcomes;
  std::function<void(const ArrivingCall &)> DidArrive;
  Random Rng;
  std::lognormal_distribution<double> Service;
};

} // namespace wigeonlift::bench
