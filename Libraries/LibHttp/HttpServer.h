#pragma once

#include <LibHttp/HttpMessage.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>

namespace wigeonlift {

/// Answers one buffered request. It must not throw.
using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/// A server of small buffered requests: operator ports and stand-ins of platform services. Calls on
/// the data path don't use it, since it holds each body in memory. It runs on one io_context and
/// must outlive it.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &context, HttpHandler handler);

  /// Binds and begins to accept. Fails with kUnavailable when the address can't be bound.
  absl::Status start(const boost::asio::ip::tcp::endpoint &endpoint);
  /// Port that was bound; of use when port 0 was asked for.
  std::uint16_t port() const;
  /// Stops to accept. Requests in progress are answered.
  void stop();

private:
  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

  HttpHandler Handler;
  boost::asio::ip::tcp::acceptor Acceptor;
};

} // namespace wigeonlift
