#include "GatewayFixture.h"

#include <platform/Platform.h>

#include <fmt/format.h>

#include <algorithm>

namespace wigeonlift {

namespace {

FakeReply success(const std::string &attemptId) { return {sealedAnswer(attemptId, "done")}; }
FakeReply rejection(const std::string &attemptId) { return {notExecutedAnswer(attemptId)}; }
FakeReply brokenConnection(const std::string &) { return {.Bytes = "", .Closes = true}; }

} // namespace

// Guards against a request that reaches an upstream without the time that is left or the upstream's
// identity, or with another path or body, and against an answer that reaches the caller changed.
TEST_F(GatewayFixture, PassesRequestsAndAnswersOn) {
  PlatformUpstream upstream{Context, "i-1", success};
  configure({&upstream});
  const auto caller = ask(callerRequest("POST", "/record/1?q=%2F", "attempt-1", "a belt"));
  EXPECT_EQ(statusOf(*caller), 200);
  EXPECT_EQ(caller->body(), "done");
  EXPECT_EQ(caller->header(platform::SealHeader), "seal-attempt-1");
  ASSERT_EQ(upstream.requests().size(), 1U);
  const std::string request = upstream.requests()[0];
  EXPECT_TRUE(request.starts_with("POST /record/1?q=%2F HTTP/1.1\r\n")) << request;
  EXPECT_TRUE(request.ends_with("\r\n\r\na belt")) << request;
  EXPECT_NE(request.find("X-Wigeonlift-Expected-Instance: i-1\r\n"), std::string::npos);
  const std::size_t n = request.find("X-Wigeonlift-Deadline-Remaining: ");
  ASSERT_NE(n, std::string::npos);
  EXPECT_LE(std::stoi(request.substr(n + 33)), 1500);
}

// Guards against a promotion that runs twice because its upstream broke off without an answer.
TEST_F(GatewayFixture, AnUnsafeRequestWithoutAnAnswerIsNotRepeated) {
  PlatformUpstream first{Context, "i-1", brokenConnection};
  PlatformUpstream second{Context, "i-2", brokenConnection};
  configure({&first, &second});
  const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
  EXPECT_EQ(statusOf(*caller), 502);
  EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

// Guards against a promotion that fails although an upstream said that it had not run it.
TEST_F(GatewayFixture, AnUnsafeRequestThatWasNotRunGoesElsewhere) {
  int arrivals = 0;
  const auto rejectsFirst = [&](const std::string &attemptId) {
    return arrivals++ == 0 ? rejection(attemptId) : success(attemptId);
  };
  PlatformUpstream first{Context, "i-1", rejectsFirst};
  PlatformUpstream second{Context, "i-2", rejectsFirst};
  configure({&first, &second});
  const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
  EXPECT_EQ(statusOf(*caller), 200);
  EXPECT_EQ(first.requests().size(), 1U);
  EXPECT_EQ(second.requests().size(), 1U);
}

// Guards against a refusal that says nothing of when to come back, or that hides that nothing ran.
TEST_F(GatewayFixture, ARequestThatNoUpstreamRanIsRefused) {
  PlatformUpstream first{Context, "i-1", rejection};
  PlatformUpstream second{Context, "i-2", rejection};
  configure({&first, &second});
  const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
  EXPECT_EQ(statusOf(*caller), 503);
  EXPECT_FALSE(caller->header("Retry-After").empty());
  EXPECT_EQ(first.requests().size() + second.requests().size(), 2U);
}

// Guards against an answer of somebody else's: a second answer to an earlier request arrives where
// the next one's is due.
TEST_F(GatewayFixture, AForeignAnswerIsNeverShown) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &attemptId) -> FakeReply {
                              return {sealedAnswer("earlier", "not yours") +
                                      sealedAnswer(attemptId, "yours")};
                            }};
  configure({&upstream});
  const auto caller = ask(callerRequest("GET", "/look/1", "attempt-1"));
  EXPECT_EQ(statusOf(*caller), 200);
  EXPECT_EQ(caller->body(), "yours");
  // The connection has shown that it is out of step.
  runUntil([&] { return upstream.closedConnections() > 0; });
}

// Guards against a promotion that runs twice, or is said not to have run, because a late second
// copy of the rejection of a health check arrives where its answer is due.
TEST_F(GatewayFixture, ARejectionWithoutTheRequestsIdProvesNothing) {
  const auto rejectsEarlierCheck = [](const std::string &attemptId) -> FakeReply {
    return {fmt::format("HTTP/1.1 503 X\r\nContent-Length: 0\r\n{}: full\r\n\r\n",
                        platform::NotExecutedHeader) +
            sealedAnswer(attemptId, "done")};
  };
  PlatformUpstream first{Context, "i-1", rejectsEarlierCheck};
  PlatformUpstream second{Context, "i-2", rejectsEarlierCheck};
  configure({&first, &second});
  const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
  EXPECT_EQ(statusOf(*caller), 502);
  EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

// A faulty upstream sends an earlier refusal once more on a kept connection. Guards against a
// caller who is told that its request has not run, and against a second run, while the upstream
// runs it.
TEST_F(GatewayFixture, ARefusalThatIsSentOnceMoreProvesNothing) {
  int arrivals = 0;
  const auto repeatsRefusal = [&](const std::string &attemptId) -> FakeReply {
    if (arrivals++ == 0)
      return {notExecutedAnswer(attemptId)};
    return {notExecutedAnswer("attempt-1") + sealedAnswer(attemptId, "done")};
  };
  PlatformUpstream upstream{Context, "i-1", repeatsRefusal};
  configure({&upstream});
  EXPECT_EQ(statusOf(*ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"))), 503);
  const auto caller = ask(callerRequest("POST", "/record/1", "attempt-2", "a belt"));
  EXPECT_EQ(statusOf(*caller), 200);
  EXPECT_EQ(caller->body(), "done");
  EXPECT_EQ(upstream.requests().size(), 2U);
}

// The same refusal, but the answer follows late or never.
TEST_F(GatewayFixture, ARefusalThatIsSentOnceMoreWithoutAnAnswerProvesNothing) {
  int arrivals = 0;
  const auto repeatsRefusal = [&](const std::string &attemptId) -> FakeReply {
    if (arrivals++ == 0)
      return {notExecutedAnswer(attemptId)};
    return {.Bytes = notExecutedAnswer("attempt-1"), .Closes = true};
  };
  PlatformUpstream upstream{Context, "i-1", repeatsRefusal};
  configure({&upstream});
  EXPECT_EQ(statusOf(*ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"))), 503);
  const auto caller = ask(callerRequest("POST", "/record/1", "attempt-2", "a belt"));
  EXPECT_EQ(statusOf(*caller), 502);
  EXPECT_EQ(upstream.requests().size(), 2U);
}

// Guards against a success, framed as whole, that is made of an answer whose head broke off.
TEST_F(GatewayFixture, AnAnswerThatEndsWithinItsHeadIsNoSuccess) {
  const std::string whole = sealedAnswer("attempt-1", "done");
  const std::size_t headEnd = whole.find("\r\n\r\n");
  std::size_t length = 0;
  PlatformUpstream upstream{Context, "i-1", [&](const std::string &) -> FakeReply {
                              return {.Bytes = whole.substr(0, length), .Closes = true};
                            }};
  configure({&upstream});
  // Ends within the status line, at the ends of lines, and before the last byte of the head.
  for (const std::size_t it :
       {std::size_t{5}, whole.find("\r\n"), whole.find("\r\n") + 2, whole.find("X-Wig"),
        whole.find("\r\n", whole.find("seal")) + 2, headEnd, headEnd + 2, headEnd + 3}) {
    length = it;
    const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
    EXPECT_EQ(statusOf(*caller), 502) << whole.substr(0, length);
  }
}

// Guards against a success without the upstream's seal, and against a success made of a failure.
TEST_F(GatewayFixture, AnAnswerWithoutSealIsNoSuccess) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &attemptId) -> FakeReply {
                              return {fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                                                  "X-Wigeonlift-Attempt-Id: {}\r\n\r\nfake",
                                                  attemptId)};
                            }};
  configure({&upstream});
  const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
  EXPECT_EQ(statusOf(*caller), 502);
  EXPECT_EQ(caller->Received.find("fake"), std::string::npos);
}

// Guards against a failure of the upstream that is replaced by one of ours.
TEST_F(GatewayFixture, TheUpstreamsOwnFailureIsPassedOn) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &attemptId) -> FakeReply {
                              return {sealedAnswer(attemptId, "no", 500)};
                            }};
  configure({&upstream});
  const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
  EXPECT_EQ(statusOf(*caller), 500);
  EXPECT_EQ(caller->header(platform::SealHeader), "seal-attempt-1");
}

// Guards against half an archive that looks like a whole one.
TEST_F(GatewayFixture, ABrokenDownloadIsFetchedFromAnotherUpstream) {
  int answers = 0;
  const auto breaksFirst = [&](const std::string &attemptId) -> FakeReply {
    std::string bytes = sealedAnswer(attemptId, "a whole archive");
    if (answers++ > 0)
      return {bytes};
    bytes.resize(bytes.size() - 5);
    return {.Bytes = bytes, .Closes = true};
  };
  PlatformUpstream first{Context, "i-1", breaksFirst};
  PlatformUpstream second{Context, "i-2", breaksFirst};
  configure({&first, &second});
  const auto caller = ask(callerRequest("GET", "/bulk/1", "attempt-1"));
  EXPECT_EQ(statusOf(*caller), 200);
  EXPECT_EQ(caller->body(), "a whole archive");
  EXPECT_EQ(answers, 2);
}

// An odd entry of another writer stands among those of upstreams. Guards against a list that is no
// longer followed, and against a process that ends.
TEST_F(GatewayFixture, OddEntriesHideNoUpstreams) {
  PlatformUpstream upstream{Context, "i-2", success};
  configure({&upstream});
  std::vector<StoreItem> odd;
  for (const std::string &it :
       {std::string(50'000, '['), std::string(R"({"service":1e999})"), std::string("\xff\x00\x01"),
        std::string(R"({"service":"s","address":"1.2.3.4:99999","zone":"a","capacity-slots":3,)"
                    R"("state":"ready"})")})
    odd.push_back({.Key = fmt::format("servers/i-1{}", odd.size()),
                   .Value = it,
                   .Revision = 100 + odd.size()});
  Core.didLearn(odd, "test", {});
  const auto caller = ask(callerRequest("GET", "/look/1", "attempt-1"));
  EXPECT_EQ(statusOf(*caller), 200);
}

// Guards against a store that is restored from an older copy and takes the configuration or the
// upstreams out of use, or brings back what had left.
TEST_F(GatewayFixture, ARestoredStoreChangesNothingThatIsInForce) {
  PlatformUpstream upstream{Context, "i-1", success};
  configure({&upstream});
  const EntryRemoval lost{.Kind = RemovalKind::StoreRestored, .EarliestAt = bootTimeNow()};
  const std::vector<StoreItem> missing{
      {.Key = std::string{platform::ConfigurationKey}, .Revision = {1, 1}, .IsRemoved = true},
      {.Key = "servers/i-1", .Revision = {1, 1}, .IsRemoved = true}};
  Core.didLearn(missing, "test", lost);
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", "attempt-1"))), 200);
  Core.didLearn(missing, "test", {});
  configure({&upstream}, lost);
  EXPECT_TRUE(Core.upstreams().upstreams().empty());
}

// Guards against a second request that is smuggled inside another one's body.
TEST_F(GatewayFixture, AmbiguousRequestsReachNoUpstream) {
  PlatformUpstream upstream{Context, "i-1", success};
  configure({&upstream});
  for (const auto *fields :
       {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n", "Transfer-Encoding: gzip, chunked\r\n"}) {
    const auto caller = ask(fmt::format("POST /record/1 HTTP/1.1\r\nHost: h.example\r\n"
                                        "X-Wigeonlift-Attempt-Id: a\r\n{}\r\n0\r\n\r\n",
                                        fields));
    EXPECT_EQ(statusOf(*caller), 400) << fields;
    runUntil([&] { return caller->IsClosed; });
  }
  EXPECT_TRUE(upstream.requests().empty());
}

// Guards against a 404 for a route that a configuration still to come may have.
TEST_F(GatewayFixture, WithoutAConfigurationRequestsAreRefused) {
  const auto caller = ask(callerRequest("GET", "/look/1", "attempt-1"));
  EXPECT_EQ(statusOf(*caller), 503);
  EXPECT_FALSE(caller->header("Retry-After").empty());
}

// Guards against requests that wait for a route that the configuration doesn't have.
TEST_F(GatewayFixture, UnknownRoutesAreRejectedAtOnce) {
  PlatformUpstream upstream{Context, "i-1", success};
  configure({&upstream});
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/unknown/1", "attempt-1"))), 404);
  EXPECT_TRUE(upstream.requests().empty());
}

// Guards against upstreams that go on working for a caller who has left.
TEST_F(GatewayFixture, ACallerWhoLeavesCancelsIdempotentWork) {
  const auto silent = [](const std::string &) -> FakeReply { return {}; };
  PlatformUpstream upstream{Context, "i-1", silent};
  configure({&upstream});
  const auto caller = connect();
  caller->send(callerRequest("GET", "/look/1", "attempt-1"));
  runUntil([&] { return !upstream.requests().empty(); });
  const int closed = upstream.closedConnections();
  const auto leftAt = std::chrono::steady_clock::now();
  caller->close();
  runUntil([&] { return upstream.closedConnections() > closed; });
  EXPECT_LT(std::chrono::steady_clock::now() - leftAt, std::chrono::milliseconds{500});
}

// Guards against a caller on a kept connection who gets no answer to the second request.
TEST_F(GatewayFixture, AConnectionServesSeveralRequests) {
  PlatformUpstream upstream{Context, "i-1", success};
  configure({&upstream});
  const auto caller = connect();
  for (int n = 0; n < 3; ++n) {
    caller->Received.clear();
    caller->send(callerRequest("GET", "/look/1", fmt::format("attempt-{}", n)));
    runUntil([&] { return caller->hasAnswer(); });
    EXPECT_EQ(caller->header(platform::AttemptIdHeader), fmt::format("attempt-{}", n));
  }
}

// Guards against callers whose large bodies, together, exceed the memory of the process.
TEST_F(GatewayFixture, BodiesBeyondTheMemoryAreRefused) {
  PlatformUpstream upstream{Context, "i-1", success};
  configure({&upstream});
  const std::string head = "POST /record/1 HTTP/1.1\r\nHost: h.example\r\n"
                           "X-Wigeonlift-Attempt-Id: a\r\nContent-Length: 900000\r\n\r\n";
  // The settings of these tests allow bodies of 2 MiB together.
  std::vector<std::shared_ptr<RawCaller>> callers;
  for (int n = 0; n < 3; ++n) {
    callers.push_back(connect());
    callers.back()->send(head);
  }
  runUntil(
      [&] { return std::ranges::any_of(callers, [](const auto &it) { return it->hasAnswer(); }); });
  EXPECT_EQ(std::ranges::count_if(callers, [](const auto &it) { return statusOf(*it) == 503; }), 1);
  for (const auto &it : callers)
    it->close();
  runUntil([&] { return Core.bodyMemory().room() == 2 * 1024 * 1024; });
  EXPECT_TRUE(upstream.requests().empty());
}

namespace {

/// The head of an upload in chunks, and chunks of so many bytes without the last one.
std::string chunkedUpload(const std::string &target, const std::string &attemptId,
                          std::size_t bytes) {
  return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n{}: {}\r\n{}: 2000\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                     target, platform::AttemptIdHeader, attemptId,
                     platform::DeadlineRemainingHeader, bytes, std::string(bytes, 'x'));
}

} // namespace

// Guards against uploads in chunks that together take a process over its memory: each was counted
// when it was whole. The settings of these tests allow 2 MiB for all, the configuration 1 MB each.
TEST_F(GatewayFixture, UploadsInChunksShareABound) {
  constexpr std::size_t bytes = 900'000;
  constexpr int uploads = 5;
  constexpr int mostHeld = 2;
  PlatformUpstream upstream{
      Context, "i-1", [](const std::string &id) -> FakeReply { return {sealedAnswer(id, id)}; }};
  configure({&upstream});
  const std::size_t all = Core.bodyMemory().room();
  std::vector<std::shared_ptr<RawCaller>> callers;
  for (int n = 0; n < uploads; ++n) {
    callers.push_back(connect());
    callers.back()->send(chunkedUpload("/record/1", fmt::format("a-{}", n), bytes));
  }
  const auto isRefused = [](const auto &it) { return statusOf(*it) == 503; };
  runUntil([&] { return std::ranges::count_if(callers, isRefused) == uploads - mostHeld; });
  EXPECT_LT(Core.bodyMemory().room(), all);
  for (const auto &it : callers)
    if (!isRefused(it))
      it->send("0\r\n\r\n");
  const auto isServed = [](const auto &it) { return statusOf(*it) == 200; };
  runUntil([&] { return std::ranges::count_if(callers, isServed) == mostHeld; });
  for (const auto &it : callers)
    it->close();
  runUntil([&] { return Callers.connections() == 0; });
  EXPECT_EQ(Core.bodyMemory().room(), all);
}

// Guards against a caller that waits to be told to send a body, for a request that is rejected.
TEST_F(GatewayFixture, ARejectedRequestIsNotAskedForItsBody) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &) -> FakeReply { return {}; }};
  configure({&upstream});
  const std::string request =
      callerRequest("POST", "/gone/1", "a-1", "a belt", "Expect: 100-continue\r\n");
  const auto caller = ask(request.substr(0, request.size() - std::string_view{"a belt"}.size()));
  EXPECT_EQ(statusOf(*caller), 404);
}

// Guards against a route that is refused for good: its timeout was at most 0.4 of its objective,
// from which its work time is guessed until a request has succeeded.
TEST_F(GatewayFixture, ARouteWithAShortTimeoutIsServed) {
  PlatformUpstream upstream{Context, "i-1", success};
  configure({&upstream});
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/brief/1", "attempt-1"))), 200);
}

} // namespace wigeonlift
