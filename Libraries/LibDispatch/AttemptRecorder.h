#pragma once

#include <LibDispatch/CallTable.h>
#include <LibDispatch/Hedging.h>
#include <LibDispatch/TypicalLatency.h>
#include <LibRouting/LibRouting.h>

namespace wigeonlift {

/// Records the outcomes of attempts in the health of their upstreams, in the typical service time
/// and in the latencies for hedging.
class AttemptRecorder {
public:
  /// `typicalServiceTime` is the time that a call takes from when the upstream has a free slot for
  /// it; it excludes the wait in the upstream's queue.
  AttemptRecorder(UpstreamTable &table, Hedging &hedging, TypicalLatency &typicalServiceTime)
      : Table(table), Hedger(hedging), TypicalServiceTime(typicalServiceTime) {}

  void didStartTrial(Attempt &attempt);
  /// The attempt has no response after the hedge delay.
  void didStayUnanswered(Attempt &attempt, TimePoint now);
  void didAnswer(Attempt &attempt, TimePoint now);
  void didFail(Attempt &attempt, TimePoint now);
  /// The attempt ended for a reason that says nothing about the health of its upstream.
  void didAbandon(Attempt &attempt);
  /// The attempt is cancelled while it runs. Its age is a lower bound of its latency.
  void didCancel(Attempt &attempt, TimePoint now);

private:
  /// Latency divided by the number of service times that the attempt was expected to wait and run.
  static Duration serviceTimeOf(const Attempt &attempt, TimePoint now);
  double serviceTimeRatio(const Attempt &attempt, TimePoint now) const;

  UpstreamTable &Table;
  Hedging &Hedger;
  TypicalLatency &TypicalServiceTime;
};

} // namespace wigeonlift
