#include "GatewayFixture.h"

#include <platform/Platform.h>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

namespace wigeonlift {

namespace {

using namespace std::chrono_literals;

// The routes of the fixture have a timeout of 1.5 s. Answers without end are to be given up well
// before it.
constexpr auto GiveUpTime = 700ms;
constexpr int Repetitions = 200'000;

std::string repeated(std::string_view text) {
  std::string result;
  for (int n = 0; n < Repetitions; ++n)
    result += text;
  return result;
}

std::string sealedHead(const std::string &attemptId, std::string_view framing) {
  return fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: seal\r\n{}\r\n", platform::AttemptIdHeader,
                     attemptId, platform::SealHeader, framing);
}

/// An upstream's answer and what makes it endless.
struct EndlessAnswer {
  std::string_view Name;
  std::function<std::string(const std::string &attemptId)> Bytes;
};

const std::vector<EndlessAnswer> &endlessAnswers() {
  static const std::vector<EndlessAnswer> answers{
      {"interim answers",
       [](const std::string &) { return repeated("HTTP/1.1 103 Early Hints\r\n\r\n"); }},
      {"a status line", [](const std::string &) { return "HTTP/1.1 200 " + repeated("O"); }},
      {"fields",
       [](const std::string &) { return "HTTP/1.1 200 OK\r\n" + repeated("X-A: b\r\n"); }},
      {"one field", [](const std::string &) { return "HTTP/1.1 200 OK\r\nX-A: " + repeated("b"); }},
      {"bytes before the status line", [](const std::string &) { return repeated("\r\n"); }},
      {"tiny chunks",
       [](const std::string &id) {
         return sealedHead(id, "Transfer-Encoding: chunked\r\n") + repeated("1\r\nx\r\n");
       }},
      {"a chunk size",
       [](const std::string &id) {
         return sealedHead(id, "Transfer-Encoding: chunked\r\n") + repeated("0");
       }},
      {"a chunk extension",
       [](const std::string &id) {
         return sealedHead(id, "Transfer-Encoding: chunked\r\n") + "1;" + repeated("a");
       }},
      {"trailers",
       [](const std::string &id) {
         return sealedHead(id, "Transfer-Encoding: chunked\r\n") + "0\r\n" + repeated("X-A: b\r\n");
       }},
  };
  return answers;
}

} // namespace

// Guards against upstreams in trouble that send bytes without end: they would keep the process busy
// until the deadline, and a caller of a write must hear that its outcome is unknown.
TEST_F(GatewayFixture, AnswersWithoutEndAreGivenUp) {
  for (const EndlessAnswer &it : endlessAnswers()) {
    PlatformUpstream upstream{Context, "i-1",
                              [&](const std::string &id) -> FakeReply { return {it.Bytes(id)}; }};
    configure({&upstream});
    const auto begin = std::chrono::steady_clock::now();
    const auto caller = ask(callerRequest("POST", "/record/1", "attempt-1", "a belt"));
    EXPECT_EQ(statusOf(*caller), 502) << it.Name;
    EXPECT_LT(std::chrono::steady_clock::now() - begin, GiveUpTime) << it.Name;
    EXPECT_EQ(upstream.requests().size(), 1U) << it.Name;
    runUntil([&] { return upstream.closedConnections() > 0; });
  }
}

// Guards against a body without end that is passed on for as long as its caller stays, and against
// one that looks complete when it is given up.
TEST_F(GatewayFixture, ABodyWithoutEndIsPassedOnNoLongerThanItsDeadlineAllows) {
  constexpr std::size_t announced = 1'000'000'000;
  constexpr std::size_t sent = 4'000'000;
  PlatformUpstream upstream{Context, "i-1", [&](const std::string &id) -> FakeReply {
                              return {
                                  sealedHead(id, fmt::format("Content-Length: {}\r\n", announced)) +
                                  std::string(sent, 'x')};
                            }};
  configure({&upstream});
  const auto caller = connect();
  const auto begin = std::chrono::steady_clock::now();
  caller->send(callerRequest("GET", "/bulk/1", "attempt-1"));
  runUntil([&] { return caller->IsClosed; });
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 4s);
  EXPECT_LT(caller->body().size(), announced);
  EXPECT_GE(caller->body().size(), sent);
}

// Guards against a process that keeps all that upstreams send and runs out of memory: answers that
// there is no memory to hold are passed on as they come. The settings of these tests allow 2 MiB.
TEST_F(GatewayFixture, AnswersOfAllRequestsShareABound) {
  constexpr std::size_t announced = 1'800'000;
  constexpr std::size_t sent = 1'000'000;
  constexpr int requests = 12;
  constexpr int mostHeld = 2;
  const PlatformUpstream::Script stalls = [&](const std::string &id) -> FakeReply {
    return {sealedHead(id, fmt::format("Content-Length: {}\r\n", announced)) +
            std::string(sent, 'x')};
  };
  std::vector<std::unique_ptr<PlatformUpstream>> upstreams;
  std::vector<const PlatformUpstream *> listed;
  for (int n = 0; n < requests; ++n) {
    upstreams.push_back(
        std::make_unique<PlatformUpstream>(Context, fmt::format("i-{}", n), stalls));
    listed.push_back(upstreams.back().get());
  }
  configure(listed);
  const std::size_t all = Core.heldAnswerMemory().room();
  std::vector<std::shared_ptr<RawCaller>> callers;
  for (int n = 0; n < requests; ++n) {
    callers.push_back(connect());
    callers.back()->send(callerRequest("GET", "/bulk/1", fmt::format("attempt-{}", n)));
  }
  const auto isPassedOn = [](const auto &it) { return it->Received.size() > sent; };
  runUntil([&] { return std::ranges::count_if(callers, isPassedOn) >= requests - mostHeld; });
  EXPECT_LT(Core.heldAnswerMemory().room(), all);
  for (const auto &it : callers)
    it->close();
  runUntil([&] { return Callers.connections() == 0; });
  runUntil([&] { return Core.heldAnswerMemory().room() == all; });
}

// Guards against health answers whose bodies are read and kept as long as they come.
TEST_F(GatewayFixture, LargeHealthAnswersAreGivenUp) {
  constexpr std::size_t announced = 1'000'000'000;
  constexpr std::size_t sent = 200'000;
  PlatformUpstream upstream{
      Context, "i-1", [](const std::string &id) -> FakeReply { return {sealedAnswer(id, id)}; }};
  upstream.HealthLength = announced;
  upstream.HealthBody = std::string(sent, 'x');
  configure({&upstream});
  const auto begin = std::chrono::steady_clock::now();
  const auto caller = connect();
  caller->send(callerRequest("GET", "/look/1", "attempt-1"));
  runUntil([&] { return upstream.closedConnections() > 0; });
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 100ms);
}

} // namespace wigeonlift
