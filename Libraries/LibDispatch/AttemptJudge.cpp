#include <LibDispatch/AttemptJudge.h>

#include <utility>

namespace wigeonlift {

void AttemptJudge::didStartTrial(Attempt &attempt) {
  attempt.IsTrial = true;
  Table[attempt.Upstream].Health.didStartTrial();
}

void AttemptJudge::didBecomeSlow(Attempt &attempt, TimePoint now) {
  attempt.IsSlow = true;
  UpstreamHealth &condition = Table[attempt.Upstream].Health;
  if (std::exchange(attempt.IsTrial, false))
    condition.didFailTrial(now);
  condition.didBecomeSlow(ratioToTypical(attempt, now));
  Table.ejectIfUnhealthy(attempt.Upstream, now);
}

void AttemptJudge::didAnswer(Attempt &attempt, TimePoint now) {
  UpstreamHealth &condition = Table[attempt.Upstream].Health;
  if (std::exchange(attempt.IsTrial, false))
    condition.didPassTrial(now);
  if (attempt.IsExport)
    return;
  if (!attempt.IsHedge)
    Hedger.didTake(now - attempt.SentAt);
  TypicalTurn.didSee(latencyPerTurn(attempt, now));
  if (const double typical = toSeconds(TypicalTurn.present()); typical > 0)
    Table.didAnswer(attempt.Turns, toSeconds(now - attempt.SentAt) / typical);
  if (!attempt.IsSlow)
    condition.didAnswer(ratioToTypical(attempt, now));
  Table.ejectIfUnhealthy(attempt.Upstream, now);
}

void AttemptJudge::didFail(Attempt &attempt, TimePoint now) {
  Upstream &upstream = Table[attempt.Upstream];
  ++upstream.Failures;
  if (std::exchange(attempt.IsTrial, false))
    upstream.Health.didFailTrial(now);
  upstream.Health.didFail();
  Table.ejectIfUnhealthy(attempt.Upstream, now);
}

void AttemptJudge::didAbandon(Attempt &attempt) {
  if (std::exchange(attempt.IsTrial, false))
    Table[attempt.Upstream].Health.didAbandonTrial();
}

void AttemptJudge::didCancel(Attempt &attempt, TimePoint now) {
  didAbandon(attempt);
  if (attempt.IsSent && !attempt.IsExport && !attempt.IsHedge)
    Hedger.didTake(now - attempt.SentAt);
}

Duration AttemptJudge::latencyPerTurn(const Attempt &attempt, TimePoint now) {
  return fromSeconds(toSeconds(now - attempt.SentAt) / attempt.Turns.Expected);
}

double AttemptJudge::ratioToTypical(const Attempt &attempt, TimePoint now) const {
  // A long latency behind many calls says that the queue was long, not that the upstream is slow.
  const double typical = toSeconds(TypicalTurn.present());
  return typical > 0 ? toSeconds(latencyPerTurn(attempt, now)) / typical : 1;
}

} // namespace wigeonlift
