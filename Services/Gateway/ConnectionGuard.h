#pragma once

#include <LibHttp/LibHttp.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace wigeonlift {

/// Closes a connection after a time span unless it is destroyed first, so that nothing waits
/// without end for an upstream that is silent or never stops sending.
class ConnectionGuard {
public:
  ConnectionGuard(const boost::asio::any_io_executor &executor,
                  std::shared_ptr<UpstreamConnection> connection, Duration span)
      : Timer(executor, span) {
    Timer.async_wait([connection = std::move(connection)](const boost::system::error_code &ec) {
      if (!ec)
        connection->close();
    });
  }

private:
  boost::asio::steady_timer Timer;
};

} // namespace wigeonlift
