#pragma once

// Private to LibHttp: it includes Beast.
#include <LibHttp/BodyPart.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <span>

namespace wigeonlift {

/// Reads the next part of a body into a buffer that is not empty. It hands on what has arrived;
/// waiting for a full buffer would delay a slow body.
template <bool IsRequest>
boost::asio::awaitable<BodyPart>
readPart(boost::asio::ip::tcp::socket &socket, boost::beast::flat_buffer &input,
         boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body> &parser,
         std::span<char> buf) {
  namespace http = boost::beast::http;
  auto &body = parser.get().body();
  body.data = buf.data();
  body.size = buf.size();
  body.more = true;
  if (!parser.is_done() && input.size() == 0)
    input.reserve(buf.size());
  while (!parser.is_done() && body.size == buf.size()) {
    const auto [ec, n] = co_await http::async_read_some(
        socket, input, parser, boost::asio::as_tuple(boost::asio::use_awaitable));
    if (ec && ec != http::error::need_buffer)
      co_return BodyPart{.Size = buf.size() - body.size, .IsBroken = true};
  }
  co_return BodyPart{.Size = buf.size() - body.size, .IsLast = parser.is_done()};
}

} // namespace wigeonlift
