#include "DispatcherFixture.h"

using namespace wigeonlift;
using namespace wigeonlift::test;

namespace {

constexpr std::uint64_t Seed = 41;

/// A catalogue whose first entry permits ten calls per second on this VM, with a bucket of one
/// token.
std::shared_ptr<Catalogue> lowRateCatalogue(int inFlight = 1000, int queue = 1000) {
  auto catalogue = makeCatalogue(10);
  catalogue->Entries[0].Limits = {100, inFlight, queue, 2s};
  return catalogue;
}

/// Advances the time in steps of 1 ms, answers each started call immediately, and returns the start
/// times.
std::vector<TimePoint> startsUntil(DispatcherFixture<> &it, TimePoint end) {
  std::vector<TimePoint> starts;
  while (it.Now < end) {
    it.permitAll();
    it.passTime(std::min<Duration>(1ms, end - it.Now));
    while (it.count<StartAttempt>() > 0) {
      const AttemptId attempt = it.take<StartAttempt>().Attempt;
      EXPECT_TRUE(it.Dispatcher.mayWrite(attempt, it.Now, it.Out));
      it.answer(attempt, {200, false, false, IdleReport});
      it.Dispatcher.responseFinished(attempt, it.Now, it.Out);
      starts.push_back(it.Now);
    }
  }
  return starts;
}

} // namespace

// Guards against calls of a burst being refused although the rate can serve them before their
// deadline, against more calls than that being admitted, and against a retry time at which the call
// is refused again.
TEST(RateShaping, BurstWaitsAndOnlyTheExcessIsRefused) {
  DispatcherFixture<> it(20, lowRateCatalogue());
  for (int n = 0; n < 30; ++n)
    it.arrive(CallClass::Idempotent);
  EXPECT_EQ(it.count<StartAttempt>(), 1);
  it.Dispatcher.callerLeft(it.take<StartAttempt>().Call, it.Now, it.Out);
  // One call starts immediately and 20 at 0.09 s to 1.99 s; the next would start after its
  // deadline.
  ASSERT_EQ(it.count<FailCall>(), 9);
  const Failure failure = it.take<FailCall>().Reason;
  EXPECT_EQ(failure.Kind, FailureKind::RateLimited);
  EXPECT_EQ(failure.Executed, Execution::NotRun);
  EXPECT_EQ(toMilliseconds(failure.RetryAfter), 91);
  const TimePoint begin = it.Now;
  std::vector<TimePoint> starts = startsUntil(it, begin + 95ms);
  it.arrive(CallClass::Idempotent);
  EXPECT_EQ(it.count<FailCall>(), 8);
  std::ranges::move(startsUntil(it, begin + 3s), std::back_inserter(starts));
  ASSERT_EQ(starts.size(), 21U);
  for (std::size_t n = 0; n < starts.size(); ++n)
    EXPECT_EQ(toMilliseconds(starts[n] - begin - 90ms) / 10, 10 * static_cast<int>(n));
  EXPECT_EQ(it.count<FailCall>(), 8);
}

// Guards against a VM exceeding its static share plus its leases in any time window, and against a
// leased share being used after its expiry.
TEST(RateShaping, RateHoldsInEveryWindow) {
  DispatcherFixture<> it(20, lowRateCatalogue());
  Random random{Seed};
  struct Start {
    /// Calls that the static share and the leases permitted until then.
    double AllowedCalls;
  };
  std::vector<Start> starts;
  double allowedCalls = 0;
  double leasedRate = 0;
  TimePoint leaseExpiresAt{};
  for (int step = 0; step < 4000; ++step) {
    if (random.below(40) == 0) {
      leasedRate = static_cast<double>(random.below(26)) - 5;
      leaseExpiresAt = it.Now + std::chrono::milliseconds{1 + random.below(800)};
      it.Dispatcher.setLimitShare(0, leasedRate, 0, leaseExpiresAt, it.Now, it.Out);
    }
    for (std::uint64_t n = random.below(4) / 3 * random.below(6); n > 0; --n)
      it.arrive(CallClass::Idempotent);
    const TimePoint stepStartedAt = it.Now;
    it.permitAll();
    for (; it.count<StartAttempt>() > 0;
         it.Dispatcher.callerLeft(it.take<StartAttempt>().Call, it.Now, it.Out))
      starts.push_back({allowedCalls});
    it.passTime(std::chrono::milliseconds{random.below(40)});
    allowedCalls += 10 * toSeconds(it.Now - stepStartedAt);
    allowedCalls +=
        leasedRate * std::max(0.0, toSeconds(std::min(it.Now, leaseExpiresAt) - stepStartedAt));
  }
  // The bucket holds the tokens of 0.11 s at the highest rate.
  constexpr double burst = 3.3;
  ASSERT_GT(starts.size(), 400U) << "seed " << Seed;
  for (std::size_t i = 0; i < starts.size(); ++i)
    for (std::size_t j = i; j < starts.size(); ++j)
      ASSERT_LE(static_cast<double>(j - i + 1),
                starts[j].AllowedCalls - starts[i].AllowedCalls + burst + 1e-3)
          << "seed " << Seed << " starts " << i << " to " << j;
}

// Guards against a call being queued although its token comes after its deadline, and against a
// retry time at which the same call is refused again.
TEST(RateShaping, DeadlineShorterThanTheWaitIsRefusedAtArrival) {
  DispatcherFixture<> it(5, lowRateCatalogue());
  it.arrive(CallClass::Idempotent);
  it.arrive(CallClass::Idempotent);
  it.arrive(CallClass::Idempotent, 150ms);
  ASSERT_EQ(it.count<FailCall>(), 1);
  const Failure failure = it.take<FailCall>().Reason;
  EXPECT_EQ(failure.Kind, FailureKind::RateLimited);
  EXPECT_EQ(failure.Executed, Execution::NotRun);
  it.passTime(failure.RetryAfter);
  it.arrive(CallClass::Idempotent, 150ms);
  EXPECT_EQ(it.count<FailCall>(), 0);
}

// Guards against FailureKind::Overloaded, which points to the upstreams, for calls that miss their
// deadline because of a lease and the rate limit.
TEST(RateShaping, CallsOfAnExpiredLeaseAreRateLimitedAtTheirDeadline) {
  DispatcherFixture<> it(5, lowRateCatalogue());
  it.arrive(CallClass::Idempotent);
  for (int n = 0; n < 3; ++n)
    it.arrive(CallClass::Idempotent, 350ms);
  it.Dispatcher.setLimitShare(0, -9, 0, it.Now + 2s, it.Now, it.Out);
  it.passTime(350ms);
  ASSERT_EQ(it.count<FailCall>(), 3);
  const Failure failure = it.take<FailCall>().Reason;
  EXPECT_EQ(failure.Kind, FailureKind::RateLimited);
  EXPECT_EQ(failure.Executed, Execution::NotRun);
  EXPECT_GT(failure.RetryAfter, 500ms);
}

// Guards against a call whose caller left the queue taking the token of the call behind it.
TEST(RateShaping, CallerThatLeavesTakesNoToken) {
  DispatcherFixture<> it(5, lowRateCatalogue());
  it.arrive(CallClass::Idempotent);
  const CallId cancelled = it.arrive(CallClass::Idempotent);
  const CallId nextCall = it.arrive(CallClass::Idempotent);
  it.take<StartAttempt>();
  it.Dispatcher.callerLeft(cancelled, it.Now, it.Out);
  it.passTime(101ms);
  EXPECT_EQ(it.take<StartAttempt>().Call, nextCall);
}

// Guards against calls that wait for tokens blocking those of other entries or counting as
// overload, and against a flow being compensated for the time in which it had no token.
TEST(RateShaping, FlowWithoutTokensDoesNotBlockAnother) {
  DispatcherFixture<> it(5, lowRateCatalogue());
  for (int n = 0; n < 5; ++n)
    it.arrive(CallClass::Idempotent);
  const CallId otherCall = it.arrive(CallClass::NonIdempotent);
  it.take<StartAttempt>();
  EXPECT_EQ(it.take<StartAttempt>().Call, otherCall);
  EXPECT_EQ(it.Dispatcher.state(it.Now).Entries[0].WaitingForRate, 4);
}

// Guards against a wake-up time after the one at which the next token becomes available.
TEST(RateShaping, WakesUpForTheNextToken) {
  auto catalogue = lowRateCatalogue();
  // Without probes the token determines the wake-up time.
  catalogue->Services[0].ProbeBudget = {0, 0, 10s};
  DispatcherFixture<> it(5, catalogue);
  it.arrive(CallClass::Idempotent);
  it.take<StartAttempt>();
  it.arrive(CallClass::Idempotent);
  ASSERT_TRUE(it.Dispatcher.nextWakeup());
  EXPECT_NEAR(toSeconds(*it.Dispatcher.nextWakeup() - it.Now), 0.09, 1e-6);
  it.passTime(*it.Dispatcher.nextWakeup() - it.Now);
  EXPECT_EQ(it.count<StartAttempt>(), 1);
}

// Guards against a retry waiting for or taking a second token.
TEST(RateShaping, RetryTakesNoSecondToken) {
  DispatcherFixture<> it(5, lowRateCatalogue());
  // Calls of another entry fill the retry budget.
  for (int n = 0; n < 20; ++n)
    it.Dispatcher.callerLeft(it.send(CallClass::NonIdempotent).Call, it.Now, it.Out);
  const auto first = it.send(CallClass::Idempotent);
  const CallId waiting = it.arrive(CallClass::Idempotent);
  it.answer(first.Attempt, {503, true, false, IdleReport});
  EXPECT_EQ(it.take<StartAttempt>().Call, first.Call);
  it.passTime(101ms);
  EXPECT_EQ(it.take<StartAttempt>().Call, waiting);
}

// Guards against no call of an entry being able to wait when its queue limit is too small to be
// shared between VMs, and against more calls being held than may run and wait by the catalogue.
TEST(RateShaping, CallsWaitInFreeInFlightSlotsWithoutAQueue) {
  DispatcherFixture<> it(5, lowRateCatalogue(30, 0));
  for (int n = 0; n < 4; ++n)
    it.arrive(CallClass::Idempotent);
  ASSERT_EQ(it.count<FailCall>(), 1);
  EXPECT_EQ(it.take<FailCall>().Reason.Kind, FailureKind::RateLimited);
  it.take<StartAttempt>();
  const auto starts = startsUntil(it, it.Now + 250ms);
  EXPECT_EQ(starts.size(), 2U);
}
