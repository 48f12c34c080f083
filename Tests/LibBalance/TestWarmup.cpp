#include <Tests/LibBalance/Harness.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {

using Content = WarmupReport::Content;

constexpr double Rate = 4.3;
constexpr WarmupBounds Bounds{.Overage = 1.5, .Tolerance = 8};
constexpr UpstreamIndex Only{0};

/// The limits of one upstream on the only VM.
struct OneUpstream {
  OneUpstream() { Limits.setWarmup(Rate, Bounds, Now); }

  /// The checks of health answers that follow are sent later.
  void entrySays(Duration remaining) {
    Limits.didReportWarmup(Only, 1, remaining, Now);
    Now += 5ms;
  }
  void healthAnswerSays(std::optional<Duration> remaining, Duration age = 2ms) {
    Limits.didReportWarmup(Only, 1,
                           WarmupReport{.Kind = remaining ? Content::Named : Content::Unnamed,
                                        .Remaining = remaining.value_or(0s),
                                        .AskedAt = Now - age},
                           Now);
  }
  bool isCold() const { return Limits.isCold(Only, Now); }

  TimePoint Now = Start;
  UpstreamLimits Limits{7};
};

/// A balancer whose upstreams say in health answers how long they remain cold.
struct ColdHarness : Harness {
  explicit ColdHarness(int upstreams) : Harness(upstreams) {
    Balancer.setWarmup(Rate, Bounds, Now);
    HealthAnswer = WarmupReport{.Kind = Content::Unnamed};
  }
  void makeCold(Duration remaining) {
    for (const UpstreamInfo &it : Upstreams)
      Balancer.warmupReported(it.Index, it.Index.Value, remaining, Now);
  }
};

} // namespace

// Guards against shares whose saved requests alone use up what a cold upstream tolerates.
TEST(Warmup, SavedRequestsAreAtMostHalfOfWhatIsTolerated) {
  EXPECT_EQ(UpstreamLimits::warmupShareCount(Rate, Bounds), 5);
  EXPECT_EQ(UpstreamLimits::warmupShareCount(2, {.Overage = 1, .Tolerance = 0}), 1);
  EXPECT_EQ(UpstreamLimits::warmupShareCount(1e5, {.Overage = 2, .Tolerance = 8}), 96);
}

// Guards against a warm-up that is missed, or that ends too early or never: the latest statement
// takes precedence, but an answer without the field says something only if earlier ones had it.
TEST(Warmup, TheLatestStatementTakesPrecedence) {
  OneUpstream it;
  it.healthAnswerSays({});
  EXPECT_FALSE(it.isCold());
  it.entrySays(3s);
  EXPECT_TRUE(it.isCold());
  it.healthAnswerSays({});
  EXPECT_TRUE(it.isCold()) << "the upstream may not name its warm-up in health answers";
  it.healthAnswerSays(0s);
  EXPECT_FALSE(it.isCold());
  it.healthAnswerSays(2s);
  EXPECT_TRUE(it.isCold());
  it.healthAnswerSays({});
  EXPECT_FALSE(it.isCold());
  const TimePoint written = it.Now;
  it.entrySays(1s);
  EXPECT_EQ(it.Limits.warmupEndsAt(Only), written + 1s);
  it.entrySays(0s);
  EXPECT_FALSE(it.isCold());
  it.entrySays(1s);
  it.Limits.didReportWarmup(Only, 1, WarmupReport{.AskedAt = it.Now}, it.Now);
  EXPECT_TRUE(it.isCold()) << "a value that can't be read changes nothing";
  it.Now += 1s;
  EXPECT_FALSE(it.isCold());
}

// Guards against a health answer that was on its way while its upstream became cold, as at a VM
// that was frozen: it must neither end a warm-up nor count as recent.
TEST(Warmup, LateHealthAnswersProveNoWarmth) {
  OneUpstream it;
  it.entrySays(3s);
  it.healthAnswerSays(0s, 2s);
  EXPECT_TRUE(it.isCold());
  EXPECT_FALSE(it.Limits.isWarmupKnown(Only, it.Now));
  OneUpstream other;
  other.healthAnswerSays(1s, 2s);
  EXPECT_TRUE(other.isCold());
  EXPECT_FALSE(other.Limits.hasRoom(Only, other.Now));
}

// Guards against the answer to a check that was sent shortly before the upstream became cold, and
// that arrives after the entry that says so.
TEST(Warmup, AnswersToChecksFromBeforeTheEntryProveNoWarmth) {
  OneUpstream it;
  it.Now += 1s;
  it.entrySays(3s);
  it.healthAnswerSays(0s, 200ms);
  EXPECT_TRUE(it.isCold());
  EXPECT_FALSE(it.Limits.isWarmupKnown(Only, it.Now));
  it.Now += 100ms;
  it.healthAnswerSays(0s, 50ms);
  EXPECT_FALSE(it.isCold());
}

// Guards against a second set of saved requests for an upstream that becomes cold again.
TEST(Warmup, SavedRequestsAreNotRenewedByAnotherWarmup) {
  OneUpstream it;
  it.healthAnswerSays(2s);
  EXPECT_TRUE(it.Limits.take(Only, it.Now));
  it.healthAnswerSays(0s);
  it.healthAnswerSays(2s);
  EXPECT_FALSE(it.Limits.take(Only, it.Now));
}

// Guards against requests at an upstream that may have become cold unnoticed: one that was just
// listed, whose entry was written, or that was not asked for a while.
TEST(Warmup, RequestsNeedARecentHealthAnswer) {
  OneUpstream it;
  EXPECT_FALSE(it.Limits.hasRoom(Only, it.Now));
  it.healthAnswerSays({});
  EXPECT_TRUE(it.Limits.hasRoom(Only, it.Now));
  it.entrySays(2s);
  EXPECT_FALSE(it.Limits.hasRoom(Only, it.Now));
  it.healthAnswerSays(0s);
  EXPECT_TRUE(it.Limits.hasRoom(Only, it.Now));
  it.Now += 600ms;
  EXPECT_FALSE(it.Limits.hasRoom(Only, it.Now));
}

// Guards against a VM that holds no shares of a cold upstream and yet asks or uses it, and against
// one that doesn't return after the warm-up.
TEST(Warmup, VmsWithoutSharesStayAwayUntilTheWarmupIsOver) {
  OneUpstream it;
  it.Limits.setWarmupAssignment(ShareAssignment::withoutShares(), it.Now);
  it.entrySays(3s);
  it.healthAnswerSays(3s);
  EXPECT_FALSE(it.Limits.hasRoom(Only, it.Now));
  EXPECT_FALSE(it.Limits.mayProbe(Only, it.Now));
  EXPECT_TRUE(it.Limits.isWithheld(Only, it.Now));
  const UpstreamIndex upstreams[] = {Only};
  EXPECT_EQ(it.Limits.readyAt(upstreams, 0), it.Now + 3s);
  const UpstreamInfo infos[] = {{.Index = Only}, {.Index = UpstreamIndex{1}}};
  EXPECT_EQ(chooseSubset(infos, it.Limits, 7, 1, it.Now).size(), 1U);
  it.Now += 4s;
  EXPECT_TRUE(it.Limits.mayProbe(Only, it.Now));
  EXPECT_EQ(chooseSubset(infos, it.Limits, 7, 1, it.Now).size(), 2U);
}

// Guards against a cold upstream with a rate limit of its own that gets more than the stricter of
// the two allows.
TEST(Warmup, TheStricterOfTwoLimitsApplies) {
  OneUpstream it;
  it.healthAnswerSays(3s);
  it.Limits.didReport(
      Only, 1, {.Kind = RateLimitReport::Content::Limited, .RequestsPerSecond = 0.5}, it.Now);
  EXPECT_TRUE(it.Limits.take(Only, it.Now));
  it.Now += 400ms;
  it.healthAnswerSays(3s);
  EXPECT_FALSE(it.Limits.take(Only, it.Now)) << "the named limit has no room before 2 s";
  it.Limits.didReport(
      Only, 1, {.Kind = RateLimitReport::Content::Limited, .RequestsPerSecond = 100}, it.Now);
  it.Now += 10ms;
  EXPECT_TRUE(it.Limits.take(Only, it.Now));
  EXPECT_FALSE(it.Limits.take(Only, it.Now)) << "the rate of the cold upstream has no room";
}

// Guards against deployments without the bounds or the rate that are served differently.
TEST(Warmup, NothingIsLimitedWithoutARate) {
  OneUpstream it;
  it.healthAnswerSays(3s);
  it.Limits.setWarmup(0, Bounds, it.Now);
  it.healthAnswerSays(3s);
  it.entrySays(3s);
  EXPECT_FALSE(it.isCold());
  EXPECT_TRUE(it.Limits.isEmpty());
  EXPECT_TRUE(it.Limits.hasRoom(Only, it.Now));
  EXPECT_FALSE(it.Limits.warmupEndsAt(Only));
}

// Guards against a request that is placed before its own health check has told that the upstream is
// cold, against retries that don't count, and against callers that wait although only cold
// upstreams without room are left.
TEST(Warmup, RequestsBeyondTheRateAreRefusedWithTheTimeOfTheNextRoom) {
  ColdHarness it{2};
  it.learnWorkTime();
  it.advance(1s);
  it.HealthAnswer = WarmupReport{.Kind = Content::Named, .Remaining = 3s};
  RequestSpec spec = it.spec();
  spec.Objective = it.Now + 600ms;
  it.arrive(spec);
  it.respond(it.firstSendOf(spec.Id), ResponseKind::UpstreamFailure);
  it.advance(10ms);
  ASSERT_EQ(it.sendsOf(spec.Id).size(), 2U) << "the other upstream has room for a retry";
  EXPECT_EQ(it.Balancer.counts().SentToCold, 2U);
  const CallId second = it.arrive();
  ASSERT_TRUE(it.Refused.contains(second));
  EXPECT_EQ(it.Refused[second].Kind, FailureKind::RateLimited);
  EXPECT_EQ(it.Refused[second].Executed, Execution::NotRun);
  EXPECT_GE(it.Refused[second].RetryAfter, 200ms);
  EXPECT_LE(it.Refused[second].RetryAfter, 240ms);
}

// Guards against callers that are told to come back after the warm-up although it ends sooner than
// there is room.
TEST(Warmup, RefusalsNameTheEndOfTheWarmupIfItComesFirst) {
  ColdHarness it{2};
  it.learnWorkTime();
  it.Balancer.setWarmupAssignment(ShareAssignment::withoutShares(), it.Now);
  it.makeCold(1500ms);
  const CallId id = it.arrive();
  ASSERT_TRUE(it.Refused.contains(id));
  EXPECT_EQ(it.Refused[id].RetryAfter, 1500ms);
  EXPECT_EQ(it.sendsOf(id).size(), 0U);
}

// Guards against a token that is used long after it was taken, when its place has been used by
// others: a request whose connection took too long must take a new one or go back to the queue.
TEST(Warmup, OldTokensAreNotUsed) {
  for (const bool isSlow : {false, true}) {
    ColdHarness it{1};
    it.learnWorkTime();
    it.advance(1s);
    it.HealthAnswer = WarmupReport{.Kind = Content::Named, .Remaining = 5s};
    it.HoldsSends = true;
    RequestSpec spec = it.spec();
    spec.Objective = it.Now + 2s;
    spec.Deadline = it.Now + 3s;
    it.arrive(spec);
    ASSERT_EQ(it.Held.size(), 1U);
    it.Now += isSlow ? 600ms : 300ms;
    BalanceCommands out;
    EXPECT_EQ(it.Balancer.maySend(it.Held[0].Attempt, it.Now, out), !isSlow);
    EXPECT_FALSE(it.Refused.contains(spec.Id));
  }
}

// Guards against upstreams that become cold after a request was placed and get it without a token.
TEST(Warmup, RequestsThatWerePlacedBeforeNeedAToken) {
  ColdHarness it{1};
  it.learnWorkTime();
  it.HoldsSends = true;
  it.arrive();
  it.arrive();
  ASSERT_EQ(it.Held.size(), 2U);
  it.makeCold(3s);
  BalanceCommands out;
  EXPECT_TRUE(it.Balancer.maySend(it.Held[0].Attempt, it.Now, out));
  EXPECT_FALSE(it.Balancer.maySend(it.Held[1].Attempt, it.Now, out));
}

// Guards against an upstream that is served as warm, or as cold, for longer than its last statement
// says.
TEST(Warmup, ExpectedWorkFollowsTheStatements) {
  ColdHarness it{1};
  it.learnWorkTime();
  it.advance(1s);
  it.makeCold(3s);
  RequestSpec spec = it.spec();
  spec.Objective = it.Now + 600ms;
  spec.Deadline = it.Now + 2s;
  it.arrive(spec);
  ASSERT_EQ(it.Sent.size(), 1U);
  EXPECT_GE(it.Slowness, 2);
  it.respond(it.Sent[0], ResponseKind::Success);
  it.makeCold(0s);
  it.Sent.clear();
  it.arrive();
  it.advance(10ms);
  ASSERT_EQ(it.Sent.size(), 1U);
  EXPECT_LT(it.Slowness, 2);
}
