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

  /// Reads this much of a body at a time, with a pause before each; 0 for all of it at once.
  std::size_t BodyStepBytes = 0;
  std::chrono::milliseconds BodyPause{};
  /// Sets the size of the kernel's buffer for what was not read, of later connections.
  void limitUnread(int bytes) {
    Acceptor.set_option(boost::asio::socket_base::receive_buffer_size{bytes});
  }

  std::vector<std::string> Requests;
  /// Bodies that are being read.
  int Reading = 0;
  /// Replies that the kernel has taken as a whole.
  int Written = 0;
  int Connections = 0;
  int Closed = 0;

private:
  boost::asio::awaitable<void> acceptLoop();
  /// Reads until the text has so many bytes. False when the connection ended before.
  boost::asio::awaitable<bool> readBody(boost::asio::ip::tcp::socket &socket, std::string &buf,
                                        std::size_t size);
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

  Script Answer;
  boost::asio::steady_timer Gate;
  boost::asio::ip::tcp::acceptor Acceptor;
};

} // namespace wigeonlift
