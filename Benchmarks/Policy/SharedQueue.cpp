#include "SharedQueue.h"

#include "Arrivals.h"

#include <cmath>
#include <deque>

namespace wigeonlift::bench {

namespace {

class SharedQueue {
public:
  explicit SharedQueue(const RunOptions &options)
      : Options(options), Outcomes(options), Rng(options.Seed + 1),
        Service(std::log(toSeconds(MeanService)) - ServiceSigma * ServiceSigma / 2, ServiceSigma),
        Idle(options.User.Upstreams * options.User.Slots) {}

  RunResult run() {
    Arrivals arrivals(Events, Options, Outcomes, [this](const ArrivingCall &call) {
      Queue.push_back({call, Events.now()});
      startNext();
    });
    arrivals.start();
    Events.runUntil(FaultStart + Options.Measured + 2 * CallDeadline);
    return Outcomes.result();
  }

private:
  struct Waiting {
    ArrivingCall Call;
    TimePoint ArrivedAt{};
  };

  void startNext() {
    while (Idle > 0 && !Queue.empty()) {
      const auto [call, arrivedAt] = Queue.front();
      Queue.pop_front();
      // A call that is not likely to end in time is refused in favour of those behind it.
      if (Events.now() + 4 * MeanService > arrivedAt + CallDeadline) {
        Outcomes.didFail(call.Number, Execution::NotRun);
        continue;
      }
      start(call);
    }
  }

  void start(const ArrivingCall &call) {
    --Idle;
    Outcomes.didSend(call.Number);
    Outcomes.didRun(call.Number);
    const double seconds = call.ServiceSeconds > 0 ? call.ServiceSeconds : Service(Rng.engine());
    Events.after(fromSeconds(seconds), [this, call] {
      ++Idle;
      // Both ways between the entry VM and the upstream, as the policies have them.
      Events.after(2 * Options.User.OneWay,
                   [this, call] { Outcomes.didSucceed(call.Number, Events.now()); });
      startNext();
    });
  }

  const RunOptions &Options;
  EventQueue Events;
  Tally Outcomes;
  Random Rng;
  std::lognormal_distribution<double> Service;
  std::deque<Waiting> Queue;
  int Idle;
};

} // namespace

RunResult runSharedQueue(const RunOptions &options) { return SharedQueue(options).run(); }

} // namespace wigeonlift::bench
