#include <Services/Gateway/StopPlan.h>

#include <gtest/gtest.h>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

} // namespace

// Guards against a request that is taken late in a graceful stop and ends with the process: on
// kapokki-gw-grown scale-2 one that came 4.3 s after SIGTERM was closed without an answer at 5.7 s.
TEST(StopPlan, AnswersLeaveBeforeTheEnd) {
  StopPlan plan;
  plan.begin(Start, 6s);
  EXPECT_FALSE(plan.refusesNew(Start + 2900ms));
  EXPECT_TRUE(plan.refusesNew(Start + 3s));
  EXPECT_LT(plan.answersDue(), plan.end());
  EXPECT_LT(plan.end(), Start + 6s);
}

// Guards against times that fit one grace time only: a stop must neither take requests that come
// too late to end with it, nor break off work before the last sixth of its time.
TEST(StopPlan, FitsAnyGraceTime) {
  for (const Duration grace : {500ms, 1000ms, 2000ms, 6000ms, 10000ms, 60000ms}) {
    StopPlan plan;
    plan.begin(Start, grace);
    EXPECT_LE(plan.refuseFrom(), Start + std::min<Duration>(grace / 2, 3s));
    EXPECT_GT(plan.answersDue(), Start + grace * 5 / 6);
    EXPECT_LT(plan.answersDue(), plan.end());
    EXPECT_LT(plan.end(), plan.lastEnd());
    EXPECT_LT(plan.lastEnd(), Start + grace);
  }
}

// Guards against limits on requests while nothing stops.
TEST(StopPlan, ChangesNothingBefore) {
  const StopPlan plan;
  EXPECT_FALSE(plan.isStopping());
  EXPECT_FALSE(plan.refusesNew(Start));
  EXPECT_EQ(plan.answersDue(), TimePoint::max());
}
