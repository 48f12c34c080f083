#include <LibBudget/LibBudget.h>

#include <gtest/gtest.h>

#include <deque>

using namespace wigeonlift;
using namespace std::chrono_literals;

// Guards against a sliding window with more repeats than the ratio of its requests and the
// allowance permit.
TEST(RepeatBudget, HoldsInEverySlidingWindow) {
  constexpr TimePoint start{100s};
  RepeatBudget budget{start - 1min};
  budget.setBounds(0.2, 4, 10s);
  Random random{5};
  std::deque<TimePoint> requests;
  std::deque<TimePoint> repeatTimes;
  TimePoint now = start;
  for (int n = 0; n < 20'000; ++n) {
    now += fromSeconds(random.unit() * (n / 2000 % 2 == 0 ? 0.01 : 0.1));
    budget.didRequest(now);
    requests.push_back(now);
    if (random.unit() < 0.5 && budget.take(now))
      repeatTimes.push_back(now);
    while (!requests.empty() && now - requests.front() >= 10s)
      requests.pop_front();
    while (!repeatTimes.empty() && now - repeatTimes.front() >= 10s)
      repeatTimes.pop_front();
    ASSERT_LE(static_cast<double>(repeatTimes.size()),
              0.2 * static_cast<double>(requests.size()) + 4);
  }
}

// Guards against a restarted process using the allowance a second time.
TEST(RepeatBudget, AllowanceStartsOneWindowAfterStart) {
  constexpr TimePoint start{100s};
  RepeatBudget budget{start};
  budget.setBounds(0.2, 10, 10s);
  EXPECT_FALSE(budget.hasRoom(start + 9s));
  EXPECT_TRUE(budget.hasRoom(start + 10s));
}

// Guards against a mean rate above the limit, and against losing saved tokens.
TEST(TokenBucket, BoundsMeanRateAndKeepsSavedTokens) {
  constexpr TimePoint start{100s};
  TokenBucket bucket;
  bucket.setRate(10, 4s, start);
  int taken = 0;
  for (int ms = 0; ms < 20'000; ++ms)
    taken += bucket.take(start + std::chrono::milliseconds{ms}) ? 1 : 0;
  EXPECT_LE(taken, 10 * 24);
  EXPECT_GE(taken, 10 * 23);
}
