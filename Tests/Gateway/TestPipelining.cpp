#include "GatewayFixture.h"

#include <platform/Platform.h>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace wigeonlift {

namespace {

using namespace std::chrono_literals;

/// Number of whole answers that carry one of the attempt ids `a-0`, `a-1`, ... in this order.
int answersInOrder(const RawCaller &caller) {
  int n = 0;
  std::size_t from = 0;
  while (true) {
    const std::string id = fmt::format("{}: a-{}\r\n", platform::AttemptIdHeader, n);
    from = caller.Received.find(id, from);
    if (from == std::string::npos)
      return n;
    ++n;
  }
}

std::string pipelined(const std::string &method, const std::string &target, int n) {
  return callerRequest(method, target, fmt::format("a-{}", n), method == "POST" ? "x" : "");
}

} // namespace

// Guards against pipelined reads that each wait for all reads before them, and against answers in
// the order in which upstreams finish.
TEST_F(GatewayFixture, PipelinedReadsRunSideBySideAndAreAnsweredInOrder) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &id) -> FakeReply {
                              return {.Bytes = sealedAnswer(id, id),
                                      .Delay = id == "a-0" ? 150ms : 100ms};
                            }};
  PlatformUpstream other{Context, "i-2", [](const std::string &id) -> FakeReply {
                           return {.Bytes = sealedAnswer(id, id), .Delay = 100ms};
                         }};
  configure({&upstream, &other});
  const auto caller = connect();
  const auto begin = std::chrono::steady_clock::now();
  std::string requests;
  for (int n = 0; n < 4; ++n)
    requests += pipelined("GET", "/look/1", n);
  caller->send(requests);
  runUntil([&] { return answersInOrder(*caller) == 4; });
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 300ms);
}

// Guards against a write that starts while an answer before it may still fail, and against a read
// that runs before the write in front of it.
TEST_F(GatewayFixture, APipelinedWriteRunsAlone) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &id) -> FakeReply {
                              return {.Bytes = sealedAnswer(id, id), .Delay = 30ms};
                            }};
  configure({&upstream});
  const auto caller = connect();
  caller->send(pipelined("GET", "/look/1", 0) + pipelined("POST", "/record/1", 1) +
               pipelined("GET", "/look/1", 2));
  for (int n = 1; n <= 3; ++n) {
    runUntil([&] { return upstream.requests().size() == static_cast<std::size_t>(n); });
    EXPECT_GE(answersInOrder(*caller) + 1, n);
  }
  runUntil([&] { return answersInOrder(*caller) == 3; });
}

// Guards against upstreams that work for a caller who has left with several requests unanswered,
// also when its last request asked for a close.
TEST_F(GatewayFixture, ACallerWhoLeavesCancelsAllPipelinedReads) {
  const auto silent = [](const std::string &) -> FakeReply { return {}; };
  for (const auto *fields : {"", "Connection: close\r\n"}) {
    PlatformUpstream first{Context, "i-1", silent};
    PlatformUpstream second{Context, "i-2", silent};
    configure({&first, &second});
    const auto caller = connect();
    caller->send(pipelined("GET", "/look/1", 0) +
                 callerRequest("GET", "/look/1", "a-1", "", fields));
    runUntil([&] { return first.requests().size() + second.requests().size() >= 2; });
    const int closed = first.closedConnections() + second.closedConnections();
    const auto leftAt = std::chrono::steady_clock::now();
    caller->close();
    runUntil([&] { return first.closedConnections() + second.closedConnections() >= closed + 2; });
    EXPECT_LT(std::chrono::steady_clock::now() - leftAt, 500ms);
    runUntil([&] { return Callers.connections() == 0; });
  }
}

// Guards against a malformed request that takes the answers of those before it with it, and
// against bytes behind it that reach an upstream.
TEST_F(GatewayFixture, AMalformedPipelinedRequestIsAnsweredInItsPlace) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &id) -> FakeReply {
                              return {.Bytes = sealedAnswer(id, id), .Delay = 30ms};
                            }};
  configure({&upstream});
  const auto caller = connect();
  caller->send(pipelined("GET", "/look/1", 0) + "no request\r\n\r\n" +
               pipelined("GET", "/look/1", 1));
  runUntil([&] { return caller->IsClosed; });
  EXPECT_EQ(answersInOrder(*caller), 1);
  EXPECT_GT(caller->Received.find("HTTP/1.1 400"), caller->Received.find("HTTP/1.1 200"));
  EXPECT_NE(caller->Received.find("HTTP/1.1 400"), std::string::npos);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

// Guards against a planned stop that closes a connection in front of requests which have arrived,
// and against one that passes on requests behind its last answer.
TEST_F(GatewayFixture, AStopAnswersAllPipelinedRequests) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &id) -> FakeReply {
                              return {.Bytes = sealedAnswer(id, id), .Delay = 60ms};
                            }};
  PlatformUpstream other{Context, "i-2", [](const std::string &id) -> FakeReply {
                           return {.Bytes = sealedAnswer(id, id), .Delay = 60ms};
                         }};
  configure({&upstream, &other});
  const auto caller = connect();
  const auto passedOn = [&] { return upstream.requests().size() + other.requests().size(); };
  caller->send(pipelined("GET", "/look/1", 0) + pipelined("GET", "/look/1", 1));
  runUntil([&] { return passedOn() == 2; });
  Core.beginStop(bootTimeNow());
  caller->send(pipelined("GET", "/look/1", 2) + pipelined("GET", "/look/1", 3));
  runUntil([&] { return caller->IsClosed; });
  EXPECT_EQ(answersInOrder(*caller), 4);
  EXPECT_EQ(passedOn(), 4U);
  const std::size_t close = caller->Received.find("Connection: close");
  EXPECT_NE(close, std::string::npos);
  EXPECT_GT(close, caller->Received.rfind("HTTP/1.1 200"));
}

// Guards against one caller whose large answers, waiting for its first one, fill the memory.
TEST_F(GatewayFixture, LargeAnswersThatWaitAreBounded) {
  constexpr std::size_t answerBytes = 1'000'000;
  constexpr int depth = 16;
  PlatformUpstream upstream{Context, "i-1", [](const std::string &id) -> FakeReply {
                              return {.Bytes = sealedAnswer(id, std::string(answerBytes, 'x')),
                                      .Delay = id == "a-0" ? 300ms : 0ms};
                            }};
  configure({&upstream});
  const auto caller = std::make_shared<RawCaller>(Context, Callers.port());
  std::string requests;
  for (int n = 0; n < depth; ++n)
    requests += pipelined("GET", "/look/1", n);
  caller->send(requests);
  const std::size_t all = Core.heldAnswerMemory().room();
  std::size_t least = all;
  runUntil([&] {
    least = std::min(least, Core.heldAnswerMemory().room());
    return upstream.requests().size() >= 6;
  });
  caller->receiveAll();
  runUntil([&] { return answersInOrder(*caller) == depth; });
  runUntil([&] { return caller->Received.size() >= answerBytes * depth; });
  // The settings of these tests allow 2 MiB; what waits was taken from it before it was asked for.
  EXPECT_LT(least, all);
  EXPECT_EQ(Core.heldAnswerMemory().room(), all);
}

// Guards against a caller that sends without end and never reads: reading stops at a bound.
TEST_F(GatewayFixture, ReadingAheadStopsAtABound) {
  const auto silent = [](const std::string &) -> FakeReply { return {}; };
  PlatformUpstream upstream{Context, "i-1", silent};
  configure({&upstream});
  const auto caller = connect();
  for (int n = 0; n < 100; ++n)
    caller->send(pipelined("GET", "/look/1", n));
  const auto end = std::chrono::steady_clock::now() + 200ms;
  runUntil([&] { return std::chrono::steady_clock::now() > end; });
  EXPECT_LE(Core.service("s")->balancer().counts().Requests, 16U);
  caller->close();
  runUntil([&] { return Callers.connections() == 0; });
}

// Guards against requests that wait for ever behind one that is answered while they arrive: the
// review's case 13. Bodies of a MiB make the session read ahead until there is room.
TEST_F(GatewayFixture, RequestsBehindARefusedUploadAreAnswered) {
  configure({});
  constexpr int requests = 12;
  constexpr std::size_t bodyBytes = 600'000;
  // More than is read at a time, less than the buffer takes.
  const std::string longField = "X-Long: " + std::string(3000, 'x') + "\r\n";
  std::string text;
  for (int n = 0; n < requests; ++n)
    text += n < 2 ? callerRequest("POST", "/record/1", "a", std::string(bodyBytes, 'x'))
                  : callerRequest("GET", "/look/1", "a", "", longField);
  const auto answers = [](const RawCaller &caller) {
    int n = 0;
    for (std::size_t at = 0; (at = caller.Received.find("HTTP/1.1 503", at)) != std::string::npos;
         ++at)
      ++n;
    return n;
  };
  // Whether the answer is written just when bytes have arrived is up to chance.
  for (int n = 0; n < 20 && !HasFatalFailure(); ++n) {
    const auto caller = connect();
    caller->send(text);
    runUntil([&] { return answers(*caller) == requests || caller->IsClosed; });
    EXPECT_EQ(answers(*caller), requests);
    caller->close();
    runUntil([&] { return Callers.connections() == 0; });
  }
}

} // namespace wigeonlift
