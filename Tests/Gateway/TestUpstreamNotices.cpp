#include "GatewayFixture.h"

#include <platform/Platform.h>

#include <fmt/format.h>

namespace wigeonlift {

namespace {

FakeReply success(const std::string &attemptId) { return {sealedAnswer(attemptId, "done")}; }

} // namespace

// Guards against requests to an upstream beyond the rate limit that its answers name, and against a
// limit that the caller doesn't get to see.
TEST_F(GatewayFixture, ALimitInAnswersIsKeptAndPassedOn) {
  const auto limited = [](const std::string &attemptId) {
    return FakeReply{sealedAnswer(attemptId, "done", 200, "Server-Limit: 0.2\r\n")};
  };
  PlatformUpstream upstream{Context, "i-1", limited};
  PlatformUpstream other{Context, "i-2", success};
  upstream.HealthFields = "Server-Limit: 0.2\r\n";
  configure({&upstream, &other});
  bool sawLimit = false;
  for (int n = 0; n < 20; ++n) {
    const auto caller = ask(callerRequest("GET", "/look/1", fmt::format("attempt-{}", n)));
    EXPECT_EQ(statusOf(*caller), 200);
    sawLimit |= caller->header("Server-Limit") == "0.2";
  }
  EXPECT_LE(upstream.requests().size(), 1U);
  EXPECT_EQ(sawLimit, !upstream.requests().empty());
}

// Guards against callers who wait in vain although all upstreams have said that they take nothing.
TEST_F(GatewayFixture, RequestsAreRefusedAtOnceWhileAllLimitsAreUsedUp) {
  PlatformUpstream upstream{Context, "i-1", success};
  upstream.HealthFields = "Server-Limit: 0\r\n";
  configure({&upstream});
  ask(callerRequest("GET", "/look/1", "attempt-1"));
  const auto caller = ask(callerRequest("GET", "/look/1", "attempt-2"));
  EXPECT_EQ(statusOf(*caller), 503);
  EXPECT_FALSE(caller->header("Retry-After").empty());
  EXPECT_TRUE(upstream.requests().empty());
}

// Guards against a limit that can't be read and yet keeps requests away or ends the process.
TEST_F(GatewayFixture, LimitsThatCannotBeReadChangeNothing) {
  PlatformUpstream upstream{Context, "i-1", success};
  configure({&upstream});
  const std::vector<std::string> fields{
      "Server-Limit: -1\r\n", "Server-Limit: nan\r\n", "Server-Limit: \r\n",
      "Server-Limit: 1" + std::string(400, '0') + "\r\n", "Server-Limit: 0\r\nServer-Limit: 0\r\n"};
  for (const std::string &it : fields) {
    upstream.HealthFields = it;
    const auto caller = ask(callerRequest("GET", "/look/1", "attempt-1"));
    EXPECT_EQ(statusOf(*caller), 200) << it;
  }
}

// Guards against requests to an upstream that has said in a response that it is leaving, while its
// record in the store still says that it is ready, or says so again.
TEST_F(GatewayFixture, UpstreamsThatLeaveGetNoMoreRequests) {
  const auto leaving = [](const std::string &attemptId) {
    return FakeReply{sealedAnswer(attemptId, "done", 200, "Server-Leaving: 1\r\n")};
  };
  PlatformUpstream upstream{Context, "i-1", leaving};
  configure({&upstream});
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", "attempt-1"))), 200);
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", "attempt-2"))), 503);
  PlatformUpstream other{Context, "i-2", success};
  configure({&upstream, &other});
  for (int n = 3; n < 10; ++n)
    EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", fmt::format("attempt-{}", n)))), 200);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

// Guards against a health check that tells that its upstream is leaving and isn't heard.
TEST_F(GatewayFixture, AnUpstreamThatLeavesByItsHealthCheckGetsNoRequest) {
  PlatformUpstream upstream{Context, "i-1", success};
  upstream.HealthFields = "Server-Leaving: 1\r\n";
  configure({&upstream});
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", "attempt-1"))), 503);
  EXPECT_TRUE(upstream.requests().empty());
}

// Guards against an earlier tenant of an address, or a second copy of an earlier answer, by which a
// healthy upstream is taken for one that leaves.
TEST_F(GatewayFixture, OnlyItsOwnAnswersSayThatAnUpstreamLeaves) {
  int arrivals = 0;
  const auto answers = [&](const std::string &attemptId) -> FakeReply {
    if (arrivals++ == 0)
      return {sealedAnswer("earlier", "", 200, "Server-Leaving: 1\r\n") +
              sealedAnswer(attemptId, "done")};
    return {sealedAnswer(attemptId, "done")};
  };
  PlatformUpstream upstream{Context, "i-1", answers};
  configure({&upstream});
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", "attempt-1"))), 200);
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", "attempt-2"))), 200);
}

// Guards against requests to an upstream that has turned one away and asked for time, although it
// would take them.
TEST_F(GatewayFixture, UpstreamsThatAskForTimeGetIt) {
  int arrivals = 0;
  const auto rejectsFirst = [&](const std::string &attemptId) -> FakeReply {
    if (arrivals++ > 0)
      return success(attemptId);
    return {fmt::format("HTTP/1.1 503 X\r\nContent-Length: 0\r\nRetry-After: 30\r\n{}: {}\r\n"
                        "{}: full\r\n\r\n",
                        platform::AttemptIdHeader, attemptId, platform::NotExecutedHeader)};
  };
  PlatformUpstream upstream{Context, "i-1", rejectsFirst};
  configure({&upstream});
  for (int n = 0; n < 5; ++n) {
    const auto caller = ask(callerRequest("POST", "/record/1", fmt::format("attempt-{}", n), "x"));
    EXPECT_EQ(statusOf(*caller), 503);
    EXPECT_FALSE(caller->header("Retry-After").empty());
  }
  EXPECT_EQ(upstream.requests().size(), 1U);
}

/// An upstream's statement that it wants nothing from this VM for some time.
FakeReply staysAway(const std::string &attemptId) {
  return {fmt::format("HTTP/1.1 503 X\r\nContent-Length: 0\r\nRetry-After: 20\r\n{}: {}\r\n"
                      "{}: full\r\n\r\n",
                      platform::AttemptIdHeader, attemptId, platform::NotExecutedHeader)};
}

// Guards against requests to an upstream that has told this VM to stay away, once an evacuation of
// its data centre ends.
TEST_F(GatewayFixture, AnEvacuationDoesNotEndATimeToStayAway) {
  PlatformUpstream upstream{Context, "i-1", staysAway};
  configure({&upstream});
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", "attempt-1"))), 503);
  learnEvacuations({{"a", true}});
  learnEvacuations({{"a", false}});
  for (int n = 0; n < 4; ++n)
    EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", fmt::format("later-{}", n)))), 503);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

// Guards against a time to stay away that is lost because the answer with it arrives while the
// upstream isn't listed, or once it is listed again.
TEST_F(GatewayFixture, AnAnswerOfBeforeAnEvacuationCounts) {
  for (const std::string id : {"i-1", "i-2"}) {
    const bool isTakenBackBefore = id == "i-2";
    PlatformUpstream upstream{Context, id, [](const std::string &attemptId) -> FakeReply {
                                return {.Bytes = staysAway(attemptId).Bytes,
                                        .Delay = std::chrono::milliseconds{200}};
                              }};
    configure({&upstream});
    const auto caller = connect();
    caller->send(callerRequest("GET", "/look/1", "attempt-1"));
    runUntil([&] { return upstream.requests().size() == 1; });
    learnEvacuations({{"a", true}});
    if (isTakenBackBefore)
      learnEvacuations({{"a", false}});
    runUntil([&] { return caller->hasAnswer(); });
    if (!isTakenBackBefore)
      learnEvacuations({{"a", false}});
    for (int n = 0; n < 4; ++n)
      EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", fmt::format("later-{}", n)))), 503);
    EXPECT_EQ(upstream.requests().size(), 1U) << isTakenBackBefore;
    removeEntry(upstream);
  }
}

// Guards against the same once the upstream's entry is back that was away for a moment, and against
// an upstream that gets nothing although it has started again and knows nothing of before.
TEST_F(GatewayFixture, AnEntryThatWasAwayDoesNotEndATimeToStayAway) {
  PlatformUpstream upstream{Context, "i-1", staysAway};
  configure({&upstream});
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", "attempt-1"))), 503);
  removeEntry(upstream);
  rewrite(upstream, "0ms");
  for (int n = 0; n < 4; ++n)
    EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", fmt::format("later-{}", n)))), 503);
  EXPECT_EQ(upstream.requests().size(), 1U);
  rewrite(upstream, "0ms", 2);
  ask(callerRequest("GET", "/look/1", "after its start"));
  EXPECT_EQ(upstream.requests().size(), 2U);
}

} // namespace wigeonlift
