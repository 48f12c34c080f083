#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace wigeonlift {

/// A caller that shows the bytes of answers as they came, so that a missing end is visible.
class RawCaller : public std::enable_shared_from_this<RawCaller> {
public:
  RawCaller(boost::asio::io_context &context, std::uint16_t port);

  /// Sets the size of the kernel's buffer for what was not read.
  void limitUnread(int bytes) {
    Socket.set_option(boost::asio::socket_base::receive_buffer_size{bytes});
  }
  /// Begins to read; until then the kernel's buffers fill up.
  void receiveAll();

  /// Writes bytes; the answer is collected while the context runs.
  void send(std::string_view bytes);
  void close();

  /// Value of a header of the last answer; empty when it is absent.
  std::string header(std::string_view name) const;
  /// Whether an answer with its whole body, by Content-Length, has arrived.
  bool hasAnswer() const;
  std::string body() const;

  /// Most bytes that are read at a time, and the time between two reads.
  std::size_t ReadBytes = std::size_t{64} * 1024;
  std::chrono::milliseconds Pause{};

  std::string Received;
  bool IsClosed = false;

private:
  boost::asio::awaitable<void> receive();

  boost::asio::ip::tcp::socket Socket;
};

} // namespace wigeonlift
