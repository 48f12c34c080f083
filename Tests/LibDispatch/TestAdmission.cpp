#include "DispatcherFixture.h"

using namespace wigeonlift;
using namespace wigeonlift::test;

namespace {

std::shared_ptr<Catalogue> catalogueWith(const EntryLimits &limits, int vms) {
  auto catalogue = makeCatalogue(vms);
  for (EntrySpec &it : catalogue->Entries)
    it.Limits = limits;
  return catalogue;
}

} // namespace

// Guards against more calls running than this VM's share of the in-flight limit, including when
// part of the share is leased to other VMs.
TEST(Admission, InFlightLimitQueuesAndThenRefuses) {
  DispatcherFixture<> it(5, catalogueWith({10'000, 4, 4, 2s}, 2));
  it.Dispatcher.setLimitShare(0, 0, -1, it.Now + 10s, it.Now, it.Out);
  for (int n = 0; n < 4; ++n)
    it.arrive(CallClass::Idempotent);
  EXPECT_EQ(it.count<StartAttempt>(), 1);
  EXPECT_EQ(it.take<FailCall>().Reason.Kind, FailureKind::QueueFull);
  EXPECT_EQ(it.Dispatcher.state(it.Now).Entries[0].Queued, 2);
}

// Guards against a queued call being sent after its caller left, and against a running call of such
// a caller keeping its in-flight slot.
TEST(Admission, CallOfACallerThatLeftIsRemoved) {
  DispatcherFixture<> it(5, catalogueWith({10'000, 1, 10, 2s}, 1));
  const auto first = it.send(CallClass::Idempotent);
  const CallId cancelled = it.arrive(CallClass::Idempotent);
  const CallId nextCall = it.arrive(CallClass::Idempotent);
  it.Dispatcher.callerLeft(cancelled, it.Now, it.Out);
  it.Dispatcher.callerLeft(first.Call, it.Now, it.Out);
  EXPECT_EQ(it.take<CancelAttempt>().Attempt, first.Attempt);
  EXPECT_EQ(it.take<StartAttempt>().Call, nextCall);
}

// Guards against the backlog of one owner delaying the calls of another.
TEST(Admission, OwnersShareFairly) {
  auto catalogue = makeCatalogue();
  catalogue->Services[0].ConnectionsPerUpstream = 1;
  catalogue->Entries[1].Owner = "other";
  DispatcherFixture<> it(1, catalogue);
  const auto running = it.send(CallClass::Idempotent);
  for (int n = 0; n < 20; ++n)
    it.arrive(CallClass::Idempotent);
  const CallId otherCall = it.arrive(CallClass::NonIdempotent);
  it.answer(running.Attempt, {200, false, false, IdleReport});
  it.Dispatcher.responseFinished(running.Attempt, it.Now, it.Out);
  const auto second = it.take<StartAttempt>();
  EXPECT_TRUE(it.Dispatcher.mayWrite(second.Attempt, it.Now, it.Out));
  it.answer(second.Attempt, {200, false, false, IdleReport});
  it.Dispatcher.responseFinished(second.Attempt, it.Now, it.Out);
  EXPECT_TRUE(second.Call == otherCall || it.take<StartAttempt>().Call == otherCall);
}

// Guards against exports taking all slots, so that lookups wait for seconds.
TEST(Admission, ExportsLeaveSlotsToLookups) {
  DispatcherFixture<> it(4);
  for (int n = 0; n < 20; ++n)
    it.arrive(CallClass::Export);
  EXPECT_EQ(it.count<StartAttempt>(), 6);
  it.arrive(CallClass::Idempotent);
  EXPECT_EQ(it.count<StartAttempt>(), 7);
}

// Guards against a call being queued although the expected wait exceeds its deadline.
TEST(Admission, RefusesEarlyWhenTheDeadlineCannotBeMet) {
  DispatcherFixture<> it(1, catalogueWith({10'000, 1, 100, 10s}, 1));
  auto running = it.send(CallClass::Idempotent);
  for (int n = 0; n < 10; ++n)
    it.arrive(CallClass::Idempotent, 10s);
  for (int n = 0; n < 5; ++n) {
    it.Now += 100ms;
    it.answer(running.Attempt, {200, false, false, IdleReport});
    it.Dispatcher.responseFinished(running.Attempt, it.Now, it.Out);
    running = it.take<StartAttempt>();
    EXPECT_TRUE(it.Dispatcher.mayWrite(running.Attempt, it.Now, it.Out));
  }
  it.arrive(CallClass::Idempotent, 20ms);
  const Failure failure = it.take<FailCall>().Reason;
  EXPECT_EQ(failure.Kind, FailureKind::Overloaded);
  EXPECT_EQ(failure.Executed, Execution::NotRun);
  EXPECT_GT(failure.RetryAfter, 20ms);
}
