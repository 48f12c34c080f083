#include <Tests/LibBalance/Harness.h>

namespace wigeonlift {

// Pattern: noisy neighbours. Guards against requests that are sent to an upstream which is slow at
// this moment, while others are fast.
TEST(Choice, AvoidsUpstreamsThatAreSlowNow) {
  Harness it{8};
  it.teach();
  for (int n = 0; n < 6; ++n)
    it.Loads[Harness::index(n)].SlownessPercent = 400;
  int toFast = 0;
  for (int n = 0; n < 20; ++n) {
    it.advance(std::chrono::milliseconds{50});
    const CallId id = it.arrive();
    it.advance(std::chrono::milliseconds{30});
    toFast += it.sendOf(id).Upstream.Value >= 6 ? 1 : 0;
    it.answer(it.sendOf(id), ResponseKind::Success);
  }
  EXPECT_GE(toFast, 18);
}

// Pattern: upstreams that go silent when full. Guards against requests beyond the slots that other
// VMs have left free.
TEST(Choice, WaitsHereInsteadOfInTheQueuesOfFullUpstreams) {
  Harness it{4};
  it.teach();
  it.fillUpstreams();
  const CallId id = it.arrive();
  it.advance(std::chrono::milliseconds{60});
  EXPECT_TRUE(it.sendsOf(id).empty());
  it.Loads[Harness::index(2)].InFlight = 0;
  it.advance(std::chrono::milliseconds{60});
  ASSERT_EQ(it.sendsOf(id).size(), 1U);
  EXPECT_EQ(it.sendOf(id).Upstream, Harness::index(2));
}

// Pattern: nearly full upstreams slow down. Guards against the use of the last slot of one upstream
// while another one has more room.
TEST(Choice, LeavesTheLastSlotFreeWhileThereIsRoom) {
  Harness it{3};
  it.teach();
  it.Loads[Harness::index(0)].InFlight = 2;
  it.Loads[Harness::index(1)].InFlight = 2;
  for (int n = 0; n < 2; ++n)
    EXPECT_EQ(it.sendOf(it.arrive()).Upstream, Harness::index(2));
}

// Pattern: bytes between data centres are dear. Guards against answers from another data centre
// while a near upstream is as good.
TEST(Choice, PrefersNearUpstreams) {
  Harness it{9, 3};
  it.teach();
  for (int n = 0; n < 12; ++n) {
    it.advance(std::chrono::milliseconds{200});
    const CallId id = it.arrive();
    EXPECT_LT(it.sendOf(id).Upstream.Value, 3U);
    it.advance(Work);
    it.answer(it.sendOf(id), ResponseKind::Success);
  }
}

// Guards against near upstreams that are used although they are slow and a far one is not.
TEST(Choice, LeavesTheDataCentreForAFasterUpstream) {
  Harness it{6, 2};
  it.teach();
  it.Loads[Harness::index(0)].SlownessPercent = 400;
  it.Loads[Harness::index(1)].SlownessPercent = 400;
  const CallId id = it.arrive();
  it.advance(std::chrono::milliseconds{40});
  EXPECT_GE(it.sendOf(id).Upstream.Value, 2U);
}

// Pattern: burst. Guards against probes that each waiting request sends for itself: 3,000 a VM in
// 5 s on obiyama scale-1.
TEST(Choice, WaitingRequestsShareTheirProbes) {
  Harness it{14};
  it.teach();
  it.fillUpstreams();
  for (int n = 0; n < 20; ++n)
    it.arrive();
  it.Probes = 0;
  it.advance(std::chrono::milliseconds{160});
  EXPECT_LE(it.Probes, 60);
}

// Pattern: burst with urgent requests. Guards against urgent requests that wait behind others, and
// against ones that can still be in time behind ones that can't.
TEST(Choice, ServesUrgentAndTimelyRequestsFirst) {
  Harness it{2};
  it.teach();
  it.fillUpstreams();
  RequestSpec late = it.spec();
  late.Objective = it.Now + std::chrono::milliseconds{20};
  late.Priority = 0;
  it.arrive(late);
  RequestSpec usual = it.spec();
  usual.Priority = 2;
  it.arrive(usual);
  RequestSpec urgent = it.spec();
  urgent.Priority = 1;
  it.arrive(urgent);
  it.advance(std::chrono::milliseconds{30});
  it.Loads[Harness::index(0)].InFlight = 0;
  it.advance(std::chrono::milliseconds{40});
  ASSERT_GE(it.Sent.size(), 2U);
  EXPECT_EQ(it.Sent[0].Call, urgent.Id);
  EXPECT_EQ(it.Sent[1].Call, usual.Id);
}

// Pattern: full service. Guards against requests that are held until their deadline passes although
// there is no time left for the work.
TEST(Choice, RefusesWhatCanNoLongerBeServed) {
  Harness it{2};
  it.teach();
  it.fillUpstreams();
  const RequestSpec spec = it.spec();
  const CallId id = it.arrive(spec);
  it.advance(spec.Deadline - it.Now - std::chrono::milliseconds{60});
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Executed, Execution::NotRun);
  EXPECT_GT(it.Refused[id].RetryAfter, Duration::zero());
}

// Pattern: long overload. Guards against requests that wait for most of their time and are refused
// when their caller can't come back any more: 5% of the worth on kapokki-gw-grown scale-1.
TEST(Choice, RefusesInTimeForTheCallerToComeBack) {
  Harness it{2};
  it.teach();
  it.fillUpstreams();
  RequestSpec spec = it.spec();
  spec.Deadline = it.Now + std::chrono::seconds{5};
  const CallId id = it.arrive(spec);
  const TimePoint half = it.Now + (spec.Deadline - it.Now) / 2;
  while (!it.Refused.contains(id) && it.Now < half)
    it.advance(std::chrono::milliseconds{10});
  ASSERT_TRUE(it.Refused.contains(id));
  // Callers wait for no more than a third of the time that they have left.
  EXPECT_LE(it.Refused[id].RetryAfter, (spec.Deadline - it.Now) / 3);
}

// Pattern: short burst. Guards against the refusal of requests that can still meet their objective.
TEST(Choice, KeepsTimelyRequestsWaiting) {
  Harness it{2};
  it.teach();
  it.fillUpstreams();
  const RequestSpec spec = it.spec();
  const CallId id = it.arrive(spec);
  it.advance(spec.Objective - it.Now - Work - std::chrono::milliseconds{40});
  EXPECT_FALSE(it.Refused.contains(id));
  for (auto &[index, load] : it.Loads)
    load.InFlight = 0;
  it.advance(std::chrono::milliseconds{40});
  EXPECT_EQ(it.sendsOf(id).size(), 1U);
}

// Pattern: long overload. Guards against a free upstream that stays unused because a full one,
// which may not be used, looks faster.
TEST(Choice, FullUpstreamsHideNoFreeOne) {
  Harness it{6};
  it.teach();
  it.fillUpstreams();
  it.Loads[Harness::index(2)] = LoadReport{.Slots = 3, .SlownessPercent = 250};
  RequestSpec spec = it.spec();
  spec.Objective = it.Now + 3 * Work;
  const CallId id = it.arrive(spec);
  it.advance(std::chrono::milliseconds{50});
  ASSERT_EQ(it.sendsOf(id).size(), 1U);
  EXPECT_EQ(it.sendOf(id).Upstream, Harness::index(2));
}

// Pattern: long overload. Guards against late requests that hold the slots of slow upstreams, each
// in the place of several that could be in time.
TEST(Choice, LateRequestsTakeNoSlowUpstream) {
  Harness it{8};
  it.teach();
  it.fillUpstreams();
  it.Loads[Harness::index(2)] = LoadReport{.Slots = 3, .SlownessPercent = 400};
  RequestSpec spec = it.spec();
  spec.Objective = it.Now;
  spec.Deadline = it.Now + std::chrono::seconds{5};
  const CallId id = it.arrive(spec);
  it.advance(std::chrono::milliseconds{300});
  EXPECT_TRUE(it.sendsOf(id).empty());
}

// Pattern: a whole service is slow. Guards against refusals while its upstreams are idle.
TEST(Choice, LateRequestsAreServedWhenAllUpstreamsAreSlow) {
  Harness it{8};
  it.teach();
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
    it.answer(it.sendOf(id), ResponseKind::Success);
  }
  EXPECT_GE(served, requests / 2);
}

// Pattern: all upstreams shed half of their requests. Guards against a service that is given up
// because each of its upstreams fails as often as the others.
TEST(Choice, UpstreamsThatAllFailAlikeStayInUse) {
  Harness it{6};
  it.teach();
  int unsent = 0;
  for (int n = 0; n < 200; ++n) {
    it.advance(std::chrono::milliseconds{20});
    const CallId id = it.arrive();
    it.advance(std::chrono::milliseconds{10});
    unsent += it.sendsOf(id).empty() ? 1 : 0;
    for (std::size_t k = 0; k < it.sendsOf(id).size(); ++k)
      it.answer(it.sendsOf(id)[k], (n + k) % 2 == 0 ? ResponseKind::NotRun : ResponseKind::Success);
  }
  EXPECT_LE(unsent, 4);
}

// Guards against requests that wait for an upstream that will never come.
TEST(Choice, RefusesAtOnceWithoutUpstreams) {
  Harness it{0};
  const CallId id = it.arrive();
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Kind, FailureKind::NoUpstream);
}

// Pattern: a VM whose probes nobody answers. Guards against requests that wait for a silent
// upstream while others answer.
TEST(Choice, SilentUpstreamsHoldNobodyUp) {
  Harness it{6};
  it.teach();
  it.Silent = {Harness::index(0), Harness::index(1), Harness::index(2)};
  const CallId id = it.arrive();
  it.advance(std::chrono::milliseconds{40});
  ASSERT_EQ(it.sendsOf(id).size(), 1U);
  EXPECT_GE(it.sendOf(id).Upstream.Value, 3U);
}

} // namespace wigeonlift
