#include "DispatcherFixture.h"

using namespace wigeonlift;
using namespace wigeonlift::test;

// Guards against a call staying in the table after its response was relayed, and against an attempt
// being written twice.
TEST(Attempts, RelaysOneResponse) {
  DispatcherFixture<> it(2);
  const auto start = it.send(CallClass::Idempotent);
  it.answer(start.Attempt, {200, false, false, IdleReport});
  EXPECT_EQ(it.take<RelayResponse>().Executed, Execution::Run);
  EXPECT_FALSE(it.Dispatcher.mayWrite(start.Attempt, it.Now, it.Out));
  it.Dispatcher.responseFinished(start.Attempt, it.Now, it.Out);
  EXPECT_EQ(it.Dispatcher.state(it.Now).Calls, 0);
}

// Guards against a non-idempotent call taking effect twice, when it is retried after its connection
// was lost after the write.
TEST(Attempts, NonIdempotentIsNotRepeatedAfterWrite) {
  for (const FailureStage stage : {FailureStage::BeforeWrite, FailureStage::AfterWrite}) {
    DispatcherFixture<> it(3);
    const auto start = it.send(CallClass::NonIdempotent);
    it.Dispatcher.attemptFailed(start.Attempt, stage, it.Now, it.Out);
    EXPECT_EQ(it.count<StartAttempt>(), 0);
    EXPECT_EQ(it.take<FailCall>().Reason.Executed, Execution::Unknown);
  }
}

// Guards against a non-idempotent call failing although no byte of it was sent.
TEST(Attempts, NonIdempotentIsRepeatedWhenNothingWasSent) {
  DispatcherFixture<> it(3);
  it.arrive(CallClass::NonIdempotent);
  const auto start = it.take<StartAttempt>();
  EXPECT_TRUE(start.NeedsProvenConnection);
  it.Dispatcher.attemptFailed(start.Attempt, FailureStage::BeforeWrite, it.Now, it.Out);
  EXPECT_NE(it.take<StartAttempt>().Upstream, start.Upstream);
}

// Guards against a call being sent after the permission of the chosen upstream has expired, when
// the process paused between the choice and the write.
TEST(Attempts, MayWriteComparesPermissionWithThePresent) {
  DispatcherFixture<> it(1);
  it.arrive(CallClass::Idempotent, 10s);
  const auto start = it.take<StartAttempt>();
  it.Now += 2500ms;
  EXPECT_FALSE(it.Dispatcher.mayWrite(start.Attempt, it.Now, it.Out));
  it.passTime(8s);
  const auto failed = it.take<FailCall>();
  EXPECT_EQ(failed.Reason.Executed, Execution::NotRun);
  EXPECT_EQ(failed.Reason.Kind, FailureKind::NoUpstream);
}

// Guards against a call being sent after its deadline, when the process paused between the choice
// and the write.
TEST(Attempts, MayWriteComparesTheDeadlineWithThePresent) {
  DispatcherFixture<> it(1);
  it.arrive(CallClass::NonIdempotent, 100ms);
  const auto start = it.take<StartAttempt>();
  it.Now += 100ms;
  EXPECT_FALSE(it.Dispatcher.mayWrite(start.Attempt, it.Now, it.Out));
  EXPECT_EQ(it.take<FailCall>().Reason.Executed, Execution::NotRun);
}

// Guards against a failure with Execution::NotRun for a call of which an attempt may have run.
TEST(Attempts, DeadlineAfterWriteIsUnknown) {
  DispatcherFixture<> it(1);
  it.send(CallClass::Idempotent);
  it.passTime(3s);
  EXPECT_EQ(it.count<CancelAttempt>(), 1);
  EXPECT_EQ(it.take<FailCall>().Reason.Executed, Execution::Unknown);
}
