#include <Tests/LibBalance/Harness.h>

#include <set>

namespace wigeonlift {

namespace {

constexpr int Slots = 3;

/// Removes all upstreams, as when the last data centre of a service is evacuated.
void removeAll(Harness &it) {
  it.Upstreams.clear();
  it.apply();
}

std::vector<AttemptId> sendsIn(const BalanceCommands &commands) {
  std::vector<AttemptId> result;
  for (const BalanceCommand &command : commands)
    if (const auto *send = std::get_if<SendRequest>(&command))
      result.push_back(send->Attempt);
  return result;
}

} // namespace

// Guards against a request that is reported as not run although an earlier attempt may have run it.
TEST(WithdrawnUpstreams, RequestsThatMayHaveRunAreNotCalledNotRun) {
  Harness it{1};
  it.learnWorkTime();
  const CallId id = it.arrive();
  it.fail(it.firstSendOf(id), AttemptStage::Sent);
  ASSERT_EQ(it.Balancer.queuedRequests(), 1U);
  removeAll(it);
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].Executed, Execution::Unknown);
}

// Guards against running requests that are cut off, also those that wait for a hedge, against
// requests that are queued for a retry when their attempt ends, and against a process that wakes up
// again and again for hedges that have no upstream.
TEST(WithdrawnUpstreams, SentRequestsEndNormally) {
  Harness it{1};
  it.learnWorkTime();
  const RequestSpec spec = it.spec();
  const CallId hedged = it.arrive(spec);
  const CallId failed = it.arrive();
  it.advance(5 * WorkTime);
  ASSERT_EQ(it.Balancer.queuedRequests(), 2U);
  removeAll(it);
  EXPECT_TRUE(it.Refused.empty());
  EXPECT_TRUE(it.Aborted.empty());
  EXPECT_EQ(it.Balancer.nextWakeup(), spec.Deadline);
  it.respond(it.firstSendOf(hedged), ResponseKind::Success);
  EXPECT_EQ(it.LastAction, ResponseAction::Relay);
  it.respond(it.firstSendOf(failed), ResponseKind::NotRun);
  ASSERT_TRUE(it.Refused.contains(failed));
  EXPECT_EQ(it.Refused[failed].Executed, Execution::NotRun);
  EXPECT_EQ(it.Balancer.queuedRequests(), 0U);
}

// Guards against requests that wait for a connection to a removed upstream, and against attempts
// that reach it once they have one.
TEST(WithdrawnUpstreams, UnsentAttemptsArePlacedElsewhere) {
  Harness it{4, 2};
  it.learnWorkTime();
  BalanceCommands placed;
  const RequestSpec spec = it.spec(CallClass::NonIdempotent);
  it.Balancer.requestArrived(spec, it.Now, placed);
  const auto attempts = sendsIn(placed);
  ASSERT_EQ(attempts.size(), 1U);
  const UpstreamIndex chosen = it.Balancer.choice(attempts[0])->Upstream;
  std::erase_if(it.Upstreams, [&](const UpstreamInfo &info) { return info.Index == chosen; });
  it.apply();
  EXPECT_EQ(it.Aborted, attempts);
  BalanceCommands out;
  EXPECT_FALSE(it.Balancer.maySend(attempts[0], it.Now, out));
  EXPECT_TRUE(out.empty());
  it.advance(std::chrono::milliseconds{20});
  ASSERT_EQ(it.sendsOf(spec.Id).size(), 1U);
  EXPECT_NE(it.firstSendOf(spec.Id).Upstream, chosen);
}

// Guards against requests that are refused while a service changes all its upstreams and no data
// centre is being evacuated.
TEST(WithdrawnUpstreams, QueuedRequestsWaitForNewOnesOtherwise) {
  Harness it{1};
  it.learnWorkTime();
  it.fillUpstreams();
  const CallId id = it.arrive();
  BalanceCommands out;
  it.Balancer.setUpstreams({}, it.Now, out, WaitingRequests::Keep);
  it.handle(out);
  EXPECT_FALSE(it.Refused.contains(id));
  it.Upstreams = {{.Index = Harness::index(7), .Slots = Slots}};
  it.Loads[Harness::index(7)] = LoadReport{.Slots = Slots};
  it.apply();
  it.advance(std::chrono::milliseconds{30});
  EXPECT_EQ(it.sendsOf(id).size(), 1U);
}

// Guards against VMs in an evacuated data centre that all turn to the same few upstreams elsewhere,
// or to fewer than they work with otherwise.
TEST(WithdrawnUpstreams, SubsetsAreSpreadOverTheUpstreamsThatAreLeft) {
  constexpr std::uint32_t upstreams = 219;
  constexpr std::uint64_t vms = 41;
  constexpr double share = 1.0 / 124;
  std::vector<UpstreamInfo> remote;
  for (std::uint32_t n = 1; n <= upstreams; ++n)
    if (n % 3 != 0)
      remote.push_back({.Index = UpstreamIndex{n}, .FleetKey = n, .Slots = Slots});
  std::map<UpstreamIndex, int> users;
  for (std::uint64_t vm = 0; vm < vms; ++vm) {
    const auto subset = chooseSubset(remote, vm * 7919, share);
    EXPECT_GE(subset.size(), 24U);
    for (const UpstreamInfo &it : subset)
      ++users[it.Index];
  }
  int most = 0;
  for (const auto &[index, count] : users)
    most = std::max(most, count);
  // 41 VMs with 24 of 146 upstreams: 6.7 users an upstream on average.
  EXPECT_LE(most, 16);
  EXPECT_GE(users.size(), 140U);
}

} // namespace wigeonlift
