#include <Services/Gateway/CallerWait.h>

#include <gtest/gtest.h>

using namespace wigeonlift;
using namespace std::chrono_literals;

// Callers of a route whose deadlines differ. Guards against requests that are refused early or sent
// late because their callers seem to have waited.
TEST(CallerWait, CallersWithAShorterDeadlineHaveNotWaited) {
  CallerWait waits;
  EXPECT_EQ(waits.waitedBefore("look", 2500ms), 0ms);
  EXPECT_EQ(waits.waitedBefore("look", 2100ms), 0ms);
  EXPECT_EQ(waits.waitedBefore("other", 900ms), 0ms);
}

// Guards against callers in their second attempt that are served as if they had just come.
TEST(CallerWait, CallersInALaterAttemptHaveWaited) {
  CallerWait waits;
  waits.waitedBefore("look", 2500ms);
  EXPECT_EQ(waits.waitedBefore("look", 1800ms), 700ms);
}
