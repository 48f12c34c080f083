#include "DispatcherFixture.h"

#include <iostream>

using namespace wigeonlift;
using namespace wigeonlift::test;

namespace {

/// A chain of services, each with its own dispatcher. The last one fails at random. No level marks
/// a failure as one of its dependency, which is the worst case for retries.
class Chain {
public:
  Chain(int levels, double retryPercent, double hedgePercent, double failureRate)
      : FailureRate(failureRate) {
    auto catalogue = makeCatalogue();
    catalogue->Services[0].RetryPercent = retryPercent;
    catalogue->Services[0].HedgePercent = hedgePercent;
    for (int n = 0; n < levels; ++n)
      Levels.push_back(std::make_unique<DispatcherFixture<>>(8, catalogue));
  }

  /// Sends a call to the service at a level, which may add `extraAttempts` attempts together with
  /// the levels below. Returns the HTTP status of the response.
  int call(std::size_t level, int extraAttempts) {
    if (level == Levels.size()) {
      ++LastLevelCalls;
      return Rng.unit() < FailureRate ? 500 : 200;
    }
    DispatcherFixture<> &it = *Levels[level];
    it.Now += 10ms;
    it.permitAll();
    it.arrive(CallClass::Idempotent, 2s, extraAttempts);
    while (it.count<StartAttempt>() > 0) {
      const auto start = it.take<StartAttempt>();
      EXPECT_TRUE(it.Dispatcher.mayWrite(start.Attempt, it.Now, it.Out));
      const int status = call(level + 1, start.ExtraAttempts);
      it.answer(start.Attempt, {status, false, false, IdleReport});
      it.Dispatcher.responseFinished(start.Attempt, it.Now, it.Out);
      if (it.count<RelayResponse>() > 0)
        return it.Out.clear(), status;
    }
    it.Out.clear();
    return 503;
  }

  int LastLevelCalls = 0;

private:
  double FailureRate;
  Random Rng{1};
  std::vector<std::unique_ptr<DispatcherFixture<>>> Levels;
};

} // namespace

// Guards against a retry storm at the last level, when the retries of 16 levels multiply. Seed 1.
TEST(Chain, SixteenLevelsAddAtMostAFifthAtTheLast) {
  Chain chain(16, 0.625, 0.5, 0.3);
  constexpr int calls = 5000;
  for (int n = 0; n < calls; ++n)
    chain.call(0, 1 << 20);
  std::cout << "seed 1: the last level got " << chain.LastLevelCalls << " of " << calls
            << " calls\n";
  EXPECT_GT(chain.LastLevelCalls, calls);
  EXPECT_LE(chain.LastLevelCalls, 1.2 * calls);
}

// Guards against the extra attempts that a caller permits being used more than once in the call
// tree.
TEST(Chain, ExtraAttemptsAreConserved) {
  Chain chain(4, 1000, 0, 1);
  for (int n = 0; n < 100; ++n) {
    const int callsBefore = chain.LastLevelCalls;
    chain.call(0, 4);
    ASSERT_LE(chain.LastLevelCalls - callsBefore, 5);
  }
  EXPECT_GT(chain.LastLevelCalls, 300);
}
