#pragma once

#include <LibBase/Time.h>
#include <LibHttp/HttpMessage.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <string_view>

namespace wigeonlift {

/// Sends one buffered request on a new connection and closes it. Fails with kDeadlineExceeded after
/// the timeout and with kUnavailable when the connection can't be opened or breaks.
boost::asio::awaitable<absl::StatusOr<HttpResponse>> fetch(boost::asio::ip::tcp::endpoint endpoint,
                                                           HttpRequest request, Duration timeout);

/// Takes the parts of a response's body as they arrive. The request ends when it returns an error.
using BodySink = std::function<absl::Status(const HttpResponseHead &head, std::string_view part)>;

/// Sends one request like `fetch`, but holds only a part of the body at a time. Each MB of the body
/// that has arrived extends the timeout by a second, so that a long body isn't taken for one that
/// doesn't come. Fails like `fetch`, and with the error of the sink.
boost::asio::awaitable<absl::StatusOr<HttpResponseHead>>
fetchInParts(boost::asio::ip::tcp::endpoint endpoint, HttpRequest request, Duration timeout,
             BodySink sink);

/// `fetch` for programs that have no io_context of their own.
absl::StatusOr<HttpResponse> fetchBlocking(const boost::asio::ip::tcp::endpoint &endpoint,
                                           HttpRequest request, Duration timeout);

} // namespace wigeonlift
