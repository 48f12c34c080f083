#include <LibBudget/LibBudget.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

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

// A fleet in which every VM takes each repeat that its budget allows, while the traffic rises and
// falls. Guards against more repeats in a sliding window than its requests permit, or those of a
// window one or one half window earlier: in the fleet, a window that begins in a burst and ends
// after it had as many repeats as one that the burst fills.
TEST(RepeatBudget, TheFleetKeepsItWhereTrafficFalls) {
  constexpr TimePoint start{100s};
  constexpr double ratio = 0.2;
  constexpr double allowance = 56;
  constexpr int vms = 12;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random{seed};
    std::vector<RepeatBudget> budgets(vms, RepeatBudget{start - 1min});
    for (RepeatBudget &it : budgets)
      it.setBounds(ratio, allowance / vms, 10s);
    const Duration burst = fromSeconds(2 + 12 * random.unit());
    const TimePoint repeatsFrom = start + 20s + fromSeconds(random.unit() * toSeconds(burst));
    std::vector<TimePoint> requests;
    std::vector<TimePoint> repeats;
    for (TimePoint now = start; now < start + 60s;) {
      const bool isInBurst = now >= start + 20s && now < start + 20s + burst;
      now += fromSeconds(random.unit() * (isInBurst ? 0.01 : 0.04));
      RepeatBudget &budget = budgets[random.below(vms)];
      budget.didRequest(now);
      requests.push_back(now);
      // A repeat reaches its upstream a little later than it is taken.
      if (now >= repeatsFrom && budget.take(now))
        repeats.push_back(now + fromSeconds(0.3 * random.unit()));
    }
    std::ranges::sort(repeats);
    const auto countIn = [](const std::vector<TimePoint> &times, TimePoint from) {
      return static_cast<double>(std::ranges::lower_bound(times, from + 10s) -
                                 std::ranges::lower_bound(times, from));
    };
    for (const TimePoint from : repeats) {
      const double most = std::max(
          {countIn(requests, from), countIn(requests, from - 5s), countIn(requests, from - 10s)});
      ASSERT_LE(countIn(repeats, from), ratio * most + allowance)
          << "seed " << seed << ", window from " << toSeconds(from - start) << " s";
    }
  }
}

// Guards against a budget that is kept by hardly using it.
TEST(RepeatBudget, MostOfItCanBeUsed) {
  constexpr TimePoint start{100s};
  RepeatBudget budget{start - 1min};
  budget.setBounds(0.2, 0, 10s);
  int taken = 0;
  for (int n = 0; n < 6000; ++n) {
    const TimePoint now = start + n * 10ms;
    budget.didRequest(now);
    taken += budget.take(now) ? 1 : 0;
  }
  EXPECT_GE(taken, 0.85 * 0.2 * 6000);
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
