#include "DispatcherFixture.h"

using namespace wigeonlift;
using namespace wigeonlift::test;

namespace {

/// Advances the time until the fixture's permissions have expired.
void expirePermissions(DispatcherFixture<> &it) { it.passTime(2500ms); }

} // namespace

// Guards against a call being sent, or refused immediately, while no upstream is permitted.
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

// Guards against queued calls not being sent when the answer to a probe renews a permission.
TEST(Permissions, ProbeAnswerReleasesHeldCalls) {
  DispatcherFixture<> it(1);
  expirePermissions(it);
  it.arrive(CallClass::NonIdempotent, 20s);
  it.passTime(10s);
  const auto probe = it.take<StartProbe>();
  ASSERT_TRUE(it.Dispatcher.mayWriteProbe(probe.Probe, it.Now));
  it.Dispatcher.didWriteProbe(probe.Probe, it.Now);
  it.Dispatcher.probeAnswered(probe.Probe, IdleReport, it.Now, it.Out);
  EXPECT_EQ(it.take<StartAttempt>().Upstream, probe.Upstream);
}

// Guards against a permission being extended by a late answer to a probe, or by evidence with a
// time in the future.
TEST(Permissions, LastsFromWhenTheProbeWasSent) {
  DispatcherFixture<> it(1);
  it.passTime(10s);
  const auto probe = it.take<StartProbe>();
  ASSERT_TRUE(it.Dispatcher.mayWriteProbe(probe.Probe, it.Now));
  it.Dispatcher.didWriteProbe(probe.Probe, it.Now);
  it.Now += 900ms;
  it.Dispatcher.probeAnswered(probe.Probe, IdleReport, it.Now, it.Out);
  it.Dispatcher.peerEvidence({probe.Upstream, it.Now + 1h, IdleReport}, it.Now, it.Out);
  EXPECT_EQ(it.Dispatcher.state(it.Now).Upstreams[0].PermissionLeft, 1600ms);
}

// Guards against work being sent to an upstream that has reported draining, and against a response
// to a request that was sent earlier renewing the permission.
TEST(Permissions, DrainEndsThePermissionAtOnce) {
  DispatcherFixture<> it(1);
  const auto early = it.send(CallClass::Idempotent);
  const auto start = it.send(CallClass::Idempotent);
  it.Now += 5ms;
  it.answer(start.Attempt, {200, false, false, DrainingReport});
  it.take<AnnounceUpstreamDrain>();
  it.Now += 5ms;
  it.answer(early.Attempt, {200, false, false, IdleReport});
  it.arrive(CallClass::Idempotent);
  EXPECT_EQ(it.count<StartAttempt>(), 0);
  ASSERT_FALSE(it.Dispatcher.freshEvidence(it.Now).empty());
  EXPECT_EQ(it.Dispatcher.freshEvidence(it.Now)[0].Load.State, UpstreamState::Draining);
}

// Guards against a drain that a peer or the list reports between the choice and the write being
// ignored.
TEST(Permissions, PeerEvidenceAndListPreventTheWrite) {
  for (const bool isPeerEvidence : {true, false}) {
    DispatcherFixture<> it(1);
    it.arrive(CallClass::Idempotent);
    const auto start = it.take<StartAttempt>();
    auto leavingUpstreams = makeUpstreams(1);
    leavingUpstreams[0].IsLeaving = true;
    if (isPeerEvidence)
      it.Dispatcher.peerEvidence({UpstreamIndex{0}, it.Now, DrainingReport}, it.Now, it.Out);
    else
      it.Dispatcher.setUpstreams(leavingUpstreams, it.Now, it.Out);
    it.take<AnnounceUpstreamDrain>();
    EXPECT_FALSE(it.Dispatcher.mayWrite(start.Attempt, it.Now, it.Out));
  }
}

// Guards against evidence from before a pause of the process being used after it.
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

// Guards against a wake-up time in the past, with which the I/O layer would spin.
TEST(Permissions, NextWakeupLiesAhead) {
  DispatcherFixture<> it(2);
  for (int n = 0; n < 100; ++n) {
    it.passTime(137ms);
    ASSERT_TRUE(it.Dispatcher.nextWakeup());
    EXPECT_GT(*it.Dispatcher.nextWakeup(), it.Now);
  }
}
