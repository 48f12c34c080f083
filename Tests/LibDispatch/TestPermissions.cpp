#include "DispatcherFixture.h"

using namespace wigeonlift;
using namespace wigeonlift::test;

namespace {

/// Lets the permissions of the fixture end.
void expirePermissions(DispatcherFixture<> &it) { it.passTime(2500ms); }

} // namespace

// Guards against a call being sent, or refused at once, while no upstream is known to take work.
TEST(Permissions, HoldsTheCallProbesAndRefusesAtTheDeadline) {
  DispatcherFixture<> it(2);
  expirePermissions(it);
  it.arrive(CallClass::Idempotent, 20s);
  EXPECT_EQ(it.count<StartAttempt>(), 0);
  it.passTime(10s);
  const auto probe = it.take<StartProbe>();
  ASSERT_TRUE(it.Dispatcher.mayWriteProbe(probe.Probe, it.Now));
  it.Dispatcher.didWriteProbe(probe.Probe, it.Now);
  it.Dispatcher.probeFailed(probe.Probe, it.Now, it.Out);
  it.passTime(11s);
  const Failure failure = it.take<FailCall>().Reason;
  EXPECT_EQ(failure.Kind, FailureKind::NoUpstream);
  EXPECT_EQ(failure.Executed, Execution::NotRun);
  EXPECT_GT(failure.RetryAfter, Duration::zero());
}

// Guards against an answered probe not releasing the held calls.
TEST(Permissions, ProbeAnswerReleasesHeldCalls) {
  DispatcherFixture<> it(1);
  expirePermissions(it);
  it.arrive(CallClass::NonIdempotent, 20s);
  it.passTime(10s);
  const auto probe = it.take<StartProbe>();
  ASSERT_TRUE(it.Dispatcher.mayWriteProbe(probe.Probe, it.Now));
  it.Dispatcher.didWriteProbe(probe.Probe, it.Now);
  it.Dispatcher.probeAnswered(probe.Probe, Idle, it.Now, it.Out);
  EXPECT_EQ(it.take<StartAttempt>().Upstream, probe.Upstream);
}

// Guards against a late answer to a probe, or evidence with a wrong time, lengthening a permission.
TEST(Permissions, LastsFromWhenTheProbeWasSent) {
  DispatcherFixture<> it(1);
  it.passTime(10s);
  const auto probe = it.take<StartProbe>();
  ASSERT_TRUE(it.Dispatcher.mayWriteProbe(probe.Probe, it.Now));
  it.Dispatcher.didWriteProbe(probe.Probe, it.Now);
  it.Now += 900ms;
  it.Dispatcher.probeAnswered(probe.Probe, Idle, it.Now, it.Out);
  it.Dispatcher.peerEvidence({probe.Upstream, it.Now + 1h, Idle}, it.Now, it.Out);
  EXPECT_EQ(it.Dispatcher.state(it.Now).Upstreams[0].PermissionLeft, 1600ms);
}

// Guards against work for an upstream that has said that it drains, and against the drain being
// undone by a reply to a request that was sent before.
TEST(Permissions, DrainEndsThePermissionAtOnce) {
  DispatcherFixture<> it(1);
  const auto early = it.send(CallClass::Idempotent);
  const auto start = it.send(CallClass::Idempotent);
  it.Now += 5ms;
  it.answer(start.Attempt, {200, false, false, DrainingReport});
  it.take<AnnounceUpstreamDrain>();
  it.Now += 5ms;
  it.answer(early.Attempt, {200, false, false, Idle});
  it.arrive(CallClass::Idempotent);
  EXPECT_EQ(it.count<StartAttempt>(), 0);
  ASSERT_FALSE(it.Dispatcher.freshEvidence(it.Now).empty());
  EXPECT_EQ(it.Dispatcher.freshEvidence(it.Now)[0].Load.State, UpstreamState::Draining);
}

// Guards against a rumour of a drain, or the list, being ignored between the choice and the write.
TEST(Permissions, RumourAndListStopTheWrite) {
  for (const bool isRumour : {true, false}) {
    DispatcherFixture<> it(1);
    it.arrive(CallClass::Idempotent);
    const auto start = it.take<StartAttempt>();
    auto listed = makeUpstreams(1);
    listed[0].IsLeaving = true;
    if (isRumour)
      it.Dispatcher.peerEvidence({UpstreamIndex{0}, it.Now, DrainingReport}, it.Now, it.Out);
    else
      it.Dispatcher.setUpstreams(listed, it.Now, it.Out);
    it.take<AnnounceUpstreamDrain>();
    EXPECT_FALSE(it.Dispatcher.mayWrite(start.Attempt, it.Now, it.Out));
  }
}

// Guards against a process that slept acting on what it knew before.
TEST(Permissions, PauseDropsPermissions) {
  DispatcherFixture<> it(1);
  it.arrive(CallClass::Idempotent);
  const auto start = it.take<StartAttempt>();
  it.Now += 1ms;
  it.Dispatcher.didPause(it.Now, it.Out);
  EXPECT_FALSE(it.Dispatcher.mayWrite(start.Attempt, it.Now, it.Out));
  it.permitAll();
  EXPECT_EQ(it.count<StartAttempt>(), 0);
  it.Now += 1ms;
  it.permitAll();
  EXPECT_EQ(it.count<StartAttempt>(), 1);
}

// Guards against a wake-up time in the past, with which the shell would spin.
TEST(Permissions, NextWakeupLiesAhead) {
  DispatcherFixture<> it(2);
  for (int n = 0; n < 100; ++n) {
    it.passTime(137ms);
    ASSERT_TRUE(it.Dispatcher.nextWakeup());
    EXPECT_GT(*it.Dispatcher.nextWakeup(), it.Now);
  }
}
