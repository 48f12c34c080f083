#pragma once

#include <LibHttp/HttpMessage.h>
#include <StandIns/Common/Entity.h>
#include <StandIns/Load/TryResult.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <string>
#include <vector>

namespace wigeonlift {

/// One connection of a caller, used for one request at a time.
class CallConnection {
public:
  explicit CallConnection(const boost::asio::any_io_executor &executor) : Stream(executor) {}

  /// False when the connection can't be opened in time.
  boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::endpoint endpoint);
  /// Sends a request and checks the answer against the entity it must hold.
  boost::asio::awaitable<TryResult> exchange(HttpRequest request, Entity expected,
                                             Duration timeout);
  /// The last answer ended in order and the connection may carry another request.
  bool isReusable() const { return IsReusable; }

private:
  template <typename Parser>
  boost::asio::awaitable<void> readBody(Parser &parser, Entity expected, TryResult &result);

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buf;
  std::vector<char> Chunk;
  bool IsReusable = false;
};

} // namespace wigeonlift
