#include <LibBudget/LibBudget.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {

constexpr Duration Window = 10s;
constexpr double ProbesPerSecond = 5;
constexpr int MaxVms = 6;

/// A process that uses each permit as soon as it is available, but may be paused at any time.
struct Process {
  ProbeShare Share;
  bool HasPermit = false;
  TimePoint PausedUntil{};
};

/// Simulates a fleet of processes that do not communicate, as if each were on its own side of a
/// network partition. Processes are killed and replaced. A replacement may start while the old
/// process still runs, as long as there are at most MaxVms processes.
class PartitionedFleet {
public:
  explicit PartitionedFleet(std::uint64_t seed) : Rng(seed) {}

  std::vector<TimePoint> run(Duration length) {
    for (; Now < TimePoint{} + length; Now += Duration{1 + Rng.below(40'000'000)}) {
      if (Rng.below(500) == 0)
        replaceProcess();
      for (Process &it : Processes)
        advance(it);
    }
    return Writes;
  }

private:
  void replaceProcess() {
    // If there are fewer than MaxVms processes, the old process may run on beside the replacement.
    if (Processes.size() == MaxVms || (!Processes.empty() && Rng.below(3) == 0))
      Processes.erase(Processes.begin() + static_cast<std::ptrdiff_t>(Rng.below(Processes.size())));
    Processes.push_back({ProbeShare(Now), false, Now});
    Processes.back().Share.setBudget(ProbesPerSecond, Window, MaxVms, Now);
  }

  void advance(Process &it) {
    if (Now < it.PausedUntil)
      return;
    if (it.HasPermit) {
      Writes.push_back(Now);
      it.Share.didWrite(Now);
      it.HasPermit = false;
    } else if (it.Share.hasPermit(Now)) {
      it.Share.takePermit();
      it.HasPermit = true;
      if (Rng.below(4) == 0)
        it.PausedUntil = Now + Duration{Rng.below(30'000'000'000)};
    }
  }

  Random Rng;
  TimePoint Now{};
  std::vector<Process> Processes;
  std::vector<TimePoint> Writes;
};

std::size_t maxWritesInWindow(const std::vector<TimePoint> &writes, Duration window) {
  std::size_t maxWrites = 0;
  for (std::size_t first = 0, n = 0; n < writes.size(); ++n) {
    while (writes[n] - writes[first] >= window)
      ++first;
    maxWrites = std::max(maxWrites, n - first + 1);
  }
  return maxWrites;
}

} // namespace

// Guards against a new process using a share that its killed predecessor has already used.
TEST(ProbeShare, WaitsOneWindowAfterStart) {
  ProbeShare share(TimePoint{});
  share.setBudget(28, 10s, 20, TimePoint{});
  EXPECT_EQ(share.probesPerWindow(), 14);
  EXPECT_FALSE(share.hasPermit(TimePoint{} + 9999ms));
  EXPECT_TRUE(share.hasPermit(TimePoint{} + 10s));
}

// Guards against exceeding the fleet's budget because of partitions, pauses between a permit and
// its write, restarts, or replacements that run beside the old process.
TEST(ProbeShare, FleetStaysWithinTheBudgetInEveryWindow) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    const auto writes = PartitionedFleet(seed).run(400s);
    EXPECT_GT(writes.size(), 100U);
    EXPECT_LE(maxWritesInWindow(writes, Window), ProbesPerSecond * toSeconds(Window));
  }
}

// Guards against probes of the old and the new share adding up in one window, also when a probe got
// its permit before the change and was written after it.
TEST(ProbeShare, ChangedShareStartsAfterAnIdleWindow) {
  ProbeShare share(TimePoint{});
  share.setBudget(10, 10s, 10, TimePoint{});
  TimePoint now = TimePoint{} + 20s;
  ASSERT_TRUE(share.hasPermit(now));
  share.takePermit();
  share.setBudget(20, 4s, 10, now);
  share.didWrite(now + 2s);
  EXPECT_FALSE(share.hasPermit(now + 12s - 1ns));
  EXPECT_TRUE(share.hasPermit(now + 12s));
}

// Guards against probes by a VM whose share is less than one probe per window.
TEST(ProbeShare, ShareOfZeroNeverProbes) {
  ProbeShare share(TimePoint{});
  share.setBudget(1, 10s, 20, TimePoint{});
  EXPECT_EQ(share.nextPermit(), TimePoint::max());
  EXPECT_FALSE(share.hasPermit(TimePoint{} + 1h));
}

// Guards against exceeding the budget of one upstream while the service's budget has permits left.
TEST(ServiceProbeBudget, EachUpstreamHasItsOwnShare) {
  ServiceProbeBudget budget(TimePoint{});
  budget.setBudget({10, 0.2, 10s}, 2, TimePoint{});
  budget.growTo(2, TimePoint{});
  const TimePoint now = TimePoint{} + 10s;
  budget.takePermit(UpstreamIndex{0});
  budget.didWrite(UpstreamIndex{0}, now);
  EXPECT_FALSE(budget.hasPermit(UpstreamIndex{0}, now + 5s));
  EXPECT_TRUE(budget.hasPermit(UpstreamIndex{1}, now + 5s));
}

// Guards against extra attempts above the percentage at any time since the first call.
TEST(ExtraAttemptBudget, NeverExceedsThePercentage) {
  ExtraAttemptBudget budget;
  budget.setPercent(8);
  int taken = 0;
  for (int calls = 1; calls <= 1000; ++calls) {
    budget.didStartCall();
    taken += budget.take() ? 1 : 0;
    ASSERT_LE(100 * taken, 8 * calls);
  }
  EXPECT_GE(taken, 79);
}

// Guards against a budget change that shortens the idle time of an earlier change because its
// window is shorter.
TEST(ProbeShare, QuickChangesKeepTheLongestIdleTime) {
  const TimePoint start{};
  ProbeShare share(start);
  share.setBudget(ProbesPerSecond, 60s, MaxVms, start);
  const TimePoint changedAt = start + 61s;
  share.setBudget(ProbesPerSecond, 5s, MaxVms, changedAt);
  share.setBudget(ProbesPerSecond, 2s, MaxVms, changedAt + 1s);
  EXPECT_FALSE(share.hasPermit(changedAt + 60s - 1ns));
  EXPECT_TRUE(share.hasPermit(changedAt + 60s));
}

// Guards against a rate limit that admits more than its rate after an idle time, and against a
// predicted time that is earlier or later than the time at which the token becomes available.
TEST(RateLimit, KeepsTheRateAndPredictsTokens) {
  RateLimit limit;
  limit.setRate(10, TimePoint{});
  const TimePoint now = TimePoint{} + 1h;
  EXPECT_TRUE(limit.take(now));
  EXPECT_FALSE(limit.take(now));
  const TimePoint nextReadyAt = limit.readyAt(0);
  const TimePoint thirdReadyAt = limit.readyAt(2);
  // The burst left 0.1 tokens.
  EXPECT_NEAR(toSeconds(nextReadyAt - now), 0.09, 1e-6);
  EXPECT_FALSE(limit.take(nextReadyAt - 10ns));
  EXPECT_TRUE(limit.take(nextReadyAt));
  EXPECT_TRUE(limit.take(limit.readyAt(0)));
  EXPECT_FALSE(limit.take(thirdReadyAt - 10ns));
  EXPECT_TRUE(limit.take(thirdReadyAt + 10ns));
  EXPECT_FALSE(limit.take(thirdReadyAt + 10ns));
}

// Guards against predicting tokens from a loaned rate after the loan has expired, and against a
// finite wait at a rate of zero.
TEST(RateLimit, PredictsTokensAcrossARateChange) {
  RateLimit limit;
  limit.setRate(20, TimePoint{});
  const TimePoint now = TimePoint{} + 1h;
  limit.setRate(20, now);
  EXPECT_TRUE(limit.take(now));
  EXPECT_TRUE(limit.take(now));
  // The burst left 0.2 tokens. The 100 ms at 20 calls per second add 2 tokens, so the second token
  // is available after 90 ms. The rate is then 5 calls per second, as after the expiry of a loan,
  // and the third token follows 160 ms after the change.
  EXPECT_NEAR(toSeconds(limit.readyAt(1, now + 100ms, 5) - now), 0.09, 1e-6);
  EXPECT_NEAR(toSeconds(limit.readyAt(2, now + 100ms, 5) - now), 0.26, 1e-6);
  EXPECT_EQ(limit.readyAt(2, now + 100ms, 0), TimePoint::max());
}
