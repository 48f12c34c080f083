#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wigeonlift {

/// Buffered HTTP/1.1 messages, for small bodies.
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Start line and fields of messages whose body is streamed.
using HttpRequestHead = boost::beast::http::request_header<>;
using HttpResponseHead = boost::beast::http::response_header<>;

} // namespace wigeonlift
