#include <LibHttp/HttpServer.h>

#include <LibHttp/Listen.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaxBodyBytes = 2 * 1024 * 1024;
constexpr auto IdleTimeout = std::chrono::seconds{30};

} // namespace

HttpServer::HttpServer(asio::io_context &context, HttpHandler handler)
    : Handler(std::move(handler)), Acceptor(context) {}

absl::Status HttpServer::start(const asio::ip::tcp::endpoint &endpoint) {
  if (absl::Status status = listenOn(Acceptor, endpoint); !status.ok())
    return status;
  asio::co_spawn(Acceptor.get_executor(), acceptLoop(), asio::detached);
  return absl::OkStatus();
}

std::uint16_t HttpServer::port() const {
  boost::system::error_code ec;
  return Acceptor.local_endpoint(ec).port();
}

void HttpServer::stop() {
  boost::system::error_code ec;
  Acceptor.close(ec);
}

asio::awaitable<void> HttpServer::acceptLoop() {
  while (Acceptor.is_open()) {
    auto [ec, socket] = co_await Acceptor.async_accept(Completion);
    if (!ec)
      asio::co_spawn(Acceptor.get_executor(), serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> HttpServer::serve(asio::ip::tcp::socket socket) {
  boost::beast::tcp_stream stream{std::move(socket)};
  boost::system::error_code optionEc;
  stream.socket().set_option(asio::ip::tcp::no_delay{true}, optionEc);
  boost::beast::flat_buffer buf;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(MaxBodyBytes);
    stream.expires_after(IdleTimeout);
    const auto [readEc, readBytes] = co_await http::async_read(stream, buf, parser, Completion);
    if (readEc)
      co_return;
    // A handler may wait for long, as a watch does.
    stream.expires_never();
    const bool keepAlive = parser.get().keep_alive();
    HttpResponse response = co_await Handler(parser.release());
    response.version(11);
    response.keep_alive(keepAlive && response.keep_alive() && Acceptor.is_open());
    response.prepare_payload();
    stream.expires_after(IdleTimeout);
    const auto [writeEc, writtenBytes] = co_await http::async_write(stream, response, Completion);
    if (writeEc || !response.keep_alive())
      co_return;
  }
}

} // namespace wigeonlift
