#include <Tests/LibBalance/Harness.h>
#include <Tests/LibBalance/LimitedFleet.h>

#include <gtest/gtest.h>

#include <cstdlib>
#include <ostream>

using namespace wigeonlift;
using namespace wigeonlift::test;

namespace {

/// Added to all seeds, for further runs by hand.
std::uint64_t seedOffset() {
  const char *offset = std::getenv("MODEL_SEED_OFFSET");
  return offset ? std::strtoull(offset, nullptr, 10) : 0;
}

/// A fleet, and how many seeds to run it with.
struct FleetCase {
  const char *Name;
  LimitedFleetOptions Options;
  std::uint64_t Seeds;
};

std::ostream &operator<<(std::ostream &out, const FleetCase &it) { return out << it.Name; }

UpstreamNotice limitedTo(double requestsPerSecond) {
  return {.RateLimit = {.Kind = RateLimitReport::Content::Limited,
                        .RequestsPerSecond = requestsPerSecond}};
}

constexpr UpstreamNotice WantsNothing{.RateLimit = {.Kind = RateLimitReport::Content::Unlimited},
                                      .RetryAfter = std::chrono::seconds{3}};
constexpr UpstreamNotice Unlimited{.RateLimit = {.Kind = RateLimitReport::Content::Unlimited}};

/// All upstreams of the balancer say the same.
void noticeFromAll(Harness &harness, const UpstreamNotice &notice) {
  for (const UpstreamInfo &it : harness.Upstreams)
    harness.Balancer.noticeReceived(it.Index, it.Index.Value, notice, harness.Now);
}

class LimitedFleets : public testing::TestWithParam<FleetCase> {};
class ColdFleets : public testing::TestWithParam<FleetCase> {};

} // namespace

// Guards against an upstream that names a rate limit and gets more requests from all VMs together:
// because VMs ignore it, divide it by a wrong number of VMs when some join, die or are cut off, or
// send queued requests, retries and hedges in addition.
TEST_P(LimitedFleets, KeepTheLimitsThatUpstreamsName) {
  const FleetCase &fleet = GetParam();
  for (std::uint64_t n = 1; n <= fleet.Seeds; ++n) {
    const std::uint64_t seed = n + seedOffset();
    LimitedFleet model{fleet.Options, seed};
    const std::vector<std::string> violations = model.run();
    ASSERT_TRUE(violations.empty())
        << "seed " << seed << ": " << violations.front() << ", " << violations.size() << " in all";
  }
}

INSTANTIATE_TEST_SUITE_P(
    OfAllSizes, LimitedFleets,
    testing::Values(
        FleetCase{"OneVm", {.Vms = 1, .DataCentres = 1, .RequestsPerSecond = 20}, 300},
        FleetCase{"FewVms", {.Vms = 4, .DataCentres = 2, .RequestsPerSecond = 60}, 600},
        FleetCase{
            "SmallLimits", {.Vms = 12, .DataCentres = 4, .MinLimit = 0.1, .MaxLimit = 3}, 600},
        FleetCase{"Calm", {.Vms = 16, .DataCentres = 3, .HasFaults = false}, 300},
        FleetCase{"AllUpstreams", {.Vms = 16, .DataCentres = 3, .LimitedFraction = 1}, 300},
        FleetCase{"ManyVms", {.Vms = 48, .DataCentres = 4, .RequestsPerSecond = 150}, 60},
        FleetCase{"GrownFleet",
                  {.Vms = 136, .DataCentres = 3, .Upstreams = 24, .RequestsPerSecond = 250},
                  6},
        FleetCase{"LargeFleet",
                  {.Vms = 472, .DataCentres = 6, .Upstreams = 24, .RequestsPerSecond = 400},
                  1}),
    [](const auto &it) { return std::string{it.param.Name}; });

// Guards against a cold upstream that gets more requests than it tolerates from all VMs together,
// also from those that are partitioned or frozen, restart while they are partitioned, or have just
// joined, and when all VMs start together while all upstreams are cold.
TEST_P(ColdFleets, KeepTheRateOfColdUpstreams) {
  const FleetCase &fleet = GetParam();
  for (std::uint64_t n = 1; n <= fleet.Seeds; ++n) {
    const std::uint64_t seed = n + seedOffset();
    LimitedFleetOptions options = fleet.Options;
    options.LimitedFraction = 0;
    options.WarmupPerSecond = 4.3;
    LimitedFleet model{options, seed};
    const std::vector<std::string> violations = model.run();
    ASSERT_TRUE(violations.empty())
        << "seed " << seed << ": " << violations.front() << ", " << violations.size() << " in all";
  }
}

INSTANTIATE_TEST_SUITE_P(
    OfAllSizes, ColdFleets,
    testing::Values(
        FleetCase{"LostVms", {.Vms = 12, .RequestsPerSecond = 200}, 40},
        FleetCase{"Partitions", {.Vms = 16, .RequestsPerSecond = 200, .HasPartitions = true}, 40},
        FleetCase{"StartTogether", {.Vms = 24, .RequestsPerSecond = 300, .StartsCold = true}, 30},
        FleetCase{"StartPartitioned",
                  {.Vms = 24, .RequestsPerSecond = 300, .StartsCold = true, .HasPartitions = true},
                  30},
        FleetCase{"LateVms", {.Vms = 24, .RequestsPerSecond = 300, .HasLateVms = true}, 30},
        FleetCase{"GrownFleet",
                  {.Vms = 124,
                   .Upstreams = 24,
                   .RequestsPerSecond = 600,
                   .HasPartitions = true,
                   .HasLateVms = true},
                  3}),
    [](const auto &it) { return std::string{it.param.Name}; });

// Guards against a rate that is kept by leaving cold upstreams unused, and against upstreams whose
// first requests come only when their warm-up is over.
TEST(ColdUpstreams, GetWork) {
  double sent = 0;
  double allowed = 0;
  int unused = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    LimitedFleet model{{.Vms = 16,
                        .Upstreams = 18,
                        .LimitedFraction = 0,
                        .RequestsPerSecond = 200,
                        .HasFaults = false,
                        .WarmupPerSecond = 4.3},
                       seed};
    EXPECT_TRUE(model.run().empty());
    sent += model.sentToCold();
    allowed += model.allowedToCold();
    unused += model.unusedColdSpans();
  }
  EXPECT_GE(sent, 0.5 * allowed);
  EXPECT_EQ(unused, 0);
}

// More requests than all limits of a service carry. Guards against limits that are kept by not
// using them: most of what they allow must be served.
TEST(RateLimits, MostOfWhatTheLimitsAllowIsServed) {
  double served = 0;
  double allowed = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LimitedFleet model{{.Vms = 16,
                        .DataCentres = 3,
                        .Upstreams = 18,
                        .LimitedFraction = 1,
                        .MinLimit = 1,
                        .MaxLimit = 2,
                        .RequestsPerSecond = 100,
                        .LimitsLast = true,
                        .HasFaults = false},
                       seed};
    EXPECT_TRUE(model.run().empty());
    served += model.served();
    allowed += model.allowed();
  }
  EXPECT_GE(served, 0.75 * allowed);
}

// Guards against requests that wait until they are late although it is known that the limits leave
// no room for them in time, and against callers who are told to come back before there is room.
TEST(RateLimits, RequestsWithoutRoomAreRefusedAtOnce) {
  Harness it{1};
  it.learnWorkTime();
  noticeFromAll(it, limitedTo(0.5));
  const CallId first = it.arrive();
  it.advance(std::chrono::milliseconds{20});
  EXPECT_EQ(it.sendsOf(first).size(), 1U);
  const CallId second = it.arrive();
  ASSERT_TRUE(it.Refused.contains(second));
  EXPECT_EQ(it.Refused[second].Kind, FailureKind::RateLimited);
  EXPECT_EQ(it.Refused[second].Executed, Execution::NotRun);
  EXPECT_GE(it.Refused[second].RetryAfter, std::chrono::milliseconds{1900});
}

// Guards against less urgent requests that use up the room that urgent ones wait for.
TEST(RateLimits, UrgentRequestsGetTheNextRoom) {
  Harness it{1};
  it.learnWorkTime();
  noticeFromAll(it, limitedTo(10));
  it.respond(it.firstSendOf(it.arrive()), ResponseKind::Success);
  RequestSpec lessUrgent = it.spec();
  lessUrgent.Priority = 2;
  RequestSpec urgent = it.spec();
  urgent.Priority = 1;
  it.arrive(lessUrgent);
  it.arrive(urgent);
  it.advance(std::chrono::milliseconds{130});
  EXPECT_EQ(it.sendsOf(urgent.Id).size(), 1U);
  EXPECT_EQ(it.sendsOf(lessUrgent.Id).size(), 0U);
}

// Guards against a request that was assigned to an upstream before it named a limit and reaches it
// beyond the limit, for example after it waited for a connection.
TEST(RateLimits, RequestsAssignedBeforeALimitWasNamedKeepIt) {
  ServiceBalancer balancer{7, Start - std::chrono::minutes{1}};
  balancer.setProbeRate(1000, Start);
  BalanceCommands out;
  const UpstreamInfo upstream{.Index = UpstreamIndex{0}, .Slots = 3};
  balancer.setUpstreams(std::span{&upstream, 1}, Start, out);
  Harness specs{1};
  std::vector<AttemptId> assigned;
  for (int n = 0; n < 2; ++n) {
    balancer.requestArrived(specs.spec(), Start, out);
    for (const BalanceCommand &it : BalanceCommands{out})
      if (const auto *probe = std::get_if<SendProbe>(&it))
        balancer.probeAnswered(probe->Probe, {.Slots = 3}, Start, out);
    for (const BalanceCommand &it : std::exchange(out, {}))
      if (const auto *send = std::get_if<SendRequest>(&it))
        assigned.push_back(send->Attempt);
  }
  ASSERT_EQ(assigned.size(), 2U);
  balancer.noticeReceived(upstream.Index, 1, limitedTo(0.1), Start);
  EXPECT_TRUE(balancer.maySend(assigned[0], Start, out));
  EXPECT_FALSE(balancer.maySend(assigned[1], Start, out));
}

// Guards against an upstream that stays out of use after its limit has ended.
TEST(RateLimits, UpstreamsAreInFullUseWhenTheirLimitEnds) {
  Harness it{1};
  it.learnWorkTime();
  noticeFromAll(it, limitedTo(0));
  EXPECT_TRUE(it.Refused.contains(it.arrive()));
  it.advance(std::chrono::seconds{40});
  const int probes = it.Probes;
  it.arrive();
  EXPECT_EQ(it.Probes, probes + 1) << "nobody asked whether the limit is still in force";
  noticeFromAll(it, Unlimited);
  const CallId id = it.arrive();
  it.advance(std::chrono::milliseconds{20});
  EXPECT_EQ(it.sendsOf(id).size(), 1U);
}

// Guards against health checks that load an upstream in need although no request may follow.
TEST(RateLimits, UpstreamsWithoutRoomAreNotProbed) {
  Harness it{1};
  it.learnWorkTime();
  noticeFromAll(it, limitedTo(0.1));
  it.respond(it.firstSendOf(it.arrive()), ResponseKind::Success);
  const int probes = it.Probes;
  for (int n = 0; n < 100; ++n) {
    it.arrive();
    it.advance(std::chrono::milliseconds{10});
  }
  EXPECT_EQ(it.Probes, probes);
}

// Guards against requests and health checks that reach an upstream that wants nothing for a time,
// and against a later, shorter time that ends an earlier one.
TEST(RateLimits, UpstreamsThatWantNothingGetNothingUntilThen) {
  Harness it{2};
  it.learnWorkTime();
  const UpstreamIndex busy = Harness::index(0);
  it.Balancer.noticeReceived(busy, 0, WantsNothing, it.Now);
  UpstreamNotice shorter = WantsNothing;
  shorter.RetryAfter = std::chrono::milliseconds{100};
  it.Balancer.noticeReceived(busy, 0, shorter, it.Now);
  // The balancer asks only the other one.
  it.UnresponsiveUpstreams = {busy};
  for (int n = 0; n < 290; ++n) {
    const CallId id = it.arrive();
    it.advance(std::chrono::milliseconds{10});
    for (const SendRequest &sent : it.sendsOf(id)) {
      EXPECT_NE(sent.Upstream, busy);
      it.respond(sent, ResponseKind::Success);
    }
  }
  it.UnresponsiveUpstreams.clear();
  it.advance(std::chrono::milliseconds{500});
  it.Sent.clear();
  for (int n = 0; n < 20; ++n)
    it.arrive();
  it.advance(std::chrono::milliseconds{50});
  EXPECT_TRUE(
      std::ranges::any_of(it.Sent, [&](const auto &sent) { return sent.Upstream == busy; }));
}

// Guards against a request that was assigned to an upstream before it said that it wants nothing.
TEST(RateLimits, RequestsOnTheirWayTurnBackWhenTheUpstreamWantsNothing) {
  Harness it{1};
  it.learnWorkTime();
  BalanceCommands out;
  const RequestSpec spec = it.spec();
  // Known from the last response, so no probe comes first.
  it.Balancer.requestArrived(spec, it.Now, out);
  const auto *send = std::get_if<SendRequest>(&out.at(0));
  ASSERT_TRUE(send);
  it.Balancer.noticeReceived(send->Upstream, 0, WantsNothing, it.Now);
  BalanceCommands after;
  EXPECT_FALSE(it.Balancer.maySend(send->Attempt, it.Now, after));
  it.handle(after);
  ASSERT_TRUE(it.Refused.contains(spec.Id));
  EXPECT_EQ(it.Refused[spec.Id].Executed, Execution::NotRun);
}

// Guards against callers who wait, or come back too early, while all upstreams want nothing.
TEST(RateLimits, RequestsAreRefusedAtOnceWhileAllUpstreamsWantNothing) {
  Harness it{3};
  it.learnWorkTime();
  UpstreamNotice notice = WantsNothing;
  notice.RetryAfter = std::chrono::milliseconds{1500};
  noticeFromAll(it, notice);
  const CallId id = it.arrive();
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_GE(it.Refused[id].RetryAfter, std::chrono::milliseconds{1500});
  EXPECT_LE(it.Refused[id].RetryAfter, std::chrono::milliseconds{1700});
}
