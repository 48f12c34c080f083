#include "RawCaller.h"

#include <LibBase/Text.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace wigeonlift {

namespace asio = boost::asio;

RawCaller::RawCaller(asio::io_context &context, std::uint16_t port) : Socket(context) {
  Socket.connect({asio::ip::address_v4::loopback(), port});
}

void RawCaller::receiveAll() { asio::co_spawn(Socket.get_executor(), receive(), asio::detached); }

void RawCaller::send(std::string_view bytes) {
  asio::write(Socket, asio::buffer(bytes.data(), bytes.size()));
}

void RawCaller::close() { Socket.close(); }

std::string RawCaller::header(std::string_view name) const {
  const std::string key = "\r\n" + std::string{name} + ": ";
  const std::size_t n = Received.find(key);
  if (n == std::string::npos)
    return "";
  const std::size_t begin = n + key.size();
  return Received.substr(begin, Received.find("\r\n", begin) - begin);
}

bool RawCaller::hasAnswer() const {
  const auto length = parseNumber<std::size_t>(header("Content-Length"));
  const std::size_t n = Received.find("\r\n\r\n");
  return length && n != std::string::npos && Received.size() >= n + 4 + *length;
}

std::string RawCaller::body() const {
  const std::size_t n = Received.find("\r\n\r\n");
  return n == std::string::npos ? "" : Received.substr(n + 4);
}

asio::awaitable<void> RawCaller::receive() {
  const auto self = shared_from_this();
  std::array<char, 64 * 1024> buf{};
  while (!IsClosed) {
    if (Pause.count() > 0)
      co_await asio::steady_timer{Socket.get_executor(), Pause}.async_wait(
          asio::as_tuple(asio::use_awaitable));
    const auto [ec, n] = co_await Socket.async_read_some(
        asio::buffer(buf, std::min(buf.size(), ReadBytes)), asio::as_tuple(asio::use_awaitable));
    Received.append(buf.data(), n);
    IsClosed = static_cast<bool>(ec);
  }
}

} // namespace wigeonlift
