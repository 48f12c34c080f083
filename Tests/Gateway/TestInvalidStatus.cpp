#include "GatewayFixture.h"

#include <platform/Platform.h>

#include <fmt/format.h>

#include <chrono>

namespace wigeonlift {

namespace {

using namespace std::chrono_literals;

// The routes of the fixture have a timeout of 1.5 s. A broken answer is known well before it.
constexpr auto GiveUpTime = 400ms;

/// An answer with the status 000, as an upstream in trouble sends it.
struct ZeroAnswer {
  bool IsSealed = false;
  std::string Body;

  std::string bytes(const std::string &attemptId) const {
    return fmt::format("HTTP/1.1 000 X\r\nContent-Length: {}\r\n{}: {}\r\n{}\r\n{}", Body.size(),
                       platform::AttemptIdHeader, attemptId,
                       IsSealed ? fmt::format("{}: seal\r\n", platform::SealHeader) : "", Body);
  }
};

const std::vector<ZeroAnswer> &zeroAnswers() {
  static const std::vector<ZeroAnswer> answers{{.IsSealed = false, .Body = ""},
                                               {.IsSealed = false, .Body = "a body"},
                                               {.IsSealed = true, .Body = ""},
                                               {.IsSealed = true, .Body = "a body"}};
  return answers;
}

std::string nameOf(const ZeroAnswer &it) {
  return fmt::format("{}, {} bytes", it.IsSealed ? "sealed" : "unsealed", it.Body.size());
}

} // namespace

// Guards against a request that waits for its deadline because an answer with the status 000 counts
// as an interim one, and against showing it to the caller.
TEST_F(GatewayFixture, ARequestIsRepeatedAfterAnAnswerWithStatusZero) {
  for (const ZeroAnswer &zero : zeroAnswers()) {
    int requests = 0;
    const PlatformUpstream::Script script = [&](const std::string &id) -> FakeReply {
      return {++requests == 1 ? zero.bytes(id) : sealedAnswer(id, "found")};
    };
    PlatformUpstream first{Context, "i-1", script};
    PlatformUpstream second{Context, "i-2", script};
    configure({&first, &second});
    const auto begin = std::chrono::steady_clock::now();
    const auto caller = ask(callerRequest("GET", "/look/1", "attempt-1"));
    EXPECT_EQ(statusOf(*caller), 200) << nameOf(zero);
    EXPECT_EQ(caller->body(), "found") << nameOf(zero);
    EXPECT_EQ(requests, 2) << nameOf(zero);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, GiveUpTime) << nameOf(zero);
    runUntil([&] { return first.closedConnections() + second.closedConnections() > 0; });
  }
}

// Guards against a second execution of a write, and against a status that says that it has not run.
TEST_F(GatewayFixture, AWriteWithAnAnswerOfStatusZeroHasAnUnknownOutcome) {
  for (const ZeroAnswer &zero : zeroAnswers()) {
    int requests = 0;
    const PlatformUpstream::Script script = [&](const std::string &id) -> FakeReply {
      ++requests;
      return {zero.bytes(id)};
    };
    PlatformUpstream first{Context, "i-1", script};
    PlatformUpstream second{Context, "i-2", script};
    configure({&first, &second});
    const auto begin = std::chrono::steady_clock::now();
    const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
    EXPECT_EQ(statusOf(*caller), 502) << nameOf(zero);
    EXPECT_EQ(requests, 1) << nameOf(zero);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, GiveUpTime) << nameOf(zero);
    runUntil([&] { return first.closedConnections() + second.closedConnections() > 0; });
  }
}

// Guards against taking the body of such an answer for the answer that follows an interim one.
TEST_F(GatewayFixture, TheBodyOfAnAnswerWithStatusZeroIsNoAnswer) {
  PlatformUpstream upstream{
      Context, "i-1", [](const std::string &id) -> FakeReply {
        return {ZeroAnswer{.IsSealed = true, .Body = sealedAnswer(id, "within")}.bytes(id)};
      }};
  configure({&upstream});
  const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
  EXPECT_EQ(statusOf(*caller), 502);
  EXPECT_EQ(caller->Received.find("within"), std::string::npos);
}

} // namespace wigeonlift
