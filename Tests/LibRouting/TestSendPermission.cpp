#include <LibRouting/LibRouting.h>

#include <gtest/gtest.h>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {
constexpr Duration Lifetime = 2500ms;
constexpr TimePoint Start = TimePoint{} + 10s;
} // namespace

// Guards against a late answer to an old request renewing the permission to send work.
TEST(SendPermission, ExpiresAfterTheLatestEvidence) {
  SendPermission permission;
  EXPECT_FALSE(permission.isValid(Start, Lifetime));
  permission.didReportAccepting(Start);
  permission.didReportAccepting(Start - 1s);
  EXPECT_TRUE(permission.isValid(Start + Lifetime - 1ns, Lifetime));
  EXPECT_FALSE(permission.isValid(Start + Lifetime, Lifetime));
}

// Guards against evidence that was requested before a drain became known ending the drain.
TEST(SendPermission, DrainOverridesOlderEvidence) {
  SendPermission permission;
  permission.didReportAccepting(Start);
  permission.didReportDraining(Start + 10ms, Start + 50ms);
  permission.didReportAccepting(Start + 40ms);
  EXPECT_FALSE(permission.isValid(Start + 60ms, Lifetime));
  permission.didReportAccepting(Start + 60ms);
  EXPECT_TRUE(permission.isValid(Start + 61ms, Lifetime));
}

// Guards against an outdated drain relayed by a peer taking an upstream out of use that has since
// reported that it accepts work.
TEST(SendPermission, IgnoresAnOldRelayedDrain) {
  SendPermission permission;
  permission.didReportAccepting(Start);
  EXPECT_FALSE(permission.didPeerReportDraining(Start - 1s, Start + 1ms));
  EXPECT_TRUE(permission.isValid(Start + 1ms, Lifetime));
  EXPECT_TRUE(permission.didPeerReportDraining(Start, Start + 2ms));
  EXPECT_FALSE(permission.isValid(Start + 2ms, Lifetime));
}
