#include "DispatcherFixture.h"

using namespace wigeonlift;
using namespace wigeonlift::test;

namespace {

constexpr ResponseHead Ok{200, false, false, std::nullopt};
constexpr ResponseHead Error{500, false, false, std::nullopt};
constexpr ResponseHead ErrorBelow{503, false, true, std::nullopt};
constexpr ResponseHead Refusal{503, true, false, std::nullopt};

/// Runs calls that take 10 ms each: fills the retry and the hedge budget and shows what is usual.
void warmUp(DispatcherFixture<> &it, int calls = 400) {
  for (int n = 0; n < calls; ++n) {
    const auto start = it.send(CallClass::Idempotent);
    it.Now += 10ms;
    it.answer(start.Attempt, {200, false, false, Idle});
    it.Dispatcher.responseFinished(start.Attempt, it.Now, it.Out);
    it.permitAll();
  }
  it.Out.clear();
}

} // namespace

// Guards against an idempotent call failing with its first upstream.
TEST(Retries, IdempotentCallIsRepeatedElsewhere) {
  DispatcherFixture<> it(3);
  warmUp(it);
  const auto first = it.send(CallClass::Idempotent);
  it.answer(first.Attempt, Error);
  EXPECT_NE(it.take<StartAttempt>().Upstream, first.Upstream);
}

// Guards against levels multiplying their attempts: a failure that a level below has already tried
// to repeat, a call without extra attempts and an empty budget all end the call.
TEST(Retries, NotRepeatedWithoutPermission) {
  DispatcherFixture<> it(3);
  const auto early = it.send(CallClass::Idempotent);
  it.answer(early.Attempt, Error);
  EXPECT_EQ(it.count<StartAttempt>(), 0);
  warmUp(it);
  const auto below = it.send(CallClass::Idempotent);
  it.answer(below.Attempt, ErrorBelow);
  const auto last = it.send(CallClass::Idempotent, 0);
  it.answer(last.Attempt, Error);
  EXPECT_EQ(it.count<StartAttempt>(), 0);
  EXPECT_EQ(it.count<RelayResponse>(), 2);
}

// Guards against a non-idempotent call being repeated without need, or not when it is safe.
TEST(Retries, NonIdempotentIsRepeatedOnlyAfterARefusal) {
  DispatcherFixture<> it(4);
  warmUp(it);
  const auto first = it.send(CallClass::NonIdempotent);
  it.answer(first.Attempt, Refusal);
  const auto second = it.take<StartAttempt>();
  EXPECT_TRUE(it.Dispatcher.mayWrite(second.Attempt, it.Now, it.Out));
  it.answer(second.Attempt, Error);
  EXPECT_EQ(it.count<StartAttempt>(), 0);
  EXPECT_EQ(it.take<RelayResponse>().Executed, Execution::Unknown);
}

// Guards against a caller being told unknown although every upstream refused the call.
TEST(Retries, RefusedEverywhereIsNotRun) {
  DispatcherFixture<> it(2);
  const auto start = it.send(CallClass::NonIdempotent);
  it.answer(start.Attempt, Refusal);
  const Failure failure = it.take<FailCall>().Reason;
  EXPECT_EQ(failure.Kind, FailureKind::UpstreamRefused);
  EXPECT_EQ(failure.Executed, Execution::NotRun);
}

// Guards against an export being given up, or repeated as a whole, when its body breaks off.
TEST(Retries, BrokenExportIsResumed) {
  DispatcherFixture<> it(3);
  warmUp(it);
  const auto first = it.send(CallClass::Export);
  it.answer(first.Attempt, Ok);
  it.Dispatcher.attemptFailed(first.Attempt, FailureStage::AfterResponse, it.Now, it.Out);
  const auto second = it.take<StartAttempt>();
  EXPECT_TRUE(second.IsResume);
  EXPECT_NE(second.Upstream, first.Upstream);
}

// Guards against a broken export that waits for ever for an upstream to resume from.
TEST(Retries, ExportThatCannotBeResumedEndsAtItsDeadline) {
  DispatcherFixture<> it(2);
  warmUp(it);
  const auto start = it.send(CallClass::Export);
  it.answer(start.Attempt, Ok);
  it.take<RelayResponse>();
  for (std::uint32_t n = 0; n < 2; ++n)
    it.Dispatcher.peerEvidence({UpstreamIndex{n}, it.Now, DrainingReport}, it.Now, it.Out);
  it.Dispatcher.attemptFailed(start.Attempt, FailureStage::AfterResponse, it.Now, it.Out);
  EXPECT_EQ(it.count<StartAttempt>() + it.count<FailCall>(), 0);
  it.passTime(2s);
  EXPECT_EQ(it.take<FailCall>().Reason.Executed, Execution::Unknown);
}

// Guards against a hedge without a cancelled loser, and against a late answer of the loser being
// relayed to the caller.
TEST(Hedges, WinnerIsRelayedAndLoserCancelled) {
  DispatcherFixture<> it(3);
  warmUp(it);
  const auto first = it.send(CallClass::Idempotent);
  it.passTime(20ms);
  const auto hedge = it.take<StartAttempt>();
  EXPECT_NE(hedge.Upstream, first.Upstream);
  EXPECT_TRUE(it.Dispatcher.mayWrite(hedge.Attempt, it.Now, it.Out));
  it.answer(hedge.Attempt, Ok);
  EXPECT_EQ(it.take<RelayResponse>().Attempt, hedge.Attempt);
  EXPECT_EQ(it.take<CancelAttempt>().Attempt, first.Attempt);
  it.answer(first.Attempt, Ok);
  EXPECT_EQ(it.count<RelayResponse>(), 0);
}

// Guards against a second effect, and against hedges that add load when nothing is idle.
TEST(Hedges, OnlyIdempotentCallsAndIdleUpstreams) {
  DispatcherFixture<> it(2);
  warmUp(it);
  it.send(CallClass::NonIdempotent);
  it.passTime(100ms);
  EXPECT_EQ(it.count<StartAttempt>(), 0);
  it.permitAll();
  for (int n = 0; n < 8; ++n)
    it.send(CallClass::Idempotent);
  it.passTime(100ms);
  EXPECT_EQ(it.count<StartAttempt>(), 0);
}
