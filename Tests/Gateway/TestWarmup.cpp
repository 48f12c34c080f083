#include "GatewayFixture.h"

#include <fmt/format.h>

namespace wigeonlift {

namespace {

FakeReply success(const std::string &attemptId) { return {sealedAnswer(attemptId, "done")}; }

} // namespace

// Guards against a health answer that says that its upstream is cold and counts only after it has
// caused a request, and against callers who wait although cold upstreams have no room.
TEST_F(GatewayFixture, ColdUpstreamsGetNoMoreThanTheirRate) {
  PlatformUpstream upstream{Context, "i-1", success};
  upstream.HealthFields = "X-Wigeonlift-Warmup-Remaining: 60000\r\n";
  configure({&upstream});
  limitWarmups(0.2);
  int refused = 0;
  for (int n = 0; n < 10; ++n) {
    const auto caller = ask(callerRequest("GET", "/look/1", fmt::format("attempt-{}", n)));
    refused += statusOf(*caller) == 503 && !caller->header("Retry-After").empty() ? 1 : 0;
  }
  EXPECT_LE(upstream.requests().size(), 1U);
  EXPECT_GE(refused, 9);
}

// Guards against entries that are rewritten with another warm-up and aren't passed on because
// nothing else has changed, and against deployments that don't ask for the limit but are limited.
TEST_F(GatewayFixture, RewrittenEntriesBeginAndEndAWarmup) {
  PlatformUpstream upstream{Context, "i-1", success};
  configure({&upstream});
  const auto served = [&](int count) {
    int result = 0;
    for (int n = 0; n < count; ++n)
      result += statusOf(*ask(callerRequest("GET", "/look/1", "attempt-1"))) == 200 ? 1 : 0;
    return result;
  };
  rewrite(upstream, "60s");
  EXPECT_EQ(served(5), 5);
  limitWarmups(0);
  EXPECT_EQ(served(5), 5);
  rewrite(upstream, "0ms");
  limitWarmups(0.2);
  EXPECT_EQ(served(5), 5);
  rewrite(upstream, "60s");
  EXPECT_LE(served(5), 1);
  rewrite(upstream, "0ms");
  EXPECT_EQ(served(5), 5);
}

} // namespace wigeonlift
