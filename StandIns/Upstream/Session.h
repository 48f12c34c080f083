#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <utility>

namespace wigeonlift {

/// State of one connection of an upstream.
struct Session {
  explicit Session(boost::asio::ip::tcp::socket socket)
      : Socket(std::move(socket)), Pause(Socket.get_executor()) {}

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Pause;
  boost::beast::flat_buffer Buf;
  /// Nothing that arrives is acted on, and nothing is sent any more.
  bool IsSilent = false;
};

} // namespace wigeonlift
