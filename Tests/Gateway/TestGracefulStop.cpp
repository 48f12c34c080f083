#include "GatewayFixture.h"

#include <fmt/format.h>

#include <chrono>
#include <map>

namespace wigeonlift {

namespace {

using namespace std::chrono_literals;

// Shorter than the time of the routes.
constexpr Duration Grace = 1400ms;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;
const std::string LateId = "late";

/// Numbers of the answers on a connection by their status.
std::map<int, int> statuses(const RawCaller &caller) {
  constexpr std::string_view line = "HTTP/1.1 ";
  constexpr std::size_t digits = 3;
  std::map<int, int> result;
  std::size_t n = 0;
  while ((n = caller.Received.find(line, n)) != std::string::npos) {
    n += line.size();
    ++result[parseNumber<int>(std::string_view{caller.Received}.substr(n, digits)).value_or(0)];
  }
  return result;
}

int answers(const RawCaller &caller) {
  int count = 0;
  for (const auto &[status, n] : statuses(caller))
    count += n;
  return count;
}

/// A gateway that gets a stop while upstreams are at work for longer than its grace time. The
/// callers and the routes have more time than that.
class GracefulStop : public GatewayFixture {
protected:
  GracefulStop() { setGrace(Grace); }

  void setGrace(Duration grace) {
    GatewaySettings settings = Core.settings();
    settings.Bounds.StopGrace = grace;
    Core.setSettings(settings);
  }

  /// Runs until that time, also when nothing happens on any connection.
  void runUntilTime(TimePoint time) {
    boost::asio::steady_timer timer{Context, time - bootTimeNow()};
    timer.async_wait([](const boost::system::error_code &) {});
    runUntil([&] { return bootTimeNow() >= time; });
  }
  void beginStop() { Core.beginStop(bootTimeNow()); }
  /// Runs until the process would end while an answer is still due.
  void runToTheEnd() { runUntilTime(Core.stopPlan().lastEnd()); }
  std::shared_ptr<RawCaller> send(const std::string &requests) {
    auto caller = connect();
    caller->send(requests);
    return caller;
  }
  static std::string write(int n) {
    return callerRequest("POST", "/record/1", fmt::format("a-{}", n), "a belt");
  }

  PlatformUpstream Silent{Context, "i-1", [](const std::string &) -> FakeReply { return {}; }};
};

} // namespace

// Guards against requests that are read before a stop, wait for an upstream until its end, and get
// a closed connection: their callers could not tell that they were not run.
TEST_F(GracefulStop, AnswersRequestsThatWaitForAnUpstream) {
  constexpr int requests = 20;
  configure({&Silent});
  std::vector<std::shared_ptr<RawCaller>> callers;
  for (int n = 0; n < requests; ++n)
    callers.push_back(send(write(n)));
  runUntil([&] { return Core.service("s")->balancer().counts().Requests == requests; });
  beginStop();
  runToTheEnd();
  int refused = 0;
  int unknown = 0;
  for (const auto &it : callers) {
    EXPECT_EQ(answers(*it), 1);
    refused += statusOf(*it) == Unavailable ? 1 : 0;
    unknown += statusOf(*it) == GatewayTimeout ? 1 : 0;
  }
  EXPECT_EQ(unknown, static_cast<int>(Silent.requests().size()));
  EXPECT_EQ(refused, requests - unknown);
  EXPECT_GT(refused, 0);
  for (const auto &it : callers)
    it->close();
  const auto closedAt = std::chrono::steady_clock::now();
  runUntil([&] { return Callers.connections() == 0; });
  EXPECT_LT(std::chrono::steady_clock::now() - closedAt, 100ms);
}

// Guards against pipelined requests that have been read, wait for earlier ones on their connection,
// and are closed with it.
TEST_F(GracefulStop, AnswersRequestsThatWaitOnTheirConnection) {
  constexpr int requests = 40;
  configure({&Silent});
  std::string pipelined;
  for (int n = 0; n < requests; ++n)
    pipelined += write(n);
  const auto caller = send(pipelined);
  runUntil([&] { return Silent.requests().size() == 1; });
  beginStop();
  runToTheEnd();
  const std::map<int, int> expected{{GatewayTimeout, 1}, {Unavailable, requests - 1}};
  EXPECT_EQ(statuses(*caller), expected);
  EXPECT_EQ(Silent.requests().size(), 1U);
  EXPECT_TRUE(caller->IsClosed);
}

// Guards against a stop that closes a connection behind the answer to a request, although the next
// one has arrived there long before.
TEST_F(GracefulStop, AnswersRequestsThatComeWhileOthersRun) {
  PlatformUpstream slow{Context, "i-1", [](const std::string &id) -> FakeReply {
                          return {.Bytes = sealedAnswer(id, id), .Delay = 1000ms};
                        }};
  configure({&slow});
  const auto caller = send(write(0));
  runUntil([&] { return slow.requests().size() == 1; });
  beginStop();
  runUntilTime(Core.stopPlan().refuseFrom());
  caller->send(write(1) + callerRequest("GET", "/look/1", "a-2"));
  runToTheEnd();
  const std::map<int, int> expected{{200, 1}, {Unavailable, 2}};
  EXPECT_EQ(statuses(*caller), expected);
  EXPECT_TRUE(caller->IsClosed);
  // Only the last answer says that the connection closes.
  EXPECT_GT(caller->Received.find("Connection: close"), caller->Received.rfind("HTTP/1.1 503"));
}

// Guards against a request that waits for the first configuration when its process is told to stop.
TEST_F(GracefulStop, AnswersRequestsThatWaitForAConfiguration) {
  const auto caller = send(write(0));
  runUntil([&] { return Callers.connections() == 1; });
  const auto begin = std::chrono::steady_clock::now();
  beginStop();
  runUntil([&] { return answers(*caller) == 1; });
  EXPECT_EQ(statusOf(*caller), Unavailable);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 300ms);
}

// Guards against a request that is passed on when its body has come late in the stop, so that its
// upstream is still at work when the process ends.
TEST_F(GracefulStop, RefusesRequestsWhoseBodiesComeLate) {
  PlatformUpstream upstream{Context, "i-1", [](const std::string &id) -> FakeReply {
                              return {id == LateId ? "" : sealedAnswer(id, id)};
                            }};
  configure({&upstream});
  // Later bodies miss the objective of the route and are refused for that.
  setGrace(900ms);
  // The work is known to be short, so that there seems to be time for more.
  constexpr int earlier = 20;
  for (int n = 0; n < earlier; ++n)
    ask(write(n))->close();
  runUntil([&] { return Callers.connections() == 0; });
  const std::string request = callerRequest("POST", "/record/1", LateId, "a belt");
  const auto caller = send(request.substr(0, request.size() - 1));
  runUntil([&] { return Callers.connections() == 1; });
  beginStop();
  runUntilTime(Core.stopPlan().refuseFrom());
  caller->send(request.substr(request.size() - 1));
  runUntil([&] { return answers(*caller) == 1; });
  EXPECT_EQ(statusOf(*caller), Unavailable);
  EXPECT_EQ(upstream.requests().size(), static_cast<std::size_t>(earlier));
}

} // namespace wigeonlift
