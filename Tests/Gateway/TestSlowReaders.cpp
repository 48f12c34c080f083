#include "GatewayFixture.h"

#include <platform/Platform.h>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace wigeonlift {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t Mib = 1024 * 1024;
constexpr int KernelBufferBytes = 16 * 1024;

std::string pattern(std::size_t size) {
  std::string text(size, '\0');
  for (std::size_t n = 0; n < size; ++n)
    text[n] = static_cast<char>('a' + n / 1000 % 26);
  return text;
}

class SlowReaders : public GatewayFixture {
protected:
  // A quarter of the memory, 40 MiB, is for answers.
  SlowReaders() : GatewayFixture(160) {}

  /// A caller that reads 4 KB a second.
  std::shared_ptr<RawCaller> connectSlowCaller() {
    auto caller = std::make_shared<RawCaller>(Context, Callers.port());
    caller->limitUnread(KernelBufferBytes);
    caller->ReadBytes = 400;
    caller->Pause = 100ms;
    caller->receiveAll();
    return caller;
  }
};

} // namespace

// An upstream aborts an answer that stays unread for some seconds. Guards against leaving the rest
// of a large answer at the upstream while the caller reads slowly, and against losing or reordering
// parts that were read ahead. The kernel takes less than half of the answer.
TEST_F(SlowReaders, ALargeAnswerIsReadAhead) {
  const std::string body = pattern(16 * Mib);
  PlatformUpstream upstream{
      Context, "i-1", [&](const std::string &id) -> FakeReply { return {sealedAnswer(id, body)}; }};
  configure({&upstream});
  const std::size_t all = Core.heldAnswerMemory().room();
  const auto caller = connectSlowCaller();
  caller->send(callerRequest("GET", "/bulk/1", "attempt-1"));
  runUntil([&] { return !upstream.requests().empty(); });
  const int written = upstream.server().Written;
  const auto begin = std::chrono::steady_clock::now();
  runUntil([&] { return upstream.server().Written > written; });
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 2s);
  EXPECT_LT(caller->body().size(), 64U * 1024);
  EXPECT_LT(Core.heldAnswerMemory().room(), all);
  caller->ReadBytes = 64 * 1024;
  caller->Pause = 0ms;
  runUntil([&] { return caller->hasAnswer(); });
  EXPECT_TRUE(caller->body() == body);
  runUntil([&] { return Core.heldAnswerMemory().room() == all; });
}

// Guards against slow callers that make the process hold more than its memory for answers, and
// against memory that isn't given back when they leave.
TEST_F(SlowReaders, AnswersThatAreReadAheadStayWithinTheMemory) {
  const std::string body = pattern(24 * Mib);
  const PlatformUpstream::Script script = [&](const std::string &id) -> FakeReply {
    return {sealedAnswer(id, body)};
  };
  PlatformUpstream first{Context, "i-1", script};
  PlatformUpstream second{Context, "i-2", script};
  configure({&first, &second});
  const std::size_t all = Core.heldAnswerMemory().room();
  std::vector<std::shared_ptr<RawCaller>> callers;
  for (int n = 0; n < 4; ++n) {
    callers.push_back(connectSlowCaller());
    callers.back()->send(callerRequest("GET", "/bulk/1", fmt::format("attempt-{}", n)));
  }
  std::size_t least = all;
  const auto end = std::chrono::steady_clock::now() + 1500ms;
  runUntil([&] {
    least = std::min(least, Core.heldAnswerMemory().room());
    return std::chrono::steady_clock::now() > end;
  });
  EXPECT_LT(least, all / 2);
  // Some room is left, so that answers of other callers can be held until they are whole.
  EXPECT_GT(least, 2 * Mib);
  for (const auto &it : callers)
    it->close();
  runUntil([&] { return Callers.connections() == 0; });
  runUntil([&] { return Core.heldAnswerMemory().room() == all; });
}

// Guards against closing the connection of a caller that takes a held answer slowly, but steadily,
// 30 s after its begin. Checks as if 30 s had passed since then.
TEST_F(SlowReaders, ProgressKeepsASlowCaller) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &id) -> FakeReply {
                              return {sealedAnswer(id, pattern(Mib))};
                            }};
  configure({&upstream});
  const auto caller = connectSlowCaller();
  caller->ReadBytes = 16 * 1024;
  caller->send(callerRequest("GET", "/look/1", "attempt-1"));
  runUntil([&] { return !caller->Received.empty(); });
  const TimePoint begin = bootTimeNow();
  runUntil([&] { return bootTimeNow() > begin + 2s; });
  Callers.closeExpired(begin + 30s);
  runUntil([&] { return bootTimeNow() > begin + 2200ms; });
  EXPECT_EQ(Callers.connections(), 1U);
  Callers.closeExpired(bootTimeNow() + 31s);
  runUntil([&] { return Callers.connections() == 0; });
}

// Guards against an answer in chunks that ends at its begin because there is no memory to hold any
// of it: an empty chunk is the last one.
TEST_F(SlowReaders, AChunkedAnswerIsPassedOnWithoutMemory) {
  const std::string body = pattern(2000);
  PlatformUpstream upstream{
      Context, "i-1", [&](const std::string &id) -> FakeReply {
        return {fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: seal\r\nTransfer-Encoding: chunked"
                            "\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                            platform::AttemptIdHeader, id, platform::SealHeader, body.size(),
                            body)};
      }};
  configure({&upstream});
  const auto all = Core.heldAnswerMemory().reserve(Core.heldAnswerMemory().room());
  const auto caller = connect();
  caller->send(callerRequest("GET", "/bulk/1", "attempt-1"));
  runUntil([&] { return caller->Received.ends_with("0\r\n\r\n"); });
  EXPECT_TRUE(caller->body().starts_with("7d0\r\n" + body));
}

// An upstream reads a body slowly. Guards against giving it another large one, of which its memory
// may not hold many, and against keeping small ones from it.
TEST_F(SlowReaders, AnUpstreamGetsOneLargeBodyAtATime) {
  const PlatformUpstream::Script script = [](const std::string &id) -> FakeReply {
    return {sealedAnswer(id, "done")};
  };
  PlatformUpstream slow{Context, "i-1", script};
  slow.server().limitUnread(KernelBufferBytes);
  slow.server().BodyStepBytes = 400;
  slow.server().BodyPause = 100ms;
  configure({&slow});
  const auto first = connect();
  first->send(callerRequest("POST", "/record/1", "attempt-1", std::string(900'000, 'x')));
  runUntil([&] { return slow.server().Reading == 1; });
  const auto second = connect();
  second->send(callerRequest("POST", "/record/1", "attempt-2", std::string(300'000, 'y')));
  const auto small = ask(callerRequest("POST", "/record/1", "attempt-3", "small"));
  EXPECT_EQ(statusOf(*small), 200);
  runUntil([&] { return second->hasAnswer(); });
  EXPECT_EQ(statusOf(*second), 503);
  runUntil([&] { return first->hasAnswer(); });
  EXPECT_EQ(statusOf(*first), 504);
  // The connection with the first body has ended, so the upstream may get another one.
  slow.server().BodyStepBytes = 0;
  slow.server().BodyPause = 0ms;
  const auto third =
      ask(callerRequest("POST", "/record/1", "attempt-4", std::string(300'000, 'z')));
  EXPECT_EQ(statusOf(*third), 200);
}

// Guards against keeping large bodies from upstreams that read them at once.
TEST_F(SlowReaders, FastUpstreamsGetAllLargeBodies) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &id) -> FakeReply {
                              return {.Bytes = sealedAnswer(id, "done"), .Delay = 600ms};
                            }};
  configure({&upstream});
  std::vector<std::shared_ptr<RawCaller>> callers;
  for (int n = 0; n < 2; ++n) {
    callers.push_back(connect());
    callers.back()->send(callerRequest("POST", "/record/1", fmt::format("attempt-{}", n),
                                       std::string(900'000, 'x')));
  }
  runUntil([&] { return upstream.requests().size() == 2; });
  const auto hasAnswer = [](const auto &it) { return it->hasAnswer(); };
  EXPECT_TRUE(std::ranges::none_of(callers, hasAnswer));
  runUntil([&] { return std::ranges::all_of(callers, hasAnswer); });
  for (const auto &it : callers)
    EXPECT_EQ(statusOf(*it), 200);
}

// Guards against attempts that are withdrawn before they are sent and are kept for ever with the
// bodies of their requests: the review's case 12, in which the memory of a VM grew by 8 MB a
// second.
TEST_F(SlowReaders, WithdrawnAttemptsAreNotKept) {
  const PlatformUpstream::Script script = [](const std::string &id) -> FakeReply {
    return {sealedAnswer(id, "done")};
  };
  PlatformUpstream first{Context, "i-1", script};
  PlatformUpstream second{Context, "i-2", script};
  for (PlatformUpstream *it : {&first, &second}) {
    it->server().limitUnread(KernelBufferBytes);
    it->server().BodyStepBytes = 400;
    it->server().BodyPause = 100ms;
  }
  configure({&first, &second});
  std::vector<std::shared_ptr<RawCaller>> callers;
  for (int n = 0; n < 12; ++n) {
    callers.push_back(connect());
    callers.back()->send(callerRequest("POST", "/record/1", fmt::format("attempt-{}", n),
                                       std::string(500'000, 'x')));
  }
  runUntil(
      [&] { return std::ranges::all_of(callers, [](const auto &it) { return it->hasAnswer(); }); });
  const auto refused =
      std::ranges::count(callers, 503, [](const auto &it) { return statusOf(*it); });
  EXPECT_GE(refused, 8);
  EXPECT_EQ(Core.service("s")->balancer().runningAttempts(), 0U);
  EXPECT_EQ(Core.service("s")->attempts(), 0U);
}

} // namespace wigeonlift
