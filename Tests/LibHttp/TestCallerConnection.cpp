#include <LibHttp/LibHttp.h>

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Two connected sockets.
struct SocketPair {
  explicit SocketPair(asio::io_context &context) : Near(context), Far(context) {
    tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    Far.connect(acceptor.local_endpoint());
    acceptor.accept(Near);
  }

  tcp::socket Near;
  tcp::socket Far;
};

} // namespace

// Guards against a read ahead that goes on after it was stopped, as the signal came when the read
// had just got bytes: requests that were read stayed unanswered (the review's case 13). Bytes that
// have arrived are read at once, and the handler that stops the read runs before the read's own.
TEST(CallerConnection, ReadAheadEndsIfItIsStoppedWhenBytesArrive) {
  asio::io_context context{1};
  SocketPair callers{context};
  const auto caller = std::make_shared<CallerConnection>(std::move(callers.Near));
  asio::write(callers.Far, asio::buffer("GET", 3));
  asio::cancellation_signal stop;
  bool isDone = false;
  std::optional<bool> result;
  asio::co_spawn(context, caller->readAhead(stop, [&] { return isDone; }),
                 [&](const std::exception_ptr &, bool isOpen) { result = isOpen; });
  asio::post(context, [&] {
    isDone = true;
    stop.emit(asio::cancellation_type::terminal);
  });
  context.run_for(std::chrono::milliseconds{300});
  EXPECT_EQ(result, true);
  caller->close();
  context.run_for(std::chrono::milliseconds{100});
}

} // namespace wigeonlift
