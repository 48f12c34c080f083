#include "GatewayFixture.h"

#include <platform/Platform.h>

#include <fmt/format.h>

#include <array>
#include <memory>
#include <vector>

namespace wigeonlift {

namespace {

// Callers take each of these for a promise that the request has not run.
constexpr std::array<int, 4> Promises{408, 421, 429, 503};

/// Sealed answers of an upstream that ran the request and failed with this status.
PlatformUpstream::Script failsAfterRun(int status, std::size_t bodyBytes = 10,
                                       const std::string &fields = "") {
  return [=](const std::string &id) -> FakeReply {
    return {sealedAnswer(id, std::string(bodyBytes, 'x'), status, fields)};
  };
}

std::vector<int> statusesOf(const RawCaller &caller) {
  constexpr std::string_view begin = "HTTP/1.1 ";
  std::vector<int> result;
  for (std::size_t n = caller.Received.find(begin); n != std::string::npos;
       n = caller.Received.find(begin, n + 1))
    result.push_back(std::stoi(caller.Received.substr(n + begin.size(), 3)));
  return result;
}

} // namespace

// Guards against an order that is applied twice: its upstream ran it and failed with a status by
// which its caller believes that it has not run, so that the caller sends it again.
TEST_F(GatewayFixture, AFailureAfterARunIsNeverAPromise) {
  for (const int status : Promises) {
    PlatformUpstream first{Context, "i-1", failsAfterRun(status, 10, "Retry-After: 1\r\n")};
    PlatformUpstream second{Context, "i-2", failsAfterRun(status, 10, "Retry-After: 1\r\n")};
    configure({&first, &second});
    const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
    EXPECT_EQ(statusOf(*caller), 502) << status;
    EXPECT_EQ(first.requests().size() + second.requests().size(), 1U) << status;
    // Under another status than the upstream's, its seal would be false.
    EXPECT_EQ(caller->header(platform::SealHeader), "") << status;
    EXPECT_EQ(caller->header("Retry-After"), "") << status;
  }
}

// Guards against the same for requests that are repeated before their caller gets an answer.
TEST_F(GatewayFixture, RepeatsThatAllFailAfterARunAreNoPromise) {
  for (const int status : Promises) {
    PlatformUpstream first{Context, "i-1", failsAfterRun(status)};
    PlatformUpstream second{Context, "i-2", failsAfterRun(status)};
    configure({&first, &second});
    EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", "attempt-1"))), 502) << status;
    EXPECT_EQ(first.requests().size() + second.requests().size(), 2U) << status;
  }
}

// Guards against the same by the second upstream's truthful rejection of a request that the first
// one ran.
TEST_F(GatewayFixture, ARejectionAfterAFailedRunIsNoPromise) {
  int arrivals = 0;
  const auto script = [&](const std::string &id) -> FakeReply {
    return ++arrivals == 1 ? failsAfterRun(503)(id) : FakeReply{notExecutedAnswer(id)};
  };
  PlatformUpstream first{Context, "i-1", script};
  PlatformUpstream second{Context, "i-2", script};
  configure({&first, &second});
  EXPECT_EQ(statusOf(*ask(callerRequest("GET", "/look/1", "attempt-1"))), 502);
  EXPECT_EQ(arrivals, 2);
}

// Guards against the same on pipelined connections, whose answers wait for earlier ones, and for
// answers that are too large to be held.
TEST_F(GatewayFixture, PipelinedAndLargeFailuresAreNoPromises) {
  constexpr std::size_t largeBytes = std::size_t{3} * 1024 * 1024;
  const auto script = [](const std::string &id) -> FakeReply {
    return failsAfterRun(503, id == "large" ? largeBytes : 10)(id);
  };
  // An upstream that has failed is not used again at once.
  std::vector<std::unique_ptr<PlatformUpstream>> upstreams;
  std::vector<const PlatformUpstream *> configured;
  for (int n = 0; n < 12; ++n) {
    upstreams.push_back(
        std::make_unique<PlatformUpstream>(Context, fmt::format("i-{}", n), script));
    configured.push_back(upstreams.back().get());
  }
  configure(configured);
  const auto caller = connect();
  caller->send(callerRequest("GET", "/look/1", "first") + callerRequest("GET", "/bulk/1", "large") +
               callerRequest("POST", "/record/1", "order", "a belt") +
               callerRequest("GET", "/look/2", "last"));
  runUntil([&] { return statusesOf(*caller).size() == 4; });
  EXPECT_EQ(statusesOf(*caller), (std::vector{502, 502, 502, 502}));
  std::size_t arrivals = 0;
  for (const auto &it : upstreams)
    arrivals += it->requests().size();
  // The order goes to one upstream, each of the others to two.
  EXPECT_EQ(arrivals, 7U);
}

// Guards against a second run on the word of an upstream that contradicts itself: a success that
// says that it has not been executed.
TEST_F(GatewayFixture, ASuccessThatSaysNotExecutedProvesNothing) {
  const auto script = [](const std::string &id) -> FakeReply {
    return {sealedAnswer(id, "done", 200, fmt::format("{}: 1\r\n", platform::NotExecutedHeader))};
  };
  PlatformUpstream first{Context, "i-1", script};
  PlatformUpstream second{Context, "i-2", script};
  configure({&first, &second});
  EXPECT_EQ(statusOf(*ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"))), 502);
  EXPECT_EQ(first.requests().size() + second.requests().size(), 1U);
}

// Guards against a failure where another upstream could serve: one that has the address of another
// now rejects its request without a seal.
TEST_F(GatewayFixture, AMisdirectedRequestGoesElsewhere) {
  int arrivals = 0;
  const auto script = [&](const std::string &id) -> FakeReply {
    return {++arrivals == 1 ? fmt::format("HTTP/1.1 421 X\r\nContent-Length: 0\r\n{}: {}\r\n\r\n",
                                          platform::AttemptIdHeader, id)
                            : sealedAnswer(id, "done")};
  };
  PlatformUpstream first{Context, "i-1", script};
  PlatformUpstream second{Context, "i-2", script};
  configure({&first, &second});
  EXPECT_EQ(statusOf(*ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"))), 200);
  EXPECT_EQ(arrivals, 2);
}

} // namespace wigeonlift
