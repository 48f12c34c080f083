#include <Tests/LibBalance/Harness.h>

#include <cmath>
#include <random>

namespace wigeonlift {

namespace {

/// Upstreams whose work times are drawn: lognormal with a spread of 0.3, and `TailFactor` times as
/// long with the probability `TailProbability`.
class DrawnWork {
public:
  double TailProbability = 0;
  double TailFactor = 7;

  explicit DrawnWork(std::uint64_t seed) : Rng(seed) {}

  Duration draw() {
    std::lognormal_distribution<double> body{0, 0.3};
    const double factor = body(Rng.engine());
    return fromSeconds(toSeconds(WorkTime) * factor *
                       (Rng.unit() < TailProbability ? TailFactor : 1));
  }

private:
  Random Rng;
};

struct Outcome {
  int Requests = 0;
  int Hedges = 0;
  int Late = 0;
};

/// Sends requests one after the other and responds to each attempt after its drawn time.
Outcome runRequests(Harness &it, DrawnWork &work, int count) {
  Outcome outcome{.Requests = count};
  for (int n = 0; n < count; ++n) {
    RequestSpec spec = it.spec();
    spec.Objective = it.Now + WorkTime * 10 / 3;
    spec.Deadline = it.Now + 30 * WorkTime;
    const CallId id = it.arrive(spec);
    std::vector<TimePoint> ends;
    const auto knowEnds = [&] {
      while (ends.size() < it.sendsOf(id).size())
        ends.push_back(it.Now + work.draw());
    };
    knowEnds();
    auto next = std::ranges::min_element(ends);
    while (it.Now < *next) {
      it.advance(std::min<Duration>(*next - it.Now, std::chrono::milliseconds{1}));
      knowEnds();
      next = std::ranges::min_element(ends);
    }
    outcome.Hedges += static_cast<int>(ends.size()) - 1;
    outcome.Late += it.Now > spec.Objective ? 1 : 0;
    it.respond(it.sendsOf(id).at(static_cast<std::size_t>(next - ends.begin())),
               ResponseKind::Success);
    it.Sent.clear();
    it.advance(std::chrono::milliseconds{60});
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
    EXPECT_LE(outcome.Hedges, 60) << round;
  }
  EXPECT_GT(it.Balancer.counts().ResidualHedges, 60U);
}

// Guards against hedges of work that has no tail, where a new attempt gains nothing.
TEST(Hedging, ANarrowDistributionIsHardlyHedged) {
  Harness it{8};
  DrawnWork work{12};
  const Outcome outcome = runRequests(it, work, 3000);
  EXPECT_LE(outcome.Hedges, 6);
  EXPECT_EQ(it.Balancer.counts().ResidualHedges, 0U);
}

// Guards against decisions from too few samples: one or two long requests are no tail.
TEST(Hedging, TooFewSamplesLeaveTheFormerRule) {
  WorkEstimate estimate;
  for (int n = 0; n < 45; ++n)
    estimate.addSample(1, WorkTime, 1, 0);
  EXPECT_FALSE(estimate.meanResidual(1, WorkTime / 2));
  for (int n = 0; n < 100; ++n)
    estimate.addSample(1, WorkTime, 1, 0);
  estimate.addSample(1, 20 * WorkTime, 1, 0);
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
        estimate.addAborted(1, fromSeconds(slowness * abortedAt), slowness);
      else
        estimate.addSample(1, fromSeconds(slowness * work), slowness, 0);
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
