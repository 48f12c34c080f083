#include <Tests/LibBalance/Harness.h>

namespace wigeonlift {

// Noisy neighbours slow down some upstreams. Guards against sending requests to an upstream that is
// currently slow while others are fast.
TEST(Choice, AvoidsUpstreamsThatReportSlowness) {
  Harness it{8};
  it.learnWorkTime();
  for (int n = 0; n < 6; ++n)
    it.Loads[Harness::index(n)].SlownessPercent = 400;
  int sentToFast = 0;
  for (int n = 0; n < 20; ++n) {
    it.advance(std::chrono::milliseconds{50});
    const CallId id = it.arrive();
    it.advance(std::chrono::milliseconds{30});
    sentToFast += it.firstSendOf(id).Upstream.Value >= 6 ? 1 : 0;
    it.respond(it.firstSendOf(id), ResponseKind::Success);
  }
  EXPECT_GE(sentToFast, 18);
}

// Full upstreams stop responding. Guards against sending requests to upstreams whose slots are
// all used by other VMs.
TEST(Choice, QueuesRequestsWhileAllUpstreamsAreFull) {
  Harness it{4};
  it.learnWorkTime();
  it.fillUpstreams();
  const CallId id = it.arrive();
  it.advance(std::chrono::milliseconds{60});
  EXPECT_TRUE(it.sendsOf(id).empty());
  it.Loads[Harness::index(2)].InFlight = 0;
  it.advance(std::chrono::milliseconds{60});
  ASSERT_EQ(it.sendsOf(id).size(), 1U);
  EXPECT_EQ(it.firstSendOf(id).Upstream, Harness::index(2));
}

// Nearly full upstreams slow down. Guards against using the last slot of one upstream while another
// one has more free slots.
TEST(Choice, LeavesTheLastSlotFreeWhileOthersHaveFreeSlots) {
  Harness it{3};
  it.learnWorkTime();
  it.Loads[Harness::index(0)].InFlight = 2;
  it.Loads[Harness::index(1)].InFlight = 2;
  for (int n = 0; n < 2; ++n)
    EXPECT_EQ(it.firstSendOf(it.arrive()).Upstream, Harness::index(2));
}

// Overload of upstreams with few slots. Guards against refusing requests that could finish on time
// in the last slot, where using it lets the upstream finish more requests per second than leaving
// it free, and against using it where it does not.
TEST(Choice, UsesTheLastSlotInOverloadWhereThatAddsThroughput) {
  for (const int slots : {2, 3}) {
    Harness it{4};
    it.learnWorkTime();
    for (auto &[index, load] : it.Loads)
      load = {.InFlight = slots - 1, .Slots = slots};
    it.advance(std::chrono::milliseconds{50});
    const CallId id = it.arrive();
    it.advance(std::chrono::milliseconds{40});
    EXPECT_EQ(it.sendsOf(id).size(), slots == 2 ? 1U : 0U) << slots;
  }
}

// The return of a whole fleet: callers have waited for longer than their objective, and no VM has
// seen how long work takes. Guards against refusing them while upstreams have room.
TEST(Choice, SendsRequestsOfCallersWhoWaitedWhileNoWorkTimeIsKnown) {
  Harness it{8};
  for (const int waitedMs : {270, 700, 2000}) {
    RequestSpec spec = it.spec();
    spec.Objective -= std::chrono::milliseconds{waitedMs};
    spec.Deadline = it.Now + std::chrono::seconds{2};
    const CallId id = it.arrive(spec);
    it.advance(std::chrono::milliseconds{20});
    EXPECT_EQ(it.sendsOf(id).size(), 1U) << waitedMs;
  }
}

// Traffic between data centres is expensive. Guards against using an upstream in another data
// centre while a local one is as good.
TEST(Choice, PrefersLocalUpstreams) {
  Harness it{9, 3};
  it.learnWorkTime();
  for (int n = 0; n < 12; ++n) {
    it.advance(std::chrono::milliseconds{200});
    const CallId id = it.arrive();
    EXPECT_LT(it.firstSendOf(id).Upstream.Value, 3U);
    it.advance(WorkTime);
    it.respond(it.firstSendOf(id), ResponseKind::Success);
  }
}

// Guards against using slow local upstreams while an upstream in another data centre is fast.
TEST(Choice, UsesOtherDataCentresWhenLocalUpstreamsAreSlow) {
  Harness it{6, 2};
  it.learnWorkTime();
  it.Loads[Harness::index(0)].SlownessPercent = 400;
  it.Loads[Harness::index(1)].SlownessPercent = 400;
  const CallId id = it.arrive();
  it.advance(std::chrono::milliseconds{40});
  EXPECT_GE(it.firstSendOf(id).Upstream.Value, 2U);
}

// A burst fills the queue. Guards against separate probes for each queued request: with those, each
// VM sent 3,000 probes in 5 s in the scenario obiyama scale-1.
TEST(Choice, QueuedRequestsShareProbes) {
  Harness it{14};
  it.learnWorkTime();
  it.fillUpstreams();
  for (int n = 0; n < 20; ++n)
    it.arrive();
  it.Probes = 0;
  it.advance(std::chrono::milliseconds{160});
  EXPECT_LE(it.Probes, 60);
}

// A burst contains urgent requests. Guards against urgent requests that wait behind others, and
// against requests that can still be on time behind ones that can't.
TEST(Choice, PlacesUrgentAndTimelyRequestsFirst) {
  Harness it{2};
  it.learnWorkTime();
  it.fillUpstreams();
  RequestSpec late = it.spec();
  late.Objective = it.Now + std::chrono::milliseconds{20};
  late.Priority = 0;
  it.arrive(late);
  RequestSpec lessUrgent = it.spec();
  lessUrgent.Priority = 2;
  it.arrive(lessUrgent);
  RequestSpec urgent = it.spec();
  urgent.Priority = 1;
  it.arrive(urgent);
  it.advance(std::chrono::milliseconds{30});
  it.Loads[Harness::index(0)].InFlight = 0;
  it.advance(std::chrono::milliseconds{40});
  ASSERT_GE(it.Sent.size(), 2U);
  EXPECT_EQ(it.Sent[0].Call, urgent.Id);
  EXPECT_EQ(it.Sent[1].Call, lessUrgent.Id);
}

// All upstreams are full. Guards against requests that stay queued until their deadline although
// the remaining time is too short to run them.
TEST(Choice, RefusesRequestsThatCannotMeetTheirDeadline) {
  Harness it{2};
  it.learnWorkTime();
  it.fillUpstreams();
  const RequestSpec spec = it.spec();
  const CallId id = it.arrive(spec);
  it.advance(spec.Deadline - it.Now - std::chrono::milliseconds{60});
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Executed, Execution::NotRun);
  EXPECT_GT(it.Refused[id].RetryAfter, Duration::zero());
}

// The service is overloaded for a long time. Guards against refusing requests so late that their
// callers can't retry: this cost 5% of the score in the scenario kapokki-gw-grown scale-1.
TEST(Choice, RefusesEarlyEnoughForTheCallerToRetry) {
  Harness it{2};
  it.learnWorkTime();
  it.fillUpstreams();
  RequestSpec spec = it.spec();
  spec.Deadline = it.Now + std::chrono::seconds{5};
  const CallId id = it.arrive(spec);
  const TimePoint half = it.Now + (spec.Deadline - it.Now) / 2;
  while (!it.Refused.contains(id) && it.Now < half)
    it.advance(std::chrono::milliseconds{10});
  ASSERT_TRUE(it.Refused.contains(id));
  // Callers wait for at most a third of their remaining time before they retry.
  EXPECT_LE(it.Refused[id].RetryAfter, (spec.Deadline - it.Now) / 3);
}

// A short burst fills all upstreams. Guards against refusing requests that can still meet their
// objective.
TEST(Choice, KeepsTimelyRequestsQueued) {
  Harness it{2};
  it.learnWorkTime();
  it.fillUpstreams();
  const RequestSpec spec = it.spec();
  const CallId id = it.arrive(spec);
  it.advance(spec.Objective - it.Now - WorkTime - std::chrono::milliseconds{40});
  EXPECT_FALSE(it.Refused.contains(id));
  for (auto &[index, load] : it.Loads)
    load.InFlight = 0;
  it.advance(std::chrono::milliseconds{40});
  EXPECT_EQ(it.sendsOf(id).size(), 1U);
}

// The service is overloaded for a long time. Guards against leaving a free upstream unused because
// a full one, which is not eligible, has a lower cost.
TEST(Choice, FullUpstreamsDoNotHideAFreeOne) {
  Harness it{6};
  it.learnWorkTime();
  it.fillUpstreams();
  it.Loads[Harness::index(2)] = LoadReport{.Slots = 3, .SlownessPercent = 250};
  RequestSpec spec = it.spec();
  spec.Objective = it.Now + 3 * WorkTime;
  const CallId id = it.arrive(spec);
  it.advance(std::chrono::milliseconds{50});
  ASSERT_EQ(it.sendsOf(id).size(), 1U);
  EXPECT_EQ(it.firstSendOf(id).Upstream, Harness::index(2));
}

// The service is overloaded for a long time. Guards against late requests that occupy the slots of
// slow upstreams, where each blocks several requests that could be on time.
TEST(Choice, LateRequestsAreNotPlacedOnSlowUpstreams) {
  Harness it{8};
  it.learnWorkTime();
  it.fillUpstreams();
  it.Loads[Harness::index(2)] = LoadReport{.Slots = 3, .SlownessPercent = 400};
  RequestSpec spec = it.spec();
  spec.Objective = it.Now;
  spec.Deadline = it.Now + std::chrono::seconds{5};
  const CallId id = it.arrive(spec);
  it.advance(std::chrono::milliseconds{300});
  EXPECT_TRUE(it.sendsOf(id).empty());
}

// All upstreams of a service are slow. Guards against refusing requests while the upstreams are
// idle.
TEST(Choice, LateRequestsArePlacedWhenAllUpstreamsAreSlow) {
  Harness it{8};
  it.learnWorkTime();
  for (auto &[index, load] : it.Loads)
    load.SlownessPercent = 500;
  constexpr int requests = 60;
  int served = 0;
  for (int n = 0; n < requests; ++n) {
    RequestSpec spec = it.spec();
    spec.Deadline = it.Now + std::chrono::seconds{5};
    const CallId id = it.arrive(spec);
    it.advance(std::chrono::milliseconds{900});
    if (it.sendsOf(id).empty())
      continue;
    ++served;
    it.respond(it.firstSendOf(id), ResponseKind::Success);
  }
  EXPECT_GE(served, requests / 2);
}

// All upstreams shed half of their requests. Guards against ejecting all upstreams of a service
// when they fail equally often.
TEST(Choice, UpstreamsThatFailEquallyOftenStayInUse) {
  Harness it{6};
  it.learnWorkTime();
  int notSent = 0;
  for (int n = 0; n < 200; ++n) {
    it.advance(std::chrono::milliseconds{20});
    const CallId id = it.arrive();
    it.advance(std::chrono::milliseconds{10});
    notSent += it.sendsOf(id).empty() ? 1 : 0;
    for (std::size_t k = 0; k < it.sendsOf(id).size(); ++k)
      it.respond(it.sendsOf(id)[k],
                 (n + k) % 2 == 0 ? ResponseKind::NotRun : ResponseKind::Success);
  }
  EXPECT_LE(notSent, 4);
}

// Guards against queueing requests of a service that has no upstreams.
TEST(Choice, RefusesImmediatelyWithoutUpstreams) {
  Harness it{0};
  const CallId id = it.arrive();
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Kind, FailureKind::NoUpstream);
}

// Some upstreams do not respond to probes. Guards against requests that wait for an unresponsive
// upstream while others respond.
TEST(Choice, UnresponsiveUpstreamsDoNotDelayRequests) {
  Harness it{6};
  it.learnWorkTime();
  it.UnresponsiveUpstreams = {Harness::index(0), Harness::index(1), Harness::index(2)};
  const CallId id = it.arrive();
  it.advance(std::chrono::milliseconds{40});
  ASSERT_EQ(it.sendsOf(id).size(), 1U);
  EXPECT_GE(it.firstSendOf(id).Upstream.Value, 3U);
}

// Upstreams that hold several large bodies may run out of memory. Guards against sending one a
// second body before it has read the first, and against keeping other requests from it.
TEST(Choice, UpstreamsReadOneLargeBodyAtATime) {
  Harness it{1};
  it.learnWorkTime();
  RequestSpec large = it.spec(CallClass::NonIdempotent);
  large.BodyBytes = RequestSpec::MaxSmallBodyBytes + 1;
  ASSERT_EQ(it.sendsOf(it.arrive(large)).size(), 1U);
  large.Id = CallId{1001};
  const CallId waiting = it.arrive(large);
  EXPECT_TRUE(it.sendsOf(waiting).empty());
  RequestSpec small = it.spec(CallClass::NonIdempotent);
  small.BodyBytes = RequestSpec::MaxSmallBodyBytes;
  const CallId other = it.arrive(small);
  ASSERT_EQ(it.sendsOf(other).size(), 1U);
  it.respond(it.firstSendOf(other), ResponseKind::Success);
  EXPECT_TRUE(it.sendsOf(waiting).empty());
  BalanceCommands out;
  it.Balancer.bodyTaken(it.index(0), it.Now, out);
  it.handle(out);
  it.advance(std::chrono::milliseconds{50});
  EXPECT_EQ(it.sendsOf(waiting).size(), 1U);
}

} // namespace wigeonlift
