#include <LibDispatch/AttemptRecorder.h>

#include <utility>

namespace wigeonlift {

void AttemptRecorder::didStartTrial(Attempt &attempt) {
  attempt.IsTrial = true;
  Table[attempt.Upstream].Health.didStartTrial();
}

void AttemptRecorder::didStayUnanswered(Attempt &attempt, TimePoint now) {
  attempt.IsSlow = true;
  UpstreamHealth &condition = Table[attempt.Upstream].Health;
  if (std::exchange(attempt.IsTrial, false))
    condition.didFailTrial(now);
  condition.didStayUnanswered(serviceTimeRatio(attempt, now));
  Table.ejectIfUnhealthy(attempt.Upstream, now);
}

void AttemptRecorder::didAnswer(Attempt &attempt, TimePoint now) {
  UpstreamHealth &condition = Table[attempt.Upstream].Health;
  if (std::exchange(attempt.IsTrial, false))
    condition.didPassTrial(now);
  if (attempt.IsExport)
    return;
  if (!attempt.IsHedge)
    Hedger.addLatency(now - attempt.SentAt);
  TypicalServiceTime.add(serviceTimeOf(attempt, now));
  if (const double typicalSeconds = toSeconds(TypicalServiceTime.current()); typicalSeconds > 0)
    Table.didAnswer(attempt.Turns, toSeconds(now - attempt.SentAt) / typicalSeconds);
  if (!attempt.IsSlow)
    condition.didAnswer(serviceTimeRatio(attempt, now));
  Table.ejectIfUnhealthy(attempt.Upstream, now);
}

void AttemptRecorder::didFail(Attempt &attempt, TimePoint now) {
  Upstream &upstream = Table[attempt.Upstream];
  ++upstream.Failures;
  if (std::exchange(attempt.IsTrial, false))
    upstream.Health.didFailTrial(now);
  upstream.Health.didFail();
  Table.ejectIfUnhealthy(attempt.Upstream, now);
}

void AttemptRecorder::didAbandon(Attempt &attempt) {
  if (std::exchange(attempt.IsTrial, false))
    Table[attempt.Upstream].Health.didAbandonTrial();
}

void AttemptRecorder::didCancel(Attempt &attempt, TimePoint now) {
  didAbandon(attempt);
  if (attempt.IsSent && !attempt.IsExport && !attempt.IsHedge)
    Hedger.addLatency(now - attempt.SentAt);
}

Duration AttemptRecorder::serviceTimeOf(const Attempt &attempt, TimePoint now) {
  return fromSeconds(toSeconds(now - attempt.SentAt) / attempt.Turns.Expected);
}

double AttemptRecorder::serviceTimeRatio(const Attempt &attempt, TimePoint now) const {
  // The service time is compared and not the latency: a long latency behind many calls shows a long
  // queue and not a slow upstream.
  const double typicalSeconds = toSeconds(TypicalServiceTime.current());
  return typicalSeconds > 0 ? toSeconds(serviceTimeOf(attempt, now)) / typicalSeconds : 1;
}

} // namespace wigeonlift
