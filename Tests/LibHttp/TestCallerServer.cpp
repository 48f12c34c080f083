#include <LibHttp/LibHttp.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <string_view>
#include <vector>

using namespace wigeonlift;
namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// Time is passed to the server, so the limits are tested without waiting for them.
class CallerServerTest : public testing::Test {
protected:
  CallerServerTest() {
    EXPECT_TRUE(Server.start({asio::ip::address_v4::loopback(), 0}).ok());
    Caller.connect({asio::ip::address_v4::loopback(), Server.port()});
    while (Server.connections() == 0)
      Context.run_one();
    runReady();
  }

  void send(std::string_view text) {
    asio::write(Caller, asio::buffer(text.data(), text.size()));
    Context.run_one();
    runReady();
  }

  void runReady() {
    while (Context.poll() > 0) {
    }
  }

  int connectionsAfter(Duration span) {
    Server.closeExpired(std::chrono::steady_clock::now() + span);
    runReady();
    return Server.connections();
  }

  asio::io_context Context;
  int Requests = 0;
  CallerServer Server{Context,
                      [this](std::shared_ptr<CallerConnection> it) -> asio::awaitable<void> {
                        while (true) {
                          const ReadResult result = co_await it->readHead();
                          if (result != ReadResult::Complete)
                            co_return;
                          ++Requests;
                        }
                      }};
  asio::ip::tcp::socket Caller{Context};
};

} // namespace

// Guards against connections that silent callers keep forever, and against closing those that
// callers may still use.
TEST_F(CallerServerTest, ClosesIdleConnectionsAfterTheirLimit) {
  EXPECT_EQ(connectionsAfter(110s), 1);
  send(Request);
  EXPECT_EQ(Requests, 1);
  EXPECT_EQ(connectionsAfter(110s), 1);
  EXPECT_EQ(connectionsAfter(121s), 0);
}

// Guards against a caller that stops in the middle of a request and keeps its connection.
TEST_F(CallerServerTest, ClosesConnectionsThatStopWithinAHead) {
  send(Request.substr(0, 10));
  EXPECT_EQ(connectionsAfter(25s), 1);
  EXPECT_EQ(connectionsAfter(31s), 0);
}

// Guards against a stop that drops a request which is on its way.
TEST_F(CallerServerTest, ClosesOnlyConnectionsWithoutARequest) {
  send(Request.substr(0, 10));
  Server.closeIdleSince(TimePoint::max());
  runReady();
  EXPECT_EQ(Server.connections(), 1);
  send(Request.substr(10));
  EXPECT_EQ(Requests, 1);
  Server.closeIdleSince(std::chrono::steady_clock::now() - 1s);
  runReady();
  EXPECT_EQ(Server.connections(), 1);
  Server.closeIdleSince(TimePoint::max());
  runReady();
  EXPECT_EQ(Server.connections(), 0);
}

// Guards against a stop that resets connections which callers have opened and used, and which only
// wait to be accepted.
TEST_F(CallerServerTest, AStopServesConnectionsThatWaitToBeAccepted) {
  std::vector<asio::ip::tcp::socket> callers;
  for (int n = 0; n < 5; ++n) {
    callers.emplace_back(Context).connect({asio::ip::address_v4::loopback(), Server.port()});
    asio::write(callers.back(), asio::buffer(Request.data(), Request.size()));
  }
  Server.stopAccepting();
  const auto end = std::chrono::steady_clock::now() + 2s;
  while (Requests < 5 && std::chrono::steady_clock::now() < end)
    Context.run_for(10ms);
  EXPECT_EQ(Requests, 5);
}
