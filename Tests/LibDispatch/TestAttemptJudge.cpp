#include <LibDispatch/LibDispatch.h>

#include <LibDispatch/AttemptJudge.h>

#include <gtest/gtest.h>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now = TimePoint{} + 10s;

class AttemptJudgeTest : public testing::Test {
protected:
  AttemptJudgeTest() {
    Table.setLimits({3, 20, 10, 2500ms});
    for (const char *name : {"a", "b", "c"})
      Table[Table.add(name)].IsListed = true;
    Table.updateSubset();
    answer(0, 1, 10ms, 200);
  }

  void answer(std::uint32_t upstream, double turns, Duration latency, int count) {
    for (int n = 0; n < count; ++n) {
      Attempt attempt;
      attempt.Upstream = UpstreamIndex{upstream};
      attempt.SentAt = Now - latency;
      attempt.Turns = {turns, turns, turns};
      AttemptJudge(Table, Hedger, TypicalTurn).didAnswer(attempt, Now);
    }
  }

  UpstreamTable Table{1};
  Hedging Hedger;
  TypicalLatency TypicalTurn;
};

} // namespace

// Guards against an upstream with a long queue being taken for a slow one: the VM then avoids or
// ejects it, and calls crowd on the others.
TEST_F(AttemptJudgeTest, LongQueueIsNotSlowness) {
  answer(1, 10, 100ms, 20);
  EXPECT_NEAR(Table[UpstreamIndex{1}].Health.latencyRatio(), 1, 0.2);
  EXPECT_FALSE(Table[UpstreamIndex{1}].Health.isEjected());
}

// Guards against a straggler that goes unnoticed.
TEST_F(AttemptJudgeTest, LongLatencyBehindAShortQueueIsSlowness) {
  answer(1, 1, 100ms, 20);
  EXPECT_TRUE(Table[UpstreamIndex{1}].Health.isEjected());
}
