#include <LibRouting/LibRouting.h>

#include <gtest/gtest.h>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {
constexpr Duration Life = 2500ms;
constexpr TimePoint Start = TimePoint{} + 10s;
} // namespace

// Guards against a late answer to an old request renewing the right to send work.
TEST(SendPermission, ExpiresWithTheEvidence) {
  SendPermission right;
  EXPECT_FALSE(right.isValid(Start, Life));
  right.didReportAccepting(Start);
  right.didReportAccepting(Start - 1s);
  EXPECT_TRUE(right.isValid(Start + Life - 1ns, Life));
  EXPECT_FALSE(right.isValid(Start + Life, Life));
}

// Guards against evidence that was requested before a drain undoing the drain.
TEST(SendPermission, DrainOverridesOlderEvidence) {
  SendPermission right;
  right.didReportAccepting(Start);
  right.didDrain(Start + 10ms, Start + 50ms);
  right.didReportAccepting(Start + 40ms);
  EXPECT_FALSE(right.isValid(Start + 60ms, Life));
  right.didReportAccepting(Start + 60ms);
  EXPECT_TRUE(right.isValid(Start + 61ms, Life));
}

// Guards against an old rumour of a drain stopping an upstream that has been replaced since.
TEST(SendPermission, OldRumourOfDrainIsIgnored) {
  SendPermission right;
  right.didReportAccepting(Start);
  EXPECT_FALSE(right.didPeerReportDraining(Start - 1s, Start + 1ms));
  EXPECT_TRUE(right.isValid(Start + 1ms, Life));
  EXPECT_TRUE(right.didPeerReportDraining(Start, Start + 2ms));
  EXPECT_FALSE(right.isValid(Start + 2ms, Life));
}
