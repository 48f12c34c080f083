#include "DispatcherFixture.h"

using namespace wigeonlift;
using namespace wigeonlift::test;

namespace {

constexpr ResponseHead Ok{200, false, false, std::nullopt};
constexpr ResponseHead Error{500, false, false, std::nullopt};
constexpr ResponseHead DependencyError{503, false, true, std::nullopt};
constexpr ResponseHead Refusal{503, true, false, std::nullopt};

/// Runs calls of 10 ms each, which fill the retry and hedge budgets and set the typical latency.
void warmUp(DispatcherFixture<> &it, int calls = 400) {
  for (int n = 0; n < calls; ++n) {
    const auto start = it.send(CallClass::Idempotent);
    it.Now += 10ms;
    it.answer(start.Attempt, {200, false, false, IdleReport});
    it.Dispatcher.responseFinished(start.Attempt, it.Now, it.Out);
    it.permitAll();
  }
  it.Out.clear();
}

} // namespace

// Guards against an idempotent call not being retried at another upstream when the first one fails.
TEST(Retries, IdempotentCallIsRepeatedElsewhere) {
  DispatcherFixture<> it(3);
  warmUp(it);
  const auto first = it.send(CallClass::Idempotent);
  it.answer(first.Attempt, Error);
  EXPECT_NE(it.take<StartAttempt>().Upstream, first.Upstream);
}

// Guards against retries multiplying across levels. A call is not retried when the upstream reports
// the failure of a dependency, when the call has no extra attempts, or when the retry budget is
// empty.
TEST(Retries, RetryLimitsEndTheCall) {
  DispatcherFixture<> it(3);
  const auto early = it.send(CallClass::Idempotent);
  it.answer(early.Attempt, Error);
  EXPECT_EQ(it.count<StartAttempt>(), 0);
  warmUp(it);
  const auto dependencyFailed = it.send(CallClass::Idempotent);
  it.answer(dependencyFailed.Attempt, DependencyError);
  const auto withoutExtraAttempts = it.send(CallClass::Idempotent, 0);
  it.answer(withoutExtraAttempts.Attempt, Error);
  EXPECT_EQ(it.count<StartAttempt>(), 0);
  EXPECT_EQ(it.count<RelayResponse>(), 2);
}

// Guards against a non-idempotent call being retried after a server error, or not being retried
// after a refusal, which makes a retry safe.
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

// Guards against a failure with Execution::Unknown although every attempt of the call was refused.
TEST(Retries, RefusedEverywhereIsNotRun) {
  DispatcherFixture<> it(2);
  const auto start = it.send(CallClass::NonIdempotent);
  it.answer(start.Attempt, Refusal);
  const Failure failure = it.take<FailCall>().Reason;
  EXPECT_EQ(failure.Kind, FailureKind::UpstreamRefused);
  EXPECT_EQ(failure.Executed, Execution::NotRun);
}

// Guards against an export failing, or restarting from the beginning, when its body is cut off.
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

// Guards against an interrupted export waiting without limit for an upstream to resume from.
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

// Guards against the slower attempt of a hedged call not being cancelled, and against its late
// response being relayed to the caller.
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

// Guards against a hedge making a non-idempotent call take effect twice, and against hedges adding
// load when no upstream is idle.
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
