#include <LibDispatch/EntryFlow.h>

#include <utility>

namespace wigeonlift {

namespace {

constexpr double WaitSmoothing = 0.1;
// Retry time when the rate of an entry is zero, so that it admits calls only after a change of the
// catalogue or the shares.
constexpr Duration NoRateRetryAfter = std::chrono::seconds(1);
// Bounds the retry time of calls whose entry's rate became zero while they waited.
constexpr Duration MaxExpectedWait = std::chrono::hours(1);

} // namespace

TimePoint EntryFlow::tokenReadyAt() const {
  const std::size_t callsAhead = Queue.size() - QueuedWithToken;
  if (LeaseExpiresAt == TimePoint{})
    return Rate.readyAt(callsAhead);
  return Rate.readyAt(callsAhead, LeaseExpiresAt, RateShare);
}

Duration EntryFlow::expectedWait(TimePoint now) const {
  const Duration positionWait =
      fromSeconds(WaitSecondsPerPosition * static_cast<double>(Queue.size()));
  return std::max(positionWait, std::min(tokenReadyAt() - now, MaxExpectedWait));
}

std::size_t EntryFlow::queueCapacity(bool waitsForRate) const {
  // The catalogue bounds running and waiting calls together. A call that waits for the rate limit
  // may therefore occupy a free in-flight slot, so that it can wait even when the queue share is
  // zero. Leased slots are not counted, because the lease may expire before the wait ends.
  const int limit = waitsForRate ? std::min(InFlightShare, inFlightLimit()) : inFlightLimit();
  const int freeSlots = std::max(0, limit - InFlight);
  return std::max(QueueShare,
                  static_cast<std::size_t>(waitsForRate ? freeSlots : std::min(freeSlots, 1)));
}

Duration EntryFlow::retryAfter(Duration timeLeft, TimePoint now) const {
  const TimePoint callTokenReadyAt = tokenReadyAt();
  const TimePoint nextTokenReadyAt = Rate.readyAt(0);
  if (callTokenReadyAt == TimePoint::max() || nextTokenReadyAt == TimePoint::max())
    return NoRateRetryAfter;
  // The same call would be admitted once the wait is shorter than `timeLeft`.
  return std::max(callTokenReadyAt - now - timeLeft + std::chrono::milliseconds(1),
                  nextTokenReadyAt - now);
}

void EntryFlow::applyShare(TimePoint now) {
  expireLease(now);
  Rate.setRate(RateShare + LeasedRate, now);
}

void EntryFlow::expireLease(TimePoint now) {
  if (LeaseExpiresAt == TimePoint{} || now < LeaseExpiresAt)
    return;
  LeasedRate = 0;
  LeasedInFlight = 0;
  // The rate changes as of the expiry, even when this function runs later, so that no tokens
  // accumulate at the leased rate after the expiry.
  Rate.setRate(RateShare, std::exchange(LeaseExpiresAt, TimePoint{}));
}

void EntryFlow::dequeueHead(TimePoint queuedAt, std::size_t queuedBehind, TimePoint now) {
  Queue.pop_front();
  // Time spent waiting for a token is left out of the wait per position, because it says nothing
  // about how fast the queue advances.
  TimePoint waitStartedAt = queuedAt;
  if (QueuedWithToken > 0) {
    --QueuedWithToken;
  } else {
    waitStartedAt = std::max(queuedAt, std::min(NextTokenAt, now));
    Rate.take(now);
    if (!Rate.hasToken())
      NextTokenAt = Rate.readyAt(0);
  }
  HeadLacksToken = waitsForToken();
  const double positions = waitStartedAt > queuedAt ? 1 : static_cast<double>(queuedBehind + 1);
  WaitSecondsPerPosition +=
      WaitSmoothing * (toSeconds(now - waitStartedAt) / positions - WaitSecondsPerPosition);
}

bool EntryFlow::remove(CallId call) {
  const auto found = std::ranges::find(Queue, call);
  if (found == Queue.end())
    return false;
  if (static_cast<std::size_t>(found - Queue.begin()) < QueuedWithToken)
    --QueuedWithToken;
  Queue.erase(found);
  return true;
}

} // namespace wigeonlift
