#include "FakeUpstream.h"

#include <LibBase/Text.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);

std::size_t bodyLength(std::string_view request) {
  constexpr std::string_view name = "Content-Length: ";
  const std::size_t begin = request.find(name);
  if (begin == std::string_view::npos)
    return 0;
  const std::string_view rest = request.substr(begin + name.size());
  return parseNumber<std::size_t>(rest.substr(0, rest.find("\r\n"))).value_or(0);
}

} // namespace

FakeUpstream::FakeUpstream(asio::io_context &context, Script script)
    : Answer(std::move(script)), Gate(context, std::chrono::steady_clock::time_point{}),
      Acceptor(context, {asio::ip::address_v4::loopback(), 0}) {
  asio::co_spawn(context, acceptLoop(), asio::detached);
}

std::string FakeUpstream::address() const {
  return fmt::format("127.0.0.1:{}", Acceptor.local_endpoint().port());
}

asio::awaitable<void> FakeUpstream::acceptLoop() {
  while (Acceptor.is_open()) {
    auto [ec, socket] = co_await Acceptor.async_accept(Completion);
    if (ec)
      continue;
    ++Connections;
    asio::co_spawn(Acceptor.get_executor(), serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<bool> FakeUpstream::readBody(asio::ip::tcp::socket &socket, std::string &buf,
                                             std::size_t size) {
  while (size > buf.size()) {
    const std::size_t missing = size - buf.size();
    const std::size_t step = BodyStepBytes == 0 ? missing : std::min(missing, BodyStepBytes);
    if (BodyPause.count() > 0)
      co_await asio::steady_timer{socket.get_executor(), BodyPause}.async_wait(Completion);
    const auto [ec, n] = co_await asio::async_read(socket, asio::dynamic_buffer(buf),
                                                   asio::transfer_exactly(step), Completion);
    if (ec)
      co_return false;
  }
  co_return true;
}

asio::awaitable<void> FakeUpstream::serve(asio::ip::tcp::socket socket) {
  std::string buf;
  while (true) {
    const auto [readEc, n] =
        co_await asio::async_read_until(socket, asio::dynamic_buffer(buf), "\r\n\r\n", Completion);
    if (readEc)
      break;
    const std::size_t size = n + bodyLength(buf);
    if (size > buf.size()) {
      ++Reading;
      const bool isWhole = co_await readBody(socket, buf, size);
      --Reading;
      if (!isWhole)
        break;
    }
    Requests.push_back(std::exchange(buf, {}));
    const FakeReply reply = Answer(Requests.back());
    co_await Gate.async_wait(Completion);
    if (reply.Delay.count() > 0)
      co_await asio::steady_timer{socket.get_executor(), reply.Delay}.async_wait(Completion);
    const auto [writeEc, written] =
        co_await asio::async_write(socket, asio::buffer(reply.Bytes), Completion);
    if (writeEc)
      break;
    ++Written;
    if (reply.Closes)
      break;
  }
  ++Closed;
}

} // namespace wigeonlift
