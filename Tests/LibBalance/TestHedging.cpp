#include <Tests/LibBalance/Harness.h>

#include <cmath>
#include <random>

namespace wigeonlift {

namespace {

/// Work times that are drawn: lognormal with a spread of 0.3, and `TailFactor` times as long with
/// the probability `TailProbability`.
class DrawnWork {
public:
  double TailProbability = 0;
  /// Upstreams take four times as long in phases of 1.25 times the work, 30% of the time.
  bool HasSlowPhases = false;

  explicit DrawnWork(std::uint64_t seed) : Rng(seed) {}

  /// When an attempt that starts now ends.
  TimePoint drawEnd(UpstreamIndex upstream, TimePoint start) {
    constexpr double tailFactor = 7;
    std::lognormal_distribution<double> body{0, 0.3};
    double left = toSeconds(WorkTime) * body(Rng.engine());
    left *= Rng.unit() < TailProbability ? tailFactor : 1;
    TimePoint end = start;
    for (; left > 0; end += Step)
      left -= toSeconds(Step) / slowness(upstream, end);
    return end;
  }

  double slowness(UpstreamIndex upstream, TimePoint at) {
    constexpr double slowFactor = 4;
    if (!HasSlowPhases)
      return 1;
    // Each period has one slow phase, at a place that differs by period and upstream.
    constexpr Duration period = std::chrono::milliseconds{500};
    constexpr Duration phase = period * 3 / 10;
    const auto n = at.time_since_epoch() / period;
    Random place{static_cast<std::uint64_t>(n) * 1000 + upstream.Value};
    const Duration begin = fromSeconds(place.unit() * toSeconds(period - phase));
    const Duration offset = at.time_since_epoch() % period;
    return offset >= begin && offset < begin + phase ? slowFactor : 1;
  }

  static constexpr Duration Step = std::chrono::milliseconds{1};

private:
  Random Rng;
};

struct Outcome {
  int Hedges = 0;
  int Late = 0;
};

/// Sends requests one after the other and responds to each attempt at its drawn end.
Outcome runRequests(Harness &it, DrawnWork &work, int count) {
  Outcome outcome;
  for (int n = 0; n < count; ++n) {
    const auto step = [&](Duration span) {
      if (work.HasSlowPhases)
        for (auto &[upstream, load] : it.Loads)
          load.SlownessPercent = static_cast<int>(100 * work.slowness(upstream, it.Now));
      it.advance(span);
    };
    RequestSpec spec = it.spec();
    spec.Objective = it.Now + WorkTime * 10 / 3;
    spec.Deadline = it.Now + 60 * WorkTime;
    const CallId id = it.arrive(spec);
    std::vector<TimePoint> ends;
    const auto drawEnds = [&] {
      const std::vector<SendRequest> sent = it.sendsOf(id);
      while (ends.size() < sent.size())
        ends.push_back(work.drawEnd(sent[ends.size()].Upstream, it.Now));
    };
    drawEnds();
    while (ends.empty() || it.Now < std::ranges::min(ends)) {
      step(DrawnWork::Step);
      drawEnds();
    }
    outcome.Hedges += static_cast<int>(ends.size()) - 1;
    outcome.Late += it.Now > spec.Objective ? 1 : 0;
    const auto first = static_cast<std::size_t>(std::ranges::min_element(ends) - ends.begin());
    it.respond(it.sendsOf(id).at(first), ResponseKind::Success);
    it.Sent.clear();
    step(std::chrono::milliseconds{60});
  }
  return outcome;
}

} // namespace

// 3% of the requests take seven times as long. Guards against hedges that start too late for the
// objective, and against hedges whose wins hide the tail, so that later requests get none.
TEST(Hedging, ALongTailIsHedgedInTime) {
  Harness it{8};
  DrawnWork work{11};
  work.TailProbability = 0.03;
  runRequests(it, work, 300);
  for (int round = 0; round < 4; ++round) {
    const Outcome outcome = runRequests(it, work, 500);
    EXPECT_LE(outcome.Late, 5) << round;
    EXPECT_LE(outcome.Hedges, 80) << round;
  }
  EXPECT_GT(it.Balancer.counts().ResidualHedges, 60U);
}

// A small VM sees few requests of a kind in the first minutes. Guards against a tail that is hedged
// only after the distribution has become known.
TEST(Hedging, OverdueAttemptsAreHedgedBeforeTheDistributionIsKnown) {
  Outcome outcome;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    Harness it{8};
    DrawnWork work{100 + seed};
    work.TailProbability = 0.03;
    const Outcome few = runRequests(it, work, 40);
    outcome.Hedges += few.Hedges;
    outcome.Late += few.Late;
  }
  // 3% of the 1,600 requests would be late without hedges, and a spread of 0.3 makes 4% overdue.
  EXPECT_LE(outcome.Late, 16);
  EXPECT_LE(outcome.Hedges, 120);
}

// Guards against hedges of work that has no tail, where a new attempt gains nothing.
TEST(Hedging, ANarrowDistributionIsHardlyHedged) {
  Harness it{8};
  DrawnWork work{12};
  const Outcome outcome = runRequests(it, work, 3000);
  EXPECT_LE(outcome.Hedges, 6);
  EXPECT_EQ(it.Balancer.counts().ResidualHedges, 0U);
}

// Upstreams slow down and recover while they run requests. Guards against hedges of work that is
// only slow because its upstream is, and against a tail that isn't seen among such work. Without
// the distribution, 23 of the last 800 requests were late.
TEST(Hedging, SlowPhasesAreNoTailAndHideNone) {
  Harness it{8};
  DrawnWork work{14};
  work.HasSlowPhases = true;
  runRequests(it, work, 600);
  EXPECT_LE(it.Balancer.counts().ResidualHedges, 6U);
  work.TailProbability = 0.03;
  runRequests(it, work, 400);
  const Outcome outcome = runRequests(it, work, 800);

  EXPECT_LE(outcome.Late, 18);
  EXPECT_LE(outcome.Hedges, 150);
}

// Guards against hedges beyond the retry budget when a long tail calls for many.
TEST(Hedging, HedgesStayWithinTheBudget) {
  Harness it{8};
  it.Balancer.setRetryBudget(0.04, 0, std::chrono::seconds{10});
  DrawnWork work{15};
  work.TailProbability = 0.2;
  const Outcome outcome = runRequests(it, work, 1000);
  EXPECT_GT(outcome.Hedges, 10);
  EXPECT_LE(outcome.Hedges, 41);
}

// Guards against decisions from too few samples: one or two long requests are no tail.
TEST(Hedging, TooFewSamplesLeaveTheFormerRule) {
  WorkEstimate estimate;
  for (int n = 0; n < 45; ++n)
    estimate.addFinished(1, WorkTime, 1);
  EXPECT_FALSE(estimate.meanResidual(1, WorkTime / 2));
  for (int n = 0; n < 100; ++n)
    estimate.addFinished(1, WorkTime, 1);
  estimate.addFinished(1, 20 * WorkTime, 1);
  estimate.addAborted(1, 20 * WorkTime, 1);
  EXPECT_FALSE(estimate.firstWithResidual(1, WorkTime * 3 / 2));
  EXPECT_FALSE(estimate.meanResidual(2, WorkTime));
}

// Guards against a wrong expectation, by the two distributions whose residuals are known: that of
// an exponential distribution is its mean at any time, also if half of the attempts were aborted.
TEST(Hedging, TheMeanResidualIsThatOfTheDistribution) {
  for (const bool areAborted : {false, true}) {
    WorkEstimate estimate;
    Random rng{3};
    std::exponential_distribution<double> draw{1 / toSeconds(WorkTime)};
    for (int n = 0; n < 4000; ++n) {
      const double work = draw(rng.engine());
      const double abortedAt = draw(rng.engine());
      const double slowness = 1 + n % 2;
      if (areAborted && abortedAt < work)
        estimate.addAborted(1, fromSeconds(abortedAt), slowness);
      else
        estimate.addFinished(1, fromSeconds(work), slowness);
    }
    for (const int quarters : {0, 2, 4, 6}) {
      const auto residual = estimate.meanResidual(1, WorkTime * quarters / 4);
      ASSERT_TRUE(residual);
      EXPECT_NEAR(toSeconds(*residual), toSeconds(WorkTime), 0.25 * toSeconds(WorkTime))
          << areAborted << quarters;
    }
  }
}

// An upstream answers health checks but none of the requests. Guards against requests that wait for
// it until their deadline, and against sending it as many as before.
TEST(Hedging, AnUpstreamThatNeverAnswersIsAbandonedAndAvoided) {
  Harness it{5};
  DrawnWork work{13};
  work.TailProbability = 0.03;
  runRequests(it, work, 300);
  const CallId id = it.arrive();
  const SendRequest first = it.firstSendOf(id);
  const std::uint64_t overtaken = it.Balancer.counts().OvertakenAttempts;
  while (it.sendsOf(id).size() < 2 && !it.Refused.contains(id))
    it.advance(std::chrono::milliseconds{5});
  ASSERT_EQ(it.sendsOf(id).size(), 2U);
  it.advance(WorkTime);
  it.respond(it.sendsOf(id)[1], ResponseKind::Success);
  EXPECT_EQ(it.Aborted.back(), first.Attempt);
  EXPECT_EQ(it.Balancer.counts().OvertakenAttempts, overtaken + 1);
  for (int n = 0; n < 10; ++n) {
    it.advance(std::chrono::milliseconds{60});
    const CallId next = it.arrive();
    EXPECT_NE(it.firstSendOf(next).Upstream, first.Upstream);
    it.respond(it.firstSendOf(next), ResponseKind::Success);
  }
}

} // namespace wigeonlift
