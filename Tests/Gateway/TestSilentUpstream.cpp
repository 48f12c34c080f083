#include "GatewayFixture.h"

#include <fmt/format.h>

namespace wigeonlift {

// Some upstreams never answer what they can't queue, though they answer health checks. Guards
// against requests that wait for such an upstream until their deadline, against connections that
// stay open with them, and against choosing it as often as before.
TEST_F(GatewayFixture, AnUpstreamThatNeverAnswersIsAbandonedAndAvoided) {
  PlatformUpstream silent{Context, "i-1", [](const std::string &) { return FakeReply{}; }};
  std::vector<std::unique_ptr<PlatformUpstream>> good;
  std::vector<const PlatformUpstream *> all{&silent};
  for (int n = 2; n <= 4; ++n) {
    good.push_back(std::make_unique<PlatformUpstream>(
        Context, fmt::format("i-{}", n), [](const std::string &id) -> FakeReply {
          return {.Bytes = sealedAnswer(id, "found"), .Delay = std::chrono::milliseconds{50}};
        }));
    all.push_back(good.back().get());
  }
  configure(all);
  const auto look = [&](int n) {
    const auto caller = ask(callerRequest("GET", "/look/1", fmt::format("attempt-{}", n)));
    EXPECT_EQ(statusOf(*caller), 200) << n;
    // Load reports are out of date by then, so both upstreams are asked again.
    bool isOver = false;
    boost::asio::steady_timer pause{Context, std::chrono::milliseconds{30}};
    pause.async_wait([&](const boost::system::error_code &) { isOver = true; });
    runUntil([&] { return isOver; });
  };
  int n = 0;
  while (silent.requests().empty() && n < 100)
    look(++n);
  ASSERT_EQ(silent.requests().size(), 1U);
  runUntil([&] { return silent.closedConnections() > 0; });
  EXPECT_EQ(Core.services().begin()->second->balancer().counts().OvertakenAttempts, 1U);
  for (int m = 0; m < 10; ++m)
    look(++n);
  EXPECT_EQ(silent.requests().size(), 1U);
}

} // namespace wigeonlift
