#pragma once

#include <LibHttp/CallerConnection.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace wigeonlift {

/// Serves one caller's connection until it ends; the connection is closed afterwards.
using CallerHandler =
    std::function<boost::asio::awaitable<void>(std::shared_ptr<CallerConnection>)>;

/// Accepts callers and keeps their connections within time limits. It runs on one io_context and
/// must outlive it.
class CallerServer {
public:
  CallerServer(boost::asio::io_context &context, CallerHandler handler);

  /// Binds and begins to accept. Fails with kUnavailable when the address can't be bound.
  absl::Status start(const boost::asio::ip::tcp::endpoint &endpoint);
  /// Port that was bound; of use when port 0 was asked for.
  std::uint16_t port() const;
  /// Accepts what callers have opened and nothing after that. Open connections go on.
  void stopAccepting();
  /// Closes connections whose pending operation has timed out.
  void closeExpired(TimePoint now);
  /// Closes connections that have waited for a request since before that time.
  void closeIdleSince(TimePoint time);
  /// Closes all connections.
  void closeAll();
  /// Whether any caller waits for the answer to a request that has arrived.
  bool isBusy() const;
  int connections() const { return static_cast<int>(Connections.size()); }

private:
  boost::asio::awaitable<void> acceptLoop();
  void serve(boost::asio::ip::tcp::socket socket);

  CallerHandler Handler;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::list<std::shared_ptr<CallerConnection>> Connections;
};

} // namespace wigeonlift
