#include "GatewayFixture.h"

#include <Services/Gateway/StartPlan.h>

#include <chrono>

namespace wigeonlift {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{100s};

FakeReply success(const std::string &attemptId) { return {sealedAnswer(attemptId, "done")}; }

} // namespace

// The return of a whole fleet. Guards against callers who are sent away although the configuration
// is about to arrive, and against callers who wait for one that doesn't.
TEST(StartPlan, WaitsOnlyShortlyAfterTheStart) {
  const StartPlan plan{Start};
  EXPECT_EQ(plan.waitEnd(Start + 100ms, 2s), Start + 600ms);
  EXPECT_EQ(plan.waitEnd(Start + 100ms, 20s), Start + 1s);
  EXPECT_LT(plan.waitEnd(Start + 2s, 20s), Start + 2s);
}

// Guards against a refusal of a request that could be served a moment later.
TEST_F(GatewayFixture, ARequestWaitsForTheFirstConfiguration) {
  PlatformUpstream upstream{Context, "i-1", success};
  const auto caller = connect();
  caller->send(callerRequest("GET", "/look/1", "attempt-1"));
  const auto end = std::chrono::steady_clock::now() + 50ms;
  runUntil([&] { return std::chrono::steady_clock::now() > end; });
  EXPECT_TRUE(caller->Received.empty());
  configure({&upstream});
  runUntil([&] { return caller->hasAnswer(); });
  EXPECT_EQ(statusOf(*caller), 200);
}

} // namespace wigeonlift
