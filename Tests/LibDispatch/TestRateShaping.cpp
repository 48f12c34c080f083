#include "Fixture.h"

using namespace wigeonlift;
using namespace wigeonlift::test;

namespace {

constexpr std::uint64_t Seed = 41;

/// Ten calls a second on this VM, in a bucket of one.
std::shared_ptr<Catalogue> smallEntry(int inFlight = 1000, int queue = 1000) {
  auto catalogue = makeCatalogue(10);
  catalogue->Entries[0].Limits = {100, inFlight, queue, 2s};
  return catalogue;
}

/// Passes time in small steps, answers the calls that are started, and returns when they were.
std::vector<TimePoint> startsUntil(Fixture<> &it, TimePoint end) {
  std::vector<TimePoint> starts;
  while (it.Now < end) {
    it.permitAll();
    it.passTime(std::min<Duration>(1ms, end - it.Now));
    while (it.count<StartAttempt>() > 0) {
      const AttemptId attempt = it.take<StartAttempt>().Attempt;
      EXPECT_TRUE(it.Under.mayWrite(attempt, it.Now, it.Out));
      it.answer(attempt, {200, false, false, Idle});
      it.Under.responseFinished(attempt, it.Now, it.Out);
      starts.push_back(it.Now);
    }
  }
  return starts;
}

} // namespace

// Guards against refusing a crowd that the rate can still serve before its deadline, against
// admitting more than that, and against a retry time at which the call is refused again.
TEST(RateShaping, CrowdWaitsAndOnlyTheRestIsRefused) {
  Fixture<> it(20, smallEntry());
  for (int n = 0; n < 30; ++n)
    it.arrive(CallClass::Idempotent);
  EXPECT_EQ(it.count<StartAttempt>(), 1);
  it.Under.callerLeft(it.take<StartAttempt>().Call, it.Now, it.Out);
  // One at once and 20 at 0.09 s to 1.99 s; the next would come after the deadline.
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

// Guards against a VM using more than its static share and what it was lent, in any window, and
// against a lent share being used after its end.
TEST(RateShaping, RateHoldsInEveryWindow) {
  Fixture<> it(20, smallEntry());
  Random random{Seed};
  struct Start {
    /// Calls that the share and the loans allowed until then.
    double Allowed;
  };
  std::vector<Start> starts;
  double allowed = 0;
  double lent = 0;
  TimePoint until{};
  for (int step = 0; step < 4000; ++step) {
    if (random.below(40) == 0) {
      lent = static_cast<double>(random.below(26)) - 5;
      until = it.Now + std::chrono::milliseconds{1 + random.below(800)};
      it.Under.setLimitShare(0, lent, 0, until, it.Now, it.Out);
    }
    for (std::uint64_t n = random.below(4) / 3 * random.below(6); n > 0; --n)
      it.arrive(CallClass::Idempotent);
    const TimePoint before = it.Now;
    it.permitAll();
    for (; it.count<StartAttempt>() > 0;
         it.Under.callerLeft(it.take<StartAttempt>().Call, it.Now, it.Out))
      starts.push_back({allowed});
    it.passTime(std::chrono::milliseconds{random.below(40)});
    allowed += 10 * toSeconds(it.Now - before);
    allowed += lent * std::max(0.0, toSeconds(std::min(it.Now, until) - before));
  }
  // The bucket holds 0.11 s of the highest rate.
  constexpr double burst = 3.3;
  ASSERT_GT(starts.size(), 400U) << "seed " << Seed;
  for (std::size_t i = 0; i < starts.size(); ++i)
    for (std::size_t j = i; j < starts.size(); ++j)
      ASSERT_LE(static_cast<double>(j - i + 1),
                starts[j].Allowed - starts[i].Allowed + burst + 1e-3)
          << "seed " << Seed << " starts " << i << " to " << j;
}

// Guards against a call that waits for the rate past its deadline, and a refusal without a time at
// which the call fits.
TEST(RateShaping, DeadlineShorterThanTheWaitIsRefusedAtArrival) {
  Fixture<> it(5, smallEntry());
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

// Guards against a wait that outlasts a loan being taken for overload of the upstreams.
TEST(RateShaping, CallsOfAnEndedLoanAreRateLimitedAtTheirDeadline) {
  Fixture<> it(5, smallEntry());
  it.arrive(CallClass::Idempotent);
  for (int n = 0; n < 3; ++n)
    it.arrive(CallClass::Idempotent, 350ms);
  it.Under.setLimitShare(0, -9, 0, it.Now + 2s, it.Now, it.Out);
  it.passTime(350ms);
  ASSERT_EQ(it.count<FailCall>(), 3);
  const Failure failure = it.take<FailCall>().Reason;
  EXPECT_EQ(failure.Kind, FailureKind::RateLimited);
  EXPECT_EQ(failure.Executed, Execution::NotRun);
  EXPECT_GT(failure.RetryAfter, 500ms);
}

// Guards against a call that left the queue using up the rate of one that waits behind it.
TEST(RateShaping, CallerThatLeavesTakesNoToken) {
  Fixture<> it(5, smallEntry());
  it.arrive(CallClass::Idempotent);
  const CallId gone = it.arrive(CallClass::Idempotent);
  const CallId next = it.arrive(CallClass::Idempotent);
  it.take<StartAttempt>();
  it.Under.callerLeft(gone, it.Now, it.Out);
  it.passTime(101ms);
  EXPECT_EQ(it.take<StartAttempt>().Call, next);
}

// Guards against calls without tokens holding up, or counting as overload against, those of other
// entries, and against a flow that catches up on the time in which it had no token.
TEST(RateShaping, FlowWithoutTokensDoesNotBlockAnother) {
  Fixture<> it(5, smallEntry());
  for (int n = 0; n < 5; ++n)
    it.arrive(CallClass::Idempotent);
  const CallId other = it.arrive(CallClass::NonIdempotent);
  it.take<StartAttempt>();
  EXPECT_EQ(it.take<StartAttempt>().Call, other);
  EXPECT_EQ(it.Under.state(it.Now).Entries[0].WaitingForRate, 4);
}

// Guards against a dispatcher that sleeps while a token comes.
TEST(RateShaping, WakesUpForTheNextToken) {
  auto catalogue = smallEntry();
  // No probe is due before the token.
  catalogue->Services[0].ProbeBudget = {0, 0, 10s};
  Fixture<> it(5, catalogue);
  it.arrive(CallClass::Idempotent);
  it.take<StartAttempt>();
  it.arrive(CallClass::Idempotent);
  ASSERT_TRUE(it.Under.nextWakeup());
  EXPECT_NEAR(toSeconds(*it.Under.nextWakeup() - it.Now), 0.09, 1e-6);
  it.passTime(*it.Under.nextWakeup() - it.Now);
  EXPECT_EQ(it.count<StartAttempt>(), 1);
}

// Guards against a retry that waits for, or uses up, a second token.
TEST(RateShaping, RetryTakesNoSecondToken) {
  Fixture<> it(5, smallEntry());
  // Calls of another entry fill the retry budget.
  for (int n = 0; n < 20; ++n)
    it.Under.callerLeft(it.send(CallClass::NonIdempotent).Call, it.Now, it.Out);
  const auto first = it.send(CallClass::Idempotent);
  const CallId waiting = it.arrive(CallClass::Idempotent);
  it.answer(first.Attempt, {503, true, false, Idle});
  EXPECT_EQ(it.take<StartAttempt>().Call, first.Call);
  it.passTime(101ms);
  EXPECT_EQ(it.take<StartAttempt>().Call, waiting);
}

// Guards against an entry with a queue too small to share that can't wait at all, and against more
// calls being held than the catalogue lets run and wait.
TEST(RateShaping, CallsWaitInRunningPlacesWithoutAQueue) {
  Fixture<> it(5, smallEntry(30, 0));
  for (int n = 0; n < 4; ++n)
    it.arrive(CallClass::Idempotent);
  ASSERT_EQ(it.count<FailCall>(), 1);
  EXPECT_EQ(it.take<FailCall>().Reason.Kind, FailureKind::RateLimited);
  it.take<StartAttempt>();
  const auto starts = startsUntil(it, it.Now + 250ms);
  EXPECT_EQ(starts.size(), 2U);
}
