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
  EXPECT_LT(plan.deadline(Start + 2900ms + 10s), plan.end());
  EXPECT_LT(plan.end(), Start + 6s);
  EXPECT_EQ(plan.deadline(Start + 4s), Start + 4s);
}

// Guards against limits on requests while nothing stops.
TEST(StopPlan, ChangesNothingBefore) {
  const StopPlan plan;
  EXPECT_FALSE(plan.isStopping());
  EXPECT_FALSE(plan.refusesNew(Start));
  EXPECT_EQ(plan.deadline(Start + 10s), Start + 10s);
}
