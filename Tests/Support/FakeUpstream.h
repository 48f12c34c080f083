#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace wigeonlift {

/// What a fake upstream does with a request.
struct FakeReply {
  std::string Bytes;
  /// Closes the connection after the bytes.
  bool Closes = false;
  /// Time until the bytes are sent.
  std::chrono::milliseconds Delay{};
};

/// An upstream whose answers are written by the test, byte by byte. An empty answer leaves the
/// request unanswered.
class FakeUpstream {
public:
  using Script = std::function<FakeReply(const std::string &request)>;

  FakeUpstream(boost::asio::io_context &context, Script script);

  std::string address() const;
  /// Keeps replies back until `release`.
  void hold() { Gate.expires_at(std::chrono::steady_clock::time_point::max()); }
  void release() { Gate.expires_at({}); }

  std::vector<std::string> Requests;
  /// Replies that the kernel has taken as a whole.
  int Written = 0;
  int Connections = 0;
  int Closed = 0;

private:
  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

  Script Answer;
  boost::asio::steady_timer Gate;
  boost::asio::ip::tcp::acceptor Acceptor;
};

} // namespace wigeonlift
